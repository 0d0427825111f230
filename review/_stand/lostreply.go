package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// maxAttempts is that of the batch route.
	maxAttempts = 3
	// lostShare is the largest share of the writes whose answers may be lost, lostTime for
	// how long.
	lostShare = 0.3
	lostTime  = 4500 * time.Millisecond

	failingItem = "17c0a4e29b5d0000"
)

// playLostReply has a worker fail the first and the third run of an item with status 500,
// and loses the answer to one write: that by which the runner gives the item back after
// the first failure.
func playLostReply(f *fleet, trouble bool) ([]string, error) {
	if err := startFleet(f, draftEngine); err != nil {
		return nil, err
	}
	w := f.workers[0]
	var mu sync.Mutex
	failures, writes, lost := 0, 0, 0
	w.fails = func(id string, run int) bool {
		if id != failingItem || run != 1 && run != 3 {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		failures++
		return true
	}
	if trouble {
		f.store.onWritten(func(rows []storeRow) bool {
			mu.Lock()
			defer mu.Unlock()
			writes++
			if failures != 1 || lost > 0 || !changesJob(rows) {
				return false
			}
			lost++
			f.log.note("the store makes a write to the batch job and loses its answer")
			return true
		})
	}
	zoo := &client{fleet: f, host: callerHost, key: "zoo-key-1"}
	var items []item
	for i := range 10 {
		id := fmt.Sprintf("17c0a4e29b5d%04x", i)
		items = append(items, newItem(id, batchPrefix+"a/"+id, []byte(id)))
	}
	const job = "5b1f0c8e77a24d34"
	if err := zoo.submit(batchPrefix, job, items); err != nil {
		return nil, err
	}
	results, err := zoo.awaitResults(job, len(items), 3*finishTime)
	if err != nil {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()
	if trouble {
		f.log.note("the answers to %d of %d writes were lost, at most %g are allowed for %s", lost, writes, lostShare, lostTime)
	}
	f.log.note("the worker answered item %s with 500 %d times, of %d attempts", failingItem, failures, maxAttempts)
	var breaches []string
	for _, listed := range results {
		f.log.note("batch job %s lists %s as %s", job, listed.ID, listed.State)
		if listed.ID == failingItem && listed.State == "dead_lettered" && failures < maxAttempts {
			breaches = append(breaches, fmt.Sprintf("MIXED: item %s is listed as dead_lettered after %d answers of 500, before %d of them, a 422, retentionS or the end of its batch job or route",
				listed.ID, failures, maxAttempts))
		}
	}
	return breaches, nil
}

// changesJob reports whether the writes change a batch job.
func changesJob(rows []storeRow) bool {
	for _, row := range rows {
		if row.Table == jobTable {
			return true
		}
	}
	return false
}
