package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/baobabhaven/baobabhaven/bhjob"
)

const (
	// entryTimeout is after how many heartbeats of silence a worker's entry is removed.
	entryTimeout = 3 * heartbeat
	// jobTable is the table of open batch jobs.
	jobTable = "job"

	// loadTime is how long live requests come.
	loadTime     = 20 * time.Second
	lookInterval = 10 * time.Millisecond
	// idleClaim is how long a runner must have had the claim of an item that it has not sent.
	idleClaim = 100 * time.Millisecond
	// liveGap is the mean time between live requests, which keep the engines nearly full.
	liveGap = 80 * time.Millisecond
)

// playLostWorker loses one worker for good, under live load, while the runner beside it has
// the claim of an item that it has not sent yet. The runner and the other workers go on.
func playLostWorker(f *fleet, trouble bool) ([]string, error) {
	if err := startFleet(f, draftEngine, draftEngine, draftEngine); err != nil {
		return nil, err
	}
	zoo := &client{fleet: f, host: callerHost, key: "zoo-key-1"}
	ended := time.Now().Add(loadTime)
	var live sync.WaitGroup
	defer live.Wait()
	live.Go(func() { sendLive(f, ended, &live) })
	var items []item
	for i := range 12 {
		id := fmt.Sprintf("17c0a4e29b5d%04x", i)
		items = append(items, newItem(id, batchPrefix+"a/"+id, []byte(id)))
	}
	const job = "5b1f0c8e77a24d35"
	if err := zoo.submit(batchPrefix, job, items); err != nil {
		return nil, err
	}
	if trouble && !loseIdleClaimant(f, ended) {
		return nil, fmt.Errorf("no runner had the claim of an item that it had not sent for %s", idleClaim)
	}
	time.Sleep(time.Until(ended))
	f.log.note("the traffic has ended; batch jobs have %s more", finishTime)
	time.Sleep(finishTime)
	results, err := zoo.results(job)
	if err != nil {
		return nil, err
	}
	return unlisted(f, job, items, results), nil
}

// sendLive sends live requests at random times until the end.
func sendLive(f *fleet, end time.Time, group *sync.WaitGroup) {
	for i := 0; time.Now().Before(end); i++ {
		group.Go(func() {
			id := fmt.Sprintf("11fe%012x", i)
			caller := &client{fleet: f, host: callerHost, key: "rival-key-1", calls: i}
			status, data, err := caller.call("POST", livePrefix+id, id, []byte(id))
			f.log.note("live request %s is answered %d, %d bytes, error %v", id, status, len(data), err)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(liveGap)))
	}
}

// loseIdleClaimant ends the first worker whose runner has the claim of an item that the
// worker has never had, and removes its entry once that has expired. It reports whether
// there was one before the end.
func loseIdleClaimant(f *fleet, end time.Time) bool {
	since := make(map[string]time.Time)
	for ; time.Now().Before(end); time.Sleep(lookInterval) {
		for id, w := range idleClaims(f) {
			if since[id].IsZero() {
				since[id] = time.Now()
			}
			if time.Since(since[id]) < idleClaim {
				continue
			}
			f.log.note("worker %s ends for good; %s beside it runs on, and has the claim of item %s", w.id, w.runner, id)
			w.close()
			time.AfterFunc(entryTimeout, func() {
				f.log.note("the entry of worker %s is removed", w.id)
				_ = f.store.remove("servers", w.id)
			})
			return true
		}
	}
	return false
}

// idleClaims returns the workers beside the runners that have a claim of an item which
// their worker has never had, by the ID of the item.
func idleClaims(f *fleet) map[string]*worker {
	claims := make(map[string]*worker)
	for _, value := range f.store.store.Records(jobTable) {
		var job bhjob.Job
		if err := cbor.Unmarshal(value, &job); err != nil {
			f.log.note("a batch job can't be read: %v", err)
			continue
		}
		for _, state := range job.Items {
			for _, w := range f.workers {
				if state.Status == bhjob.Claimed && strings.HasPrefix(state.Holder, w.runner+".") && !w.has(state.ID) {
					claims[state.ID] = w
				}
			}
		}
	}
	return claims
}
