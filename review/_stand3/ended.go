package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// cancelTime is cancelMs of the settings, touchTime stabilityWindowMs.
	cancelTime = 3 * time.Second
	touchTime  = 3 * time.Second
	// endedMachines is the number of workers, with a runner beside each, and of items of each of the 8 jobs:
	// these fill all places.
	endedMachines = 4
	burstInterval = 350 * time.Millisecond
)

// ended ends batch jobs while live requests come in bursts, lets the channels to the store fall silent right
// after, and looks whether items of these jobs are sent to workers later than cancelMs after the ack.
func ended(f *Fleet, trouble bool) (bool, error) {
	tenants := []any{}
	for n := range 8 {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant%d", n), "apiKeys": []string{fmt.Sprintf("key-%d", n)}})
	}
	f.Store.Put("op", "", "config", map[string]any{
		"version": 1, "limits": limits(), "services": []any{engineService("llm", 8)}, "tenants": tenants,
		"routes": []any{
			map[string]any{
				"name": "r-draft", "host": "draft.example", "prefix": "/draft/", "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400,
				"runTargetMs": 18000, "retentionS": 60, "maxAttempts": 3, "priority": 2, "service": "llm", "public": false, "maxQueuedTokens": 1000000,
			},
			map[string]any{
				"name": "r-chat", "host": "chat.example", "prefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300,
				"maxAttempts": 1, "priority": 0, "service": "llm", "public": false, "sessionAffinity": true, "resumable": false, "gapTargetMs": 250,
			},
		},
	})
	var workers []*Worker
	for n := range endedMachines {
		worker, err := StartWorker(WorkerConfig{
			Name: fmt.Sprintf("i-%d", n), Service: "llm", Address: f.App(n), Zone: "zone-a", Slots: 8, Queue: 24, Weights: 1, Store: f.Store,
			Events: func(r *http.Request) (int, time.Duration) {
				if strings.HasPrefix(r.URL.Path, "/chat/") {
					return 10, 20 * time.Millisecond
				}
				return 300, 40 * time.Millisecond
			},
		})
		if err != nil {
			return false, err
		}
		workers = append(workers, worker)
		if _, err := f.Runner(n); err != nil {
			return false, err
		}
	}
	var fronts []string
	for n := range 2 {
		if _, err := f.Gateway(n); err != nil {
			return false, err
		}
		fronts = append(fronts, f.Front(n))
	}
	time.Sleep(4 * time.Second)

	var jobs []*batchJob
	for n := range 8 {
		id := fmt.Sprintf("e%07x", n)
		job, err := submit(f, fronts, fmt.Sprintf("key-%d", n), id, newItems(id, endedMachines, ""))
		if err != nil {
			return false, err
		}
		jobs = append(jobs, job)
	}
	stop := make(chan struct{})
	var live sync.WaitGroup
	served := make(chan int, 1)
	live.Go(func() { served <- bursts(fronts, stop) })
	time.Sleep(3 * time.Second)

	acked := make(map[string]time.Time)
	for n, job := range jobs {
		status, _, err := batchClient{fronts[n%2], job.key}.call(http.MethodDelete, "/lots/"+job.id, "", nil)
		if status != http.StatusOK {
			return false, fmt.Errorf("the end of job %s: %d %v", job.id, status, err)
		}
		for _, item := range job.items {
			acked[item] = time.Now()
		}
		f.Logf("job %s: its end is acknowledged", job.id)
	}
	silenced := time.Now()
	if trouble {
		count := 0
		for _, proxy := range f.proxies {
			count += proxy.Silence()
		}
		f.Logf("%d channels to the store fall silent", count)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	live.Wait()
	f.Logf("%d live requests were served", <-served)

	late := 0
	for _, worker := range workers {
		for _, run := range worker.Runs() {
			end, ok := acked[run.ID]
			if !ok || !run.Began || run.Arrived.Before(end) {
				continue
			}
			after := run.Arrived.Sub(end)
			f.Logf("item %s reached worker %s %.2f s after the ack of its job's end, %.2f s after the channels fell silent, and ran from event %d on",
				run.ID, run.Worker, after.Seconds(), run.Arrived.Sub(silenced).Seconds(), run.After+1)
			if after > cancelTime && (!trouble || run.Arrived.Sub(silenced) > touchTime) {
				late++
			}
		}
	}
	f.Logf("%d sends were later than cancelMs, by machines in touch", late)
	return late > 0, nil
}

// bursts sends a live request for each place of the workers at once, at each burstInterval, until stop is closed, and returns how many were
// served.
func bursts(fronts []string, stop chan struct{}) int {
	var mu sync.Mutex
	served := 0
	var group sync.WaitGroup
	for burst := 0; ; burst++ {
		for i := range 8 * endedMachines {
			group.Go(func() {
				c, err := openChannel(fronts[i%len(fronts)])
				if err != nil {
					return
				}
				defer c.conn.Close()
				result := c.streamAs(fmt.Sprintf("key-%d", i%8), fmt.Sprintf("c%05x%02x", burst, i), "/chat/1", 10)
				mu.Lock()
				defer mu.Unlock()
				if result.whole && result.status == http.StatusOK {
					served++
				}
			})
		}
		select {
		case <-stop:
			group.Wait()
			return served
		case <-time.After(burstInterval):
		}
	}
}
