package main

import (
	"fmt"
	"time"
)

const (
	foreignEngines = 3
	foreignJobs    = 3
	foreignItems   = 10
	// finishTime is how long open jobs have after the last request, and quietTime the end of it
	// in which no worker may have had an item.
	finishTime = 18 * time.Second
	quietTime  = 5 * time.Second
)

// playForeign submits batch jobs. With trouble, another writer has entered each worker's address
// under a name of its own before, in entries without the field sequence.
func playForeign(w *world, trouble bool) int {
	w.configure()
	var engines []*engine
	for number := range foreignEngines {
		engines = append(engines, w.addEngine(number+1, service))
	}
	front := w.addGateway(1)
	w.waitReady(front)
	time.Sleep(3 * time.Second)
	if trouble {
		for number, e := range engines {
			entry := e.entry(0)
			delete(entry, "sequence")
			entry["born"] = time.Now().UnixMilli()
			name := fmt.Sprintf("other-%d", number+1)
			w.store.set("servers", name, entry)
			w.note("another writer: entry servers/%s without sequence, address %s", name, e.address)
		}
		time.Sleep(3 * time.Second)
	}
	var jobs []string
	owner := map[string]string{}
	for range foreignJobs {
		job, list := newID(), newItems(foreignItems, 157)
		if !w.submit(front, job, list) {
			w.fail("job %s isn't accepted", job)
		}
		jobs = append(jobs, job)
		for _, entry := range list {
			owner[entry.ID] = job
		}
	}
	time.Sleep(finishTime)
	open := 0
	for _, job := range jobs {
		got, status := read(front, job, 0)
		w.note("client: job %s is read: %d, %d of %d items are listed", job, status, got.Next, got.Total)
		if status != 200 {
			open += foreignItems
			continue
		}
		open += got.Total - got.Next
	}
	lately, ran := 0, 0
	for _, a := range w.seen() {
		w.note("worker %s: at %.3f s item %s of job %s, refused %v, complete %v", a.Worker, a.At.Sub(w.start).Seconds(), a.Item, owner[a.Item], a.Refused, a.Complete)
		if a.Refused {
			continue
		}
		ran++
		if time.Since(a.At) < quietTime {
			lately++
		}
	}
	w.note("result: %d runs, %d of them in the last %s; %d of %d accepted items are listed nowhere after %s",
		ran, lately, quietTime, open, foreignJobs*foreignItems, finishTime)
	if open > 0 && lately == 0 {
		return exitBroken
	}
	return exitHeld
}
