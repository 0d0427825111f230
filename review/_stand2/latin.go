package main

import (
	"net/url"
	"time"
)

const (
	latinEngines = 3
	latinItems   = 5
	// latinID is a job's ID with a letter in ISO 8859-1, as HTTP allows it in a field's value.
	latinID = "caf\xe9-7c41e09b52d6"
	plainID = "cafe-7c41e09b52d6"
)

// playLatin submits a batch job and then, as another client of the tenant, two more. With
// trouble, the first one's ID holds a byte that isn't ASCII.
func playLatin(w *world, trouble bool) int {
	w.configure()
	var engines []*engine
	for number := range latinEngines {
		engines = append(engines, w.addEngine(number+1, service))
	}
	front := w.addGateway(1)
	w.waitReady(front)
	time.Sleep(3 * time.Second)
	first := plainID
	if trouble {
		first = latinID
	}
	owner := map[string]string{}
	list := newItems(latinItems, 157)
	for _, entry := range list {
		owner[entry.ID] = first
	}
	if !w.submit(front, first, list) {
		w.note("result: the first job isn't accepted, so nothing is owed")
		return exitHeld
	}
	time.Sleep(time.Second)
	others := 0
	for range 2 {
		if w.submit(front, newID(), newItems(latinItems, 157)) {
			others++
		}
	}
	time.Sleep(finishTime)
	judgedAt := time.Now()
	listed, readable := w.readListed(front, url.PathEscape(first))
	lying := w.countLying(judgedAt, owner, listed, engines)
	w.note("result: the accepted job can be read: %v, %d of its %d items are left lying; %d of 2 further jobs of the tenant were accepted",
		readable, lying, latinItems, others)
	if !readable || lying > 0 {
		return exitBroken
	}
	return exitHeld
}
