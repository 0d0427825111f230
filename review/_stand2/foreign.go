package main

import (
	"fmt"
	"time"
)

const (
	foreignEngines = 3
	foreignJobs    = 3
	foreignItems   = 10
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
	judgedAt := time.Now()
	listed := map[string]bool{}
	for _, job := range jobs {
		found, _ := w.readListed(front, job)
		for id := range found {
			listed[id] = true
		}
	}
	lying := w.countLying(judgedAt, owner, listed, engines)
	w.note("result: %d of %d accepted items are left lying %s after the last request", lying, foreignJobs*foreignItems, finishTime)
	if lying > 0 {
		return exitBroken
	}
	return exitHeld
}
