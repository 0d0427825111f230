package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	starveEvents = 10
	starvePause  = 30 * time.Millisecond
	finishTime   = 18 * time.Second
	// readTime is how long the clients read on before the traffic ends and finishS begins.
	readTime = 12 * time.Second
)

// batchClient calls a gateway about batch jobs, each time on a new channel.
type batchClient struct {
	front, key string
}

func (c batchClient) call(method, path, id string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+c.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = "draft.example"
	request.Header.Set("Authorization", "Token "+c.key)
	request.Header.Set("X-Deadline-Ms", "4000")
	if id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	client := http.Client{Timeout: 5500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

type batchItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// batchJob is a job as its client knows it.
type batchJob struct {
	id, key string
	sent    time.Time
	items   []string
	results []struct{ ID, State, Text string }
}

// newItems returns items of 600 tokens. Those with an expected version can be done only by workers whose
// weights have it.
func newItems(job string, count int, expected string) []batchItem {
	var items []batchItem
	for i := range count {
		item := batchItem{ID: fmt.Sprintf("%s%04x", job, i), Path: "/draft/1/" + job, Body: []byte("plan"), Tokens: 600, Headers: map[string]string{
			"X-Model": "m", "X-Token-Count": "350,250", "X-Prompt-Prefix": fmt.Sprintf("5d07b8:100,%s%04x:250", job, i),
		}}
		if expected != "" {
			item.Headers["X-Expected-Version"] = expected
		}
		items = append(items, item)
	}
	return items
}

// submit sends the job until it is accepted, a few times at most.
func submit(f *Fleet, fronts []string, key, id string, items []batchItem) (*batchJob, error) {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return nil, err
	}
	job := &batchJob{id: id, key: key, sent: time.Now()}
	for _, item := range items {
		job.items = append(job.items, item.ID)
	}
	for attempt := range 3 {
		status, _, err := batchClient{fronts[attempt%len(fronts)], key}.call(http.MethodPost, "/draft/"+id, id, body)
		f.Logf("job %s with %d items: %d %v", id, len(items), status, err)
		if status == http.StatusAccepted {
			return job, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil, fmt.Errorf("job %s was not accepted", id)
}

// read reads the results of the job that aren't known yet.
func (j *batchJob) read(front string) error {
	for {
		status, data, err := batchClient{front, j.key}.call(http.MethodGet, "/lots/"+j.id+"?after="+strconv.Itoa(len(j.results)), "", nil)
		if err != nil {
			return err
		}
		var page struct {
			Total, Next int
			Results     []struct{ ID, State, Text string }
		}
		if status != http.StatusOK {
			return fmt.Errorf("job %s: status %d", j.id, status)
		}
		if err := json.Unmarshal(data, &page); err != nil {
			return err
		}
		if len(page.Results) == 0 {
			return nil
		}
		j.results = append(j.results, page.Results...)
	}
}

func (j *batchJob) count(state string) int {
	count := 0
	for _, result := range j.results {
		if result.State == state {
			count++
		}
	}
	return count
}

// starve submits one job whose items no worker can do, and others at the same time, and looks whether
// these are done when finishS is over.
func starve(f *Fleet, trouble bool) (bool, error) {
	f.Store.Put("op", "", "config", map[string]any{
		"version": 1, "limits": limits(), "services": []any{engineService("llm", 8)},
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "draft.example", "prefix": "/draft/", "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400,
			"runTargetMs": 18000, "retentionS": 60, "maxAttempts": 3, "priority": 2, "service": "llm", "public": false, "maxQueuedTokens": 1000000,
		}},
		"tenants": []any{
			map[string]any{"name": "first", "apiKeys": []string{"key-first"}}, map[string]any{"name": "second", "apiKeys": []string{"key-second"}},
		},
	})
	var workers []*Worker
	for n := range 2 {
		worker, err := StartWorker(WorkerConfig{
			Name: fmt.Sprintf("i-%d", n), Service: "llm", Address: f.App(n), Zone: "zone-a", Slots: 8, Queue: 24, Weights: 1, Store: f.Store,
			Events: func(*http.Request) (int, time.Duration) { return starveEvents, starvePause },
		})
		if err != nil {
			return false, err
		}
		workers = append(workers, worker)
	}
	var fronts []string
	for n := range 2 {
		if _, err := f.Gateway(n); err != nil {
			return false, err
		}
		fronts = append(fronts, f.Front(n))
		if _, err := f.Runner(n); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)

	if trouble {
		if _, err := submit(f, fronts, "key-first", "c0ffee00", newItems("c0ffee00", 20, "2")); err != nil {
			return false, err
		}
	}
	var jobs []*batchJob
	for i := range 20 {
		job, err := submit(f, fronts, "key-second", fmt.Sprintf("a%07x", i), newItems(fmt.Sprintf("a%07x", i), 20, ""))
		if err != nil {
			return false, err
		}
		jobs = append(jobs, job)
	}
	ended := time.Now().Add(readTime)
	var lastResult time.Time
	for time.Since(ended) < finishTime {
		time.Sleep(500 * time.Millisecond)
		for i, job := range jobs {
			known := len(job.results)
			if err := job.read(fronts[i%len(fronts)]); err != nil {
				f.Logf("reading: %v", err)
			}
			if len(job.results) > known {
				lastResult = time.Now()
			}
		}
	}
	broken := judgeStarve(f, jobs, workers, lastResult)
	if broken {
		watchExpiry(f, jobs, fronts)
	}
	return broken, nil
}

// watchExpiry records what becomes of the items, of which the verdict doesn't depend, when retentionS is over.
func watchExpiry(f *Fleet, jobs []*batchJob, fronts []string) {
	time.Sleep(time.Until(jobs[0].sent.Add(68 * time.Second)))
	completed, dead, open := 0, 0, 0
	for i, job := range jobs {
		if err := job.read(fronts[i%len(fronts)]); err != nil {
			f.Logf("reading: %v", err)
		}
		completed, dead, open = completed+job.count("completed"), dead+job.count("dead_lettered"), open+len(job.items)-len(job.results)
	}
	f.Logf("68 s after the jobs were sent, not judged: %d items completed, %d given up, %d open", completed, dead, open)
}

// judgeStarve reports whether LOST was broken: an open job has items without a result though in the last 5 s no
// worker had one of them, the workers were under half full, and no item was finished in the last 3 s.
func judgeStarve(f *Fleet, jobs []*batchJob, workers []*Worker, lastResult time.Time) bool {
	now := time.Now()
	had := make(map[string]bool)
	refused, begun, whole, taken, places := 0, 0, 0, 0, 0
	for _, worker := range workers {
		for _, run := range worker.Runs() {
			switch {
			case run.Whole:
				whole++
				f.Logf("item %s ran at %s from %.3f to %.3f", run.ID, run.Worker, f.At(run.Arrived), f.At(run.Ended))
			case run.Began:
				begun++
			default:
				refused++
			}
			if run.Began && (run.Ended.IsZero() || now.Sub(run.Ended) < 5*time.Second) {
				had[run.ID] = true
			}
		}
		running, waiting := worker.Load()
		taken, places = taken+running+waiting, places+worker.config.Slots
		f.Logf("worker %s: %d run, %d wait, of 8 places", worker.config.Name, running, waiting)
	}
	f.Logf("the workers ran %d items whole, %d in part, and refused %d sends", whole, begun, refused)
	broken := false
	for _, job := range jobs {
		unlisted := len(job.items) - len(job.results)
		listed := make(map[string]bool)
		for _, result := range job.results {
			listed[result.ID] = true
			if result.State == "completed" && result.Text != text(result.ID, starveEvents) {
				f.Logf("job %s: item %s has another text", job.id, result.ID)
			}
		}
		held := 0
		for _, item := range job.items {
			if had[item] && !listed[item] {
				held++
			}
		}
		f.Logf("job %s: %d items completed, %d given up, %d without a result, of which workers had %d in the last 5 s",
			job.id, job.count("completed"), job.count("dead_lettered"), unlisted, held)
		broken = broken || unlisted > 0 && held == 0
	}
	if lastResult.IsZero() {
		f.Logf("no result came")
	} else {
		f.Logf("the last result came %.1f s before the end of finishS", now.Sub(lastResult).Seconds())
	}
	return broken && 2*taken < places && now.Sub(lastResult) > 3*time.Second
}
