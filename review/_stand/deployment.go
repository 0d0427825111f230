package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	callerHost  = "app.example"
	batchPrefix = "/plans/"
	subPrefix   = "/plans/b/"
	livePrefix  = "/live/"
	draftEngine = "draft-llm"
	askEngine   = "ask-llm"
	engineSlots = 2
	itemEvents  = 100
	liveEvents  = 25
	eventGap    = 20 * time.Millisecond
	// trafficTime is how long clients send, finishTime is finishS of the settings.
	trafficTime = 10 * time.Second
	finishTime  = 18 * time.Second
	// calmTime is the last part of finishTime in which no worker may have had an unlisted item.
	calmTime = 5 * time.Second
)

// versions are those of the workers' software by service.
var versions = map[string]string{draftEngine: "v1", askEngine: "v2"}

// tenants are the tenants of all configurations, each with one key.
var tenants = []map[string]any{
	{"name": "zoo", "apiKeys": []string{"zoo-key-1"}, "ratePerS": 50, "burst": 50},
	{"name": "rival", "apiKeys": []string{"rival-key-1"}, "ratePerS": 50, "burst": 50},
}

// configuration returns a configuration with a batch route and a streaming route, and with
// the further routes.
func configuration(version int, further ...map[string]any) map[string]any {
	routes := append([]map[string]any{
		{"name": "r-plans", "host": callerHost, "prefix": batchPrefix, "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400, "runTargetMs": 18000,
			"retentionS": 60, "priority": 2, "service": draftEngine, "maxAttempts": 3, "public": false, "resumable": true, "maxQueuedTokens": 1000000},
		{"name": "r-ask", "host": callerHost, "prefix": "/ask/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
			"service": askEngine, "maxAttempts": 1, "public": false, "resumable": false, "gapTargetMs": 250},
		{"name": "r-live", "host": callerHost, "prefix": livePrefix, "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
			"service": draftEngine, "maxAttempts": 1, "public": false, "resumable": false, "gapTargetMs": 250},
	}, further...)
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{
			{"name": draftEngine, "healthPath": "/health", "connectionLimit": 370, "engine": map[string]any{"slots": engineSlots}},
			{"name": askEngine, "healthPath": "/health", "connectionLimit": 370, "engine": map[string]any{"slots": engineSlots}},
		},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// startFleet starts two gateways and an engine of each of the services.
func startFleet(f *fleet, services ...string) error {
	if err := f.configure(configuration(1)); err != nil {
		return err
	}
	for range 2 {
		if err := f.addGateway(); err != nil {
			return err
		}
	}
	for _, service := range services {
		if _, err := f.addWorker(service, engineSlots, itemEvents, eventGap); err != nil {
			return err
		}
	}
	time.Sleep(startTime)
	return nil
}

// newItem returns an item of the path.
func newItem(id, path string, body []byte) item {
	return item{ID: id, Path: path, Headers: map[string]string{"X-Model": "m", "X-Token-Count": "40,100"}, Body: body, Tokens: 140}
}

// unlisted returns a breach for each item that isn't listed although no worker had it, or
// was busy, in the last calmTime.
func unlisted(f *fleet, job string, items []item, results []result) []string {
	since := time.Now().Add(-calmTime)
	for _, w := range f.workers {
		for _, run := range w.allRuns() {
			if run.endedAt.IsZero() || run.endedAt.After(since) {
				f.log.note("%s had %s in the last %s: the rule does not apply", run.worker, run.id, calmTime)
				return nil
			}
		}
	}
	for _, listed := range results {
		f.log.note("batch job %s lists %s as %s", job, listed.ID, listed.State)
	}
	var breaches []string
	for _, owed := range items {
		if !slices.ContainsFunc(results, func(listed result) bool { return listed.ID == owed.ID }) {
			breaches = append(breaches, fmt.Sprintf("LOST: %s after the traffic, item %s (%s) of batch job %s is listed neither as completed nor as dead_lettered; no worker had an item for %s",
				finishTime, owed.ID, owed.Path, job, calmTime))
		}
	}
	return breaches
}
