package main

import (
	"fmt"
	"strings"
	"time"
)

// smuggledID is the ID of a request that no client sends.
const smuggledID = "5307a9900d5307a9"

// playSmuggle submits a batch job of one tenant with an item whose header value holds a
// request of its own, under the name of another tenant.
func playSmuggle(f *fleet, trouble bool) ([]string, error) {
	if err := startFleet(f, draftEngine, draftEngine, askEngine); err != nil {
		return nil, err
	}
	zoo := &client{fleet: f, host: callerHost, key: "zoo-key-1"}
	owed := newItem("17c0a4e29b5d0001", batchPrefix+"a/17c0a4e29b5d0001", []byte("plan"))
	value := "plain"
	if trouble {
		inner := []string{
			"POST " + batchPrefix + "inner HTTP/1.1", "Host: " + callerHost, "X-Request-Id: " + smuggledID, "X-Tenant: rival", "Content-Length: 0",
		}
		value = "plain\r\nContent-Length: 0\r\n\r\n" + strings.Join(inner, "\r\n") + "\r\n\r\nGET /rest HTTP/1.1\r\nHost: " + callerHost + "\r\nX-Rest: "
	}
	owed.Headers["X-Note"] = value
	const job = "5b1f0c8e77a24d37"
	f.log.note("the value of the item's header X-Note is %q", value)
	if err := zoo.submit(batchPrefix, job, []item{owed}); err != nil {
		if trouble {
			f.log.note("the batch job is not accepted: %v", err)
			return nil, nil
		}
		return nil, err
	}
	results, err := zoo.awaitResults(job, 1, trafficTime)
	if err != nil {
		return nil, err
	}
	f.log.note("batch job %s lists %d results", job, len(results))
	time.Sleep(time.Second)
	var breaches []string
	for _, w := range f.workers {
		for _, run := range w.allRuns() {
			if run.id != owed.ID {
				breaches = append(breaches, fmt.Sprintf("UNASKED: %s runs request %s with X-Tenant %q, which no client sent: it was smuggled inside item %s of tenant zoo", run.worker, run.id, run.tenant, owed.ID))
			}
		}
	}
	if !trouble && len(results) != 1 {
		return nil, fmt.Errorf("%d results are listed", len(results))
	}
	return breaches, nil
}
