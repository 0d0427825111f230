package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// largeBody is the size of an item's body in bytes, which doesn't fit into a row of the
// store.
const largeBody = 60 << 10

// playObjectNames submits two batch jobs with large items, whose IDs differ by where a dot
// stands.
func playObjectNames(f *fleet, trouble bool) ([]string, error) {
	if err := startFleet(f, draftEngine, draftEngine, askEngine); err != nil {
		return nil, err
	}
	zoo := &client{fleet: f, host: callerHost, key: "zoo-key-1"}
	dot := "-"
	if trouble {
		dot = "."
	}
	jobs := []string{"2026", "2026" + dot + "12"}
	items := []item{
		newItem("12"+dot+"nursery", batchPrefix+"a/first", bytes.Repeat([]byte("first "), largeBody/6)),
		newItem("nursery", batchPrefix+"a/second", bytes.Repeat([]byte("second"), largeBody/6)),
	}
	for i, job := range jobs {
		if err := zoo.submit(batchPrefix, job, items[i:i+1]); err != nil {
			return nil, err
		}
	}
	var breaches []string
	for i, job := range jobs {
		path := "/items/" + job + "?id=" + url.QueryEscape(items[i].ID)
		body, err := zoo.callUntil(http.StatusOK, http.MethodGet, path, "body-"+job, nil)
		if err != nil {
			return nil, err
		}
		f.log.note("the body of item %s of batch job %s has %d bytes %x; %x was sent", items[i].ID, job, len(body), digest(body), digest(items[i].Body))
		if !bytes.Equal(body, items[i].Body) {
			breaches = append(breaches, fmt.Sprintf("MIXED: the body of item %s of batch job %s comes back with other bytes: %.12q in place of %.12q", items[i].ID, job, body, items[i].Body))
		}
	}
	for _, job := range jobs {
		results, err := zoo.awaitResults(job, 1, 2*trafficTime)
		if err != nil {
			return nil, err
		}
		f.log.note("batch job %s lists %d results", job, len(results))
	}
	time.Sleep(time.Second)
	sent := map[string]item{}
	for _, owed := range items {
		sent[owed.ID] = owed
	}
	for _, w := range f.workers {
		for _, run := range w.allRuns() {
			if run.body != digest(sent[run.id].Body) {
				breaches = append(breaches, fmt.Sprintf("UNASKED: %s runs item %s with another body than the client's", run.worker, run.id))
			}
		}
	}
	return breaches, nil
}
