package main

import (
	"net/http"
	"time"
)

// Bounds and excuses of the rule for items that are left lying.
const (
	// finishTime is how long open jobs have after the last request.
	finishTime = 18 * time.Second
	// quietTime is how long no worker may have had an unlisted item of the job.
	quietTime = 5 * time.Second
	// finishedTime is how long no item of any job may have been finished.
	finishedTime = 3 * time.Second
	// failedTime is how long a run that failed excuses its item.
	failedTime = 20 * time.Second
)

// readListed returns the items of the job that are listed, and whether it could be read.
func (w *world) readListed(front, job string) (map[string]bool, bool) {
	listed := map[string]bool{}
	for position, failures := 0, 0; failures < 6; {
		got, status := read(front, job, position)
		if status != http.StatusOK {
			failures++
			w.note("client: job %+q is read from %d: %d", job, position, status)
			time.Sleep(500 * time.Millisecond)
			continue
		}
		for _, result := range got.Results {
			listed[result.ID] = true
		}
		if got.Next == position {
			w.note("client: job %+q is read: %d of %d items are listed", job, position, got.Total)
			return listed, true
		}
		position = got.Next
	}
	return listed, false
}

// countLying returns how many of the items, named with their jobs, are left lying at the time by the rule LOST.
func (w *world) countLying(now time.Time, owner map[string]string, listed map[string]bool, engines []*engine) int {
	running, slots := 0, 0
	for _, e := range engines {
		e.mu.Lock()
		running += e.running
		e.mu.Unlock()
		slots += engineSlots
	}
	had, failed, finished := map[string]bool{}, map[string]bool{}, false
	for _, a := range w.seen() {
		w.note("worker %s: at %.3f s item %s of job %s, after event %q, refused %v, complete %v",
			a.Worker, a.At.Sub(w.start).Seconds(), a.Item, owner[a.Item], a.Resumed, a.Refused, a.Complete)
		if a.Refused || owner[a.Item] == "" {
			continue
		}
		ended := a.EndedAt
		if ended.IsZero() {
			ended = now
		}
		had[owner[a.Item]] = had[owner[a.Item]] || !listed[a.Item] && now.Sub(ended) < quietTime
		failed[a.Item] = failed[a.Item] || !a.Complete && now.Sub(ended) < failedTime
		finished = finished || a.Complete && now.Sub(ended) < finishedTime
	}
	if finished || 2*running >= slots {
		w.note("excused: an item was finished lately %v, %d of %d slots are taken", finished, running, slots)
		return 0
	}
	lying := 0
	for id, job := range owner {
		if !listed[id] && !had[job] && !failed[id] {
			lying++
		}
	}
	return lying
}
