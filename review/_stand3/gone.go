package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTime is drainMs of the settings.
	drainTime = 2 * time.Second
	// calmClients is the number of clients that send one request after the other, each on a channel of its own.
	calmClients = 6
)

// gone has a worker leave without a report of draining while the channels to the store fall silent, and looks
// whether requests reach it later than drainMs after its entry was removed.
func gone(f *Fleet, trouble bool) (bool, error) {
	tenants := []any{}
	for n := range calmClients {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant%d", n), "apiKeys": []string{fmt.Sprintf("key-%d", n)}})
	}
	f.Store.Put("op", "", "config", map[string]any{
		"version": 1, "limits": limits(), "tenants": tenants,
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": false}, engineService("llm", 8),
		},
		"routes": []any{
			map[string]any{
				"name": "r-status", "host": "chat.example", "prefix": "/status/", "kind": "safe", "timeoutMs": 4000, "targetLatencyMs": 300,
				"maxAttempts": 3, "priority": 2, "service": "app", "public": false,
			},
			map[string]any{
				"name": "r-draft", "host": "draft.example", "prefix": "/draft/", "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400,
				"runTargetMs": 18000, "retentionS": 60, "maxAttempts": 3, "priority": 2, "service": "llm", "public": false, "maxQueuedTokens": 1000000,
			},
		},
	})
	if _, err := StartWorker(WorkerConfig{
		Name: "i-llm", Service: "llm", Address: f.App(9), Zone: "zone-a", Slots: 8, Queue: 24, Weights: 1, Store: f.Store,
		Events: func(*http.Request) (int, time.Duration) { return 5, 10 * time.Millisecond },
	}); err != nil {
		return false, err
	}
	if _, err := f.Runner(9); err != nil {
		return false, err
	}
	var workers []*Worker
	for n := range 3 {
		worker, err := StartWorker(WorkerConfig{
			Name: fmt.Sprintf("i-%d", n), Service: "app", Address: f.App(n), Zone: "zone-a", Slots: 6, Queue: 24, Store: f.Store,
			Events: func(*http.Request) (int, time.Duration) { return 1, 20 * time.Millisecond },
		})
		if err != nil {
			return false, err
		}
		workers = append(workers, worker)
	}
	var fronts []string
	for n := range 3 {
		if _, err := f.Gateway(n); err != nil {
			return false, err
		}
		fronts = append(fronts, f.Front(n))
	}
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var group sync.WaitGroup
	for client := range calmClients {
		group.Go(func() { calm(fronts[client%len(fronts)], client, stop) })
	}
	if err := jobsAtOnce(f, fronts); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)

	silenced := time.Now()
	if trouble {
		count := 0
		for _, proxy := range f.proxies {
			count += proxy.Silence()
		}
		f.Logf("%d channels to the store fall silent", count)
	}
	time.Sleep(500 * time.Millisecond)
	leaver := workers[2]
	leaver.Leave()
	left := time.Now()
	f.Logf("worker %s is leaving: its entry is removed, and it serves on for some seconds", leaver.config.Name)
	time.Sleep(8 * time.Second)
	leaver.Close()
	close(stop)
	group.Wait()

	late, last := 0, time.Duration(0)
	for _, run := range leaver.Runs() {
		after := run.Arrived.Sub(left)
		last = max(last, after)
		if after > 0 {
			f.Logf("request %s reached the leaving worker %.2f s after the removal of its entry, %.2f s after the channels fell silent", run.ID, after.Seconds(), run.Arrived.Sub(silenced).Seconds())
		}
		if run.Status != http.StatusMisdirectedRequest && after > drainTime && (!trouble || run.Arrived.Sub(silenced) > touchTime) {
			late++
		}
	}
	f.Logf("the last request reached it %.2f s after the removal; %d were later than drainMs, by machines in touch", last.Seconds(), late)
	return late > 0, nil
}

// calm sends requests, ten a second, until stop is closed.
func calm(front string, client int, stop chan struct{}) {
	var c *channel
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = openChannel(front); err != nil {
				c = nil
				continue
			}
		}
		if result := c.streamAs(fmt.Sprintf("key-%d", client), fmt.Sprintf("d%02x%05x", client, i), "/status/1", 1); !result.whole || result.closes {
			_ = c.conn.Close()
			c = nil
		}
	}
}

// jobsAtOnce submits 8 jobs at each gateway at the same time, and reads their results until they are done.
func jobsAtOnce(f *Fleet, fronts []string) error {
	var group sync.WaitGroup
	failures := make(chan error, 8*len(fronts))
	for n, front := range fronts {
		for i := range 8 {
			group.Go(func() {
				id := fmt.Sprintf("f%03x%04x", n, i)
				job, err := submit(f, []string{front}, fmt.Sprintf("key-%d", i%calmClients), id, newItems(id, 1, ""))
				for end := time.Now().Add(10 * time.Second); err == nil && len(job.results) < len(job.items); time.Sleep(500 * time.Millisecond) {
					if err = job.read(front); err == nil && time.Now().After(end) {
						err = fmt.Errorf("job %s isn't done", id)
					}
				}
				failures <- err
			})
		}
	}
	group.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	f.Logf("all jobs are done, and no client calls about them any more")
	return nil
}
