package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	workerQueue = 24
	// heartbeat is heartbeatMs of the settings.
	heartbeat = 1200 * time.Millisecond
)

// workerRun is a request that a worker began to work on.
type workerRun struct {
	worker, service, id, tenant, path string
	body                              uint64
	startedAt, endedAt                time.Time
}

// worker is a sound worker: it admits requests in order of arrival and streams events.
type worker struct {
	id, service, address string
	// runner names the process beside the worker.
	runner string
	events int
	gap    time.Duration
	born   int64
	log    *record
	server *http.Server
	slots  chan struct{}
	stop   chan struct{}

	// fails reports whether the run of the request with the ID, which is the given one of
	// all its runs, fails with status 500; nil fails none.
	fails func(id string, run int) bool

	mu               sync.Mutex
	running, waiting int
	closed           bool
	runs             []*workerRun
	// arrivals counts the requests by their ID, also those that wait or were refused.
	arrivals map[string]int
}

func newWorker(f *fleet, id, service string, listener net.Listener, slots, events int, gap time.Duration) *worker {
	w := &worker{
		id: id, service: service, address: listener.Addr().String(), events: events, gap: gap, born: time.Now().UnixMilli(),
		log: f.log, slots: make(chan struct{}, slots), stop: make(chan struct{}),
		arrivals: make(map[string]int),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	go w.report(f.store)
	return w
}

// report writes the worker's entry in the store until the worker is closed.
func (w *worker) report(store *storeServer) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		_ = store.put("servers", w.id, map[string]any{
			"service": w.service, "address": w.address, "zone": "z", "version": versions[w.service], "slots": cap(w.slots),
			"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": w.born,
		})
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// close ends the worker without an answer to the requests that it has.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	close(w.stop)
	_ = w.server.Close()
}

// count returns how often the worker has begun to run the request.
func (w *worker) count(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, run := range w.runs {
		if run.id == id {
			count++
		}
	}
	return count
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		w.serveReport(out)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != w.id {
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.arrivals[id]++
	w.mu.Unlock()
	if !w.admit(r) {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := w.begin(r, id, body)
	defer w.end(run)
	out.Header().Set("X-Response-Signature", "signed."+w.id+"."+id)
	if w.fails != nil && w.fails(id, w.count(id)) {
		w.log.note("%s answers %s with 500", w.id, id)
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := w.events
	if strings.HasPrefix(r.URL.Path, livePrefix) {
		events = liveEvents
	}
	for event := after + 1; event <= events; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.gap):
		}
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", event, eventText(w.service, event))
		_ = http.NewResponseController(out).Flush()
	}
}

// eventText returns the data of an event, which depends on the version of the software.
func eventText(service string, event int) string {
	return versions[service] + "-word" + strconv.Itoa(event)
}

func (w *worker) serveReport(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"stage": "both", "running": w.running, "waiting": w.waiting, "born": w.born})
}

// admit waits for a slot. It reports false if the queue is full or the caller left.
func (w *worker) admit(r *http.Request) bool {
	w.mu.Lock()
	if w.waiting >= workerQueue {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	admitted := false
	select {
	case w.slots <- struct{}{}:
		admitted = true
	case <-r.Context().Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	if admitted {
		w.running++
	}
	return admitted
}

func (w *worker) begin(r *http.Request, id string, body []byte) *workerRun {
	run := &workerRun{worker: w.id, service: w.service, id: id, tenant: r.Header.Get("X-Tenant"), path: r.URL.Path, body: digest(body), startedAt: time.Now()}
	w.log.note("%s (%s) runs %s: %s %s, X-Tenant %q, body of %d bytes %x, after event %q", w.id, w.service, id, r.Method, run.path, run.tenant,
		len(body), run.body, r.Header.Get("Last-Event-Id"))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run)
	return run
}

func (w *worker) end(run *workerRun) {
	<-w.slots
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	run.endedAt = time.Now()
}

// has reports whether the request has reached the worker.
func (w *worker) has(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals[id] > 0
}

// allRuns returns a copy of the worker's runs.
func (w *worker) allRuns() []workerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []workerRun
	for _, run := range w.runs {
		runs = append(runs, *run)
	}
	return runs
}

func digest(body []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	return hash.Sum64()
}
