package main

import (
	"net/http"
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
	for number := range latinEngines {
		w.addEngine(number+1, service)
	}
	front := w.addGateway(1)
	w.waitReady(front)
	time.Sleep(3 * time.Second)
	first := plainID
	if trouble {
		first = latinID
	}
	if !w.submit(front, first, newItems(latinItems, 157)) {
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
	readable, listed := false, 0
	for range 6 {
		got, status := read(front, url.PathEscape(first), 0)
		w.note("client: the first job is read: %d, %d of %d items are listed", status, got.Next, got.Total)
		if readable = status == http.StatusOK; readable {
			listed = got.Next
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, a := range w.seen() {
		w.note("worker %s: at %.3f s item %s, refused %v, complete %v", a.Worker, a.At.Sub(w.start).Seconds(), a.Item, a.Refused, a.Complete)
	}
	w.note("result: the accepted job can be read: %v, %d of its %d items are listed; %d of 2 further jobs of the tenant were accepted",
		readable, listed, latinItems, others)
	if !readable || listed < latinItems {
		return exitBroken
	}
	return exitHeld
}
