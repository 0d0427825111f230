package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	garbleEngines = 4
	garbleJobs    = 6
	garbleItems   = 50
	// garbleEach is the number of answers of which a faulty worker spoils one: 0.02 of them.
	garbleEach = 50
	// readPatience is how long clients read a job again after failures.
	readPatience = 12 * time.Second
)

// playGarble submits batch jobs and reads their results. With trouble, half of the workers spoil
// one byte in one of fifty answers.
func playGarble(w *world, trouble bool) int {
	w.configure()
	for number := range garbleEngines {
		e := w.addEngine(number+1, service)
		if trouble && number < garbleEngines/2 {
			e.spoilEach = garbleEach
		}
	}
	front := w.addGateway(1)
	w.waitReady(front)
	time.Sleep(3 * time.Second)
	var jobs []string
	owner := map[string]string{}
	for range garbleJobs {
		job, list := newID(), newItems(garbleItems, 157)
		if !w.submit(front, job, list) {
			w.fail("job %s isn't accepted", job)
		}
		jobs = append(jobs, job)
		for _, entry := range list {
			owner[entry.ID] = job
		}
	}
	submitted := time.Now()
	w.waitListed()
	time.Sleep(time.Until(submitted.Add(finishTime)))
	unreadable := 0
	for _, job := range jobs {
		if !w.readAll(front, job) {
			unreadable++
		}
	}
	for _, a := range w.seen() {
		w.note("worker %s: at %.3f s item %s of job %s, after event %q, refused %v, complete %v",
			a.Worker, a.At.Sub(w.start).Seconds(), a.Item, owner[a.Item], a.Resumed, a.Refused, a.Complete)
	}
	w.note("result: %d of %d accepted jobs can't be read", unreadable, garbleJobs)
	if unreadable > 0 {
		return exitBroken
	}
	return exitHeld
}

// waitListed waits until the workers have had no item for three seconds, 45 s at most.
func (w *world) waitListed() {
	for range 45 {
		time.Sleep(time.Second)
		seen := w.seen()
		if len(seen) >= garbleJobs*garbleItems && time.Since(seen[len(seen)-1].At) > 3*time.Second {
			return
		}
	}
}

// readAll reads the results of the job from the start, again after each failure. It reports
// whether it came to the end of those that are listed.
func (w *world) readAll(front, job string) bool {
	position := 0
	for started := time.Now(); time.Since(started) < readPatience; {
		got, status := read(front, job, position)
		if status != http.StatusOK {
			w.note("client: job %s is read from %d: %d", job, position, status)
			time.Sleep(500 * time.Millisecond)
			continue
		}
		for _, result := range got.Results {
			if strings.ContainsRune(result.Text, '\ufffd') {
				w.note("client: item %s of job %s has a spoiled text", result.ID, job)
			}
		}
		if got.Next == position {
			w.note("client: job %s is read: %d of %d items are listed", job, position, got.Total)
			return true
		}
		position = got.Next
	}
	w.note("client: job %s can't be read beyond %d for %s", job, position, readPatience)
	return false
}
