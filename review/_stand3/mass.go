package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lostMachines is the number of worker machines of the data centre that is lost, leftMachines of those that
	// are left.
	lostMachines, leftMachines = 105, 3
	// quietTime is the time from the loss to the first batch job, watchTime how long batch jobs arrive.
	quietTime   = 5 * time.Second
	watchTime   = 68 * time.Second
	jobInterval = 2 * time.Second
	// massPause is the pause between the events of an item, which takes 2.4 s.
	massPause = 240 * time.Millisecond
)

// mass loses the worker machines of a data centre at once, for good, while there is no batch work, and looks
// whether batch jobs that come later are done by the machines that are left.
func mass(f *Fleet, trouble bool) (bool, error) {
	f.Store.Put("op", "", "config", map[string]any{
		"version": 1, "limits": limits(), "services": []any{engineService("llm", 8)},
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "draft.example", "prefix": "/draft/", "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400,
			"runTargetMs": 18000, "retentionS": 60, "maxAttempts": 3, "priority": 2, "service": "llm", "public": false, "maxQueuedTokens": 1000000,
		}},
		"tenants": []any{map[string]any{"name": "first", "apiKeys": []string{"key-first"}}},
	})
	var workers []*Worker
	var runners []*Process
	for n := range leftMachines + lostMachines {
		worker, err := StartWorker(WorkerConfig{
			Name: fmt.Sprintf("i-%d", n), Service: "llm", Address: f.App(n), Zone: "zone-a", Slots: 8, Queue: 24, Weights: 1, Store: f.Store,
			Events: func(*http.Request) (int, time.Duration) { return starveEvents, massPause },
		})
		if err != nil {
			return false, err
		}
		workers = append(workers, worker)
		runner, err := f.Runner(n)
		if err != nil {
			return false, err
		}
		runners = append(runners, runner)
		time.Sleep(30 * time.Millisecond)
	}
	var fronts []string
	for n := range 2 {
		if _, err := f.Gateway(n); err != nil {
			return false, err
		}
		fronts = append(fronts, f.Front(n))
	}
	time.Sleep(5 * time.Second)

	var jobs []*batchJob
	submitNext := func() error {
		id := fmt.Sprintf("b%07x", len(jobs))
		job, err := submit(f, fronts, "key-first", id, newItems(id, 14, ""))
		if err == nil {
			jobs = append(jobs, job)
		}
		return err
	}
	if trouble {
		f.Logf("%d machines lose power at the same moment, for good", lostMachines)
		for n := leftMachines; n < len(workers); n++ {
			_ = runners[n].cmd.Process.Signal(syscall.SIGKILL)
			workers[n].Close()
		}
		time.AfterFunc(3600*time.Millisecond, func() {
			for n := leftMachines; n < len(workers); n++ {
				f.Store.Delete("servers", "", workers[n].config.Name)
			}
		})
	}
	time.Sleep(quietTime)
	began := time.Now()
	var lastResult time.Time
	known := 0
	readAll := func() {
		results := 0
		var mu sync.Mutex
		var group sync.WaitGroup
		for i, job := range jobs {
			if len(job.results) < len(job.items) {
				group.Go(func() {
					if err := job.read(fronts[i%len(fronts)]); err != nil {
						f.Logf("reading: %v", err)
					}
				})
			}
		}
		group.Wait()
		mu.Lock()
		defer mu.Unlock()
		for _, job := range jobs {
			results += len(job.results)
		}
		if results > known {
			known, lastResult = results, time.Now()
		}
	}
	for time.Since(began) < watchTime {
		if err := submitNext(); err != nil {
			f.Logf("%v", err)
		}
		time.Sleep(jobInterval / 2)
		readAll()
		time.Sleep(jobInterval / 2)
		readAll()
		f.Logf("the store holds the records of %d runners", f.Store.Count("jobrunner"))
	}
	ended := time.Now()
	f.Logf("the last request was sent; finishS begins")
	for time.Since(ended) < finishTime {
		time.Sleep(500 * time.Millisecond)
		readAll()
	}
	return judgeStarve(f, jobs, workers[:leftMachines], lastResult), nil
}
