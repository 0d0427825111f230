package main

import (
	"fmt"
	"time"
)

// playNestedRoute adds a route whose prefix is below that of a batch route, after a batch
// job with items of both prefixes was accepted. All items are owed still.
func playNestedRoute(f *fleet, trouble bool) ([]string, error) {
	if err := startFleet(f, draftEngine, draftEngine, askEngine); err != nil {
		return nil, err
	}
	zoo := &client{fleet: f, host: callerHost, key: "zoo-key-1"}
	var items []item
	for i := range 12 {
		path := batchPrefix + "a/"
		if i >= 6 {
			path = subPrefix
		}
		id := fmt.Sprintf("17c0a4e29b5d%04x", i)
		items = append(items, newItem(id, path+id, []byte(id)))
	}
	const job = "5b1f0c8e77a24d36"
	if err := zoo.submit(batchPrefix, job, items); err != nil {
		return nil, err
	}
	ended := time.Now().Add(trafficTime)
	if trouble {
		if err := f.configure(configuration(2, map[string]any{
			"name": "r-plans-b", "host": callerHost, "prefix": subPrefix, "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
			"service": askEngine, "maxAttempts": 1, "public": false, "resumable": false, "gapTargetMs": 250,
		})); err != nil {
			return nil, err
		}
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
