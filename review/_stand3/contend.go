package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// contendMachines is the number of workers, with a runner beside each.
	contendMachines = 42
	// ackTime is ackTimeoutMs of the settings.
	ackTime = 4 * time.Second
	// largestJob is the number of items of the largest job, usualJob that of the others.
	largestJob, usualJob = 200, 10
	contendWatch         = 20 * time.Second
	// contendRounds is how often the jobs are submitted and ended.
	contendRounds = 2
)

// contend submits three large jobs at once and ends them, twice, and looks whether their items are sent to workers later than
// cancelMs after the ack of the end, or after ackTimeoutMs if it got none.
func contend(f *Fleet, trouble bool) (bool, error) {
	f.Store.Put("op", "", "config", map[string]any{
		"version": 1, "limits": limits(), "services": []any{engineService("llm", 8)},
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "draft.example", "prefix": "/draft/", "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400,
			"runTargetMs": 18000, "retentionS": 60, "maxAttempts": 3, "priority": 2, "service": "llm", "public": false, "maxQueuedTokens": 1000000,
		}},
		"tenants": []any{map[string]any{"name": "first", "apiKeys": []string{"key-first"}}},
	})
	var workers []*Worker
	for n := range contendMachines {
		worker, err := StartWorker(WorkerConfig{
			Name: fmt.Sprintf("i-%d", n), Service: "llm", Address: f.App(n), Zone: "zone-a", Slots: 8, Queue: 24, Weights: 1, Store: f.Store,
			Events: func(*http.Request) (int, time.Duration) { return starveEvents, starvePause },
		})
		if err != nil {
			return false, err
		}
		workers = append(workers, worker)
		if _, err := f.Runner(n); err != nil {
			return false, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	var fronts []string
	for n := range 2 {
		if _, err := f.Gateway(n); err != nil {
			return false, err
		}
		fronts = append(fronts, f.Front(n))
	}
	time.Sleep(4 * time.Second)

	count, size := 3, largestJob
	if !trouble {
		count, size = 1, usualJob
	}
	began := time.Now()
	ackOf := make(map[string]time.Time)
	for round := range contendRounds {
		var jobs []*batchJob
		for n := range count {
			id := fmt.Sprintf("a%x%06x", round, n)
			job, err := submit(f, fronts, "key-first", id, newItems(id, size, ""))
			if err != nil {
				return false, err
			}
			jobs = append(jobs, job)
		}
		time.Sleep(2500 * time.Millisecond)
		asked := time.Now()
		acked := make([]time.Time, len(jobs))
		var group sync.WaitGroup
		for n, job := range jobs {
			group.Go(func() { acked[n] = endJob(f, fronts, job, asked) })
		}
		group.Wait()
		for n, job := range jobs {
			f.Logf("the end of job %s counts as acknowledged %.2f s after it was first asked", job.id, acked[n].Sub(asked).Seconds())
			for _, item := range job.items {
				ackOf[item] = acked[n]
			}
		}
		time.Sleep(time.Until(asked.Add(contendWatch)))
	}
	late, all := 0, 0
	for _, worker := range workers {
		for _, run := range worker.Runs() {
			if !run.Began {
				continue
			}
			all++
			if after := run.Arrived.Sub(ackOf[run.ID]); after > 0 {
				f.Logf("item %s reached worker %s %.2f s after the ack of its job's end, and ran", run.ID, run.Worker, after.Seconds())
				if after > cancelTime {
					late++
				}
			}
		}
	}
	f.Logf("the workers, with %d places, began to work on %d items in %.0f s", 8*contendMachines, all, time.Since(began).Seconds())
	f.Logf("%d sends of ended jobs were later than cancelMs", late)
	return late > 0, nil
}

// endJob asks to end the job until that is acknowledged, for contendWatch at most, and returns when it counts as
// acknowledged.
func endJob(f *Fleet, fronts []string, job *batchJob, asked time.Time) time.Time {
	for attempt := 0; time.Since(asked) < contendWatch; attempt++ {
		status, _, err := batchClient{fronts[attempt%len(fronts)], job.key}.call(http.MethodDelete, "/lots/"+job.id, "", nil)
		f.Logf("the end of job %s: %d %v, %.2f s after it was first asked", job.id, status, err, time.Since(asked).Seconds())
		if status == http.StatusOK {
			if now := time.Now(); now.Sub(asked) < ackTime {
				return now
			}
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return asked.Add(ackTime)
}
