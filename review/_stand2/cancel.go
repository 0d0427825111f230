package main

import (
	"net/http"
	"time"
)

// Bounds of the installation, as its sheet states them.
const (
	cancelBound = 3 * time.Second
	ackTimeout  = 4 * time.Second
)

const (
	cancelEngines = 18
	cancelJobs    = 9
	// burstPause is the time between two jobs at six times the usual rate of 1.03 a second.
	burstPause = 160 * time.Millisecond
	// cancelPause is the time before a client ends the next job: the burst is over for stabilityWindowMs.
	cancelPause = 3 * time.Second
	// cancelPatience is how long a client repeats an end.
	cancelPatience = 12 * time.Second
	// cancelLimit bounds the case.
	cancelLimit = 100 * time.Second
)

// playCancel ends batch jobs, the oldest first. With trouble, jobs of the largest size come at
// once before; without it, jobs of the usual size come at the usual rate.
func playCancel(w *world, trouble bool) int {
	w.configure()
	for number := range cancelEngines {
		w.addEngine(number+1, service)
	}
	front := w.addGateway(1)
	w.waitReady(front)
	time.Sleep(4 * time.Second)

	size, pause := 10, time.Second
	if trouble {
		size, pause = 200, burstPause
	}
	var jobs []string
	owner := map[string]string{}
	for range cancelJobs {
		job, list := newID(), newItems(size, 157)
		if !w.submit(front, job, list) {
			w.fail("job %s isn't accepted", job)
		}
		jobs = append(jobs, job)
		for _, entry := range list {
			owner[entry.ID] = job
		}
		time.Sleep(pause)
	}
	late := 0
	for _, job := range jobs {
		if late > 0 || time.Since(w.start) > cancelLimit-cancelPatience-cancelBound {
			break
		}
		time.Sleep(cancelPause)
		endedAt := w.end(front, job)
		time.Sleep(time.Until(endedAt.Add(cancelBound + 2*time.Second)))
		late = w.countLate(owner, job, endedAt)
	}
	w.noteRuns(owner)
	applied, conflicts, refused, wait := w.store.counts()
	w.note("store: %d transactions applied, %d with a conflict, %d refused, longest wait %s", applied, conflicts, refused, wait)
	w.note("result: %d items of ended jobs reached a worker more than %s after the end and ran", late, cancelBound)
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}

// end asks for the end of the job, again after each failure as clients do, and returns when the
// end counts as acknowledged.
func (w *world) end(front, job string) time.Time {
	askedAt := time.Now()
	endedAt := askedAt.Add(ackTimeout)
	for time.Since(askedAt) < cancelPatience {
		got := call(front, http.MethodDelete, "/lots/"+job, newID(), nil, ackTimeout)
		w.note("client: end of job %s, asked for %.3f s ago: %d", job, time.Since(askedAt).Seconds(), got.status)
		if got.status == http.StatusOK {
			if now := time.Now(); now.Before(endedAt) {
				endedAt = now
			}
			break
		}
		time.Sleep(max(got.retryAfter, 50*time.Millisecond))
	}
	w.note("the end of job %s counts as acknowledged %.3f s after it was asked for", job, endedAt.Sub(askedAt).Seconds())
	return endedAt
}

// countLate returns the number of the job's items that reached a worker too long after its end,
// and ran there to their end.
func (w *world) countLate(owner map[string]string, job string, endedAt time.Time) int {
	late := 0
	for _, a := range w.seen() {
		if owner[a.Item] == job && a.Complete && a.At.Sub(endedAt) > cancelBound {
			late++
			w.note("worker: item %s of job %s reached %s %.3f s after the end and ran", a.Item, job, a.Worker, a.At.Sub(endedAt).Seconds())
		}
	}
	return late
}

// noteRuns writes what reached the workers to the record.
func (w *world) noteRuns(owner map[string]string) {
	for _, a := range w.seen() {
		w.note("worker %s: at %.3f s item %s of job %s, after event %q, refused %v, complete %v",
			a.Worker, a.At.Sub(w.start).Seconds(), a.Item, owner[a.Item], a.Resumed, a.Refused, a.Complete)
	}
}
