package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is what a worker saw of one request.
type Run struct {
	Worker, ID, Path, Tenant string
	// Arrived and Ended are when the request was read and when the worker was done with it; Ended is
	// zero while it works.
	Arrived, Ended time.Time
	Status         int
	// Began reports that the worker began to work; Whole that it wrote its whole answer.
	Began, Whole bool
	After        int
	// Deadline is how long the sender said that it waits; zero if it didn't.
	Deadline time.Duration
	// Stopped reports that the worker stopped at the deadline, Left that its caller closed the channel before.
	Stopped, Left bool
}

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	Name, Service, Address, Zone string
	Slots, Queue                 int
	// Weights is the version of the weights; zero for an application without a model.
	Weights int
	// Events returns the number of events and the pause between them of an answer to the request.
	Events func(r *http.Request) (int, time.Duration)
	Store  *Store
}

// Worker is a stand-in for a worker (PROTOCOL.md, "Workers").
type Worker struct {
	config WorkerConfig
	slots  chan struct{}
	server *http.Server
	born   time.Time
	done   chan struct{}

	mu               sync.Mutex
	runs             []*Run
	waiting, running int
	sequence         int
	state            string
}

// StartWorker starts a worker, which enters itself into the store.
func StartWorker(config WorkerConfig) (*Worker, error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, err
	}
	w := &Worker{config: config, slots: make(chan struct{}, config.Slots), born: time.Now(), done: make(chan struct{}), state: "ready"}
	w.server = &http.Server{Handler: w, IdleTimeout: 30 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	return w, nil
}

// beat writes the worker's entry every 1.2 s.
func (w *Worker) beat() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		w.enter()
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
	}
}

func (w *Worker) enter() {
	w.mu.Lock()
	if w.state == "" {
		w.mu.Unlock()
		return
	}
	w.sequence++
	entry := map[string]any{
		"service": w.config.Service, "address": w.config.Address, "zone": w.config.Zone, "version": "v1", "slots": w.config.Slots,
		"state": w.state, "coldRemainingMs": 0, "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	if w.config.Weights > 0 {
		entry["stage"], entry["models"] = "both", w.models()
	}
	w.mu.Unlock()
	w.config.Store.Put("servers", "", w.config.Name, entry)
}

// Drain reports that the worker is draining.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.enter()
}

func (w *Worker) models() []map[string]any {
	return []map[string]any{{"name": "m", "version": w.config.Weights, "adapters": []string{}}}
}

// Leave removes the worker's entry without a report of draining. The worker serves on, and its answers say that
// it closes their channels.
func (w *Worker) Leave() {
	w.mu.Lock()
	w.state = ""
	w.mu.Unlock()
	w.server.SetKeepAlivesEnabled(false)
	w.config.Store.Delete("servers", "", w.config.Name)
}

// Close ends the worker at once.
func (w *Worker) Close() {
	close(w.done)
	_ = w.server.Close()
}

// Runs returns copies of what the worker saw.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []Run
	for _, run := range w.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Load returns how many requests run and wait.
func (w *Worker) Load() (running, waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running, w.waiting
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		running, waiting := w.Load()
		reply(rw, http.StatusOK, map[string]any{
			"stage": "both", "models": w.models(), "busy": false, "sequence": 0, "waiting": waiting, "running": running,
			"kvUsed": running * 600, "kvTotal": 79783, "handles": 0, "born": w.born.UnixMilli(),
		})
		return
	case "/health":
		rw.Header().Set("X-Instance-Id", w.config.Name)
		rw.WriteHeader(http.StatusOK)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &Run{Worker: w.config.Name, ID: r.Header.Get("X-Request-Id"), Path: r.URL.Path, Tenant: r.Header.Get("X-Tenant"), Arrived: time.Now(), After: after}
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil && ms > 0 {
		run.Deadline = time.Duration(ms) * time.Millisecond
	}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		run.Ended = time.Now()
		w.mu.Unlock()
	}()
	refuse := func(status int) {
		w.mu.Lock()
		run.Status = status
		w.mu.Unlock()
		rw.Header().Set("X-Request-Id", run.ID)
		rw.Header().Set("X-Instance-Id", w.config.Name)
		if status != http.StatusMisdirectedRequest {
			rw.Header().Set("X-Not-Executed", "1")
		}
		rw.Header().Set("Content-Length", "0")
		rw.WriteHeader(status)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.config.Name {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if expected := r.Header.Get("X-Expected-Version"); expected != "" && expected != strconv.Itoa(w.config.Weights) {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if !w.enterQueue() {
		refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		w.count(-1, 0)
		return
	}
	w.count(-1, 1)
	defer func() {
		w.count(0, -1)
		<-w.slots
	}()
	w.mu.Lock()
	run.Began, run.Status = true, http.StatusOK
	w.mu.Unlock()
	if w.stream(rw, r, run) {
		w.mu.Lock()
		run.Whole = true
		w.mu.Unlock()
	}
}

func (w *Worker) enterQueue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= w.config.Queue {
		return false
	}
	w.waiting++
	return true
}

func (w *Worker) count(waiting, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting += waiting
	w.running += running
}

func (w *Worker) mark(flag *bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*flag = true
}

// Piece is the data of an event, which is the same at all workers.
func Piece(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }

// stream writes the events after the last one that the caller has.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, run *Run) bool {
	count, pause := w.config.Events(r)
	var deadline <-chan time.Time
	if run.Deadline > 0 {
		deadline = time.After(time.Until(run.Arrived.Add(run.Deadline)))
	}
	rw.Header().Set("X-Request-Id", run.ID)
	rw.Header().Set("X-Response-Signature", "s."+run.ID)
	rw.Header().Set("X-Weight-Versions", strconv.Itoa(max(1, w.config.Weights)))
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := run.After + 1; event <= count; event++ {
		select {
		case <-r.Context().Done():
			w.mark(&run.Left)
			return false
		case <-deadline:
			w.mark(&run.Stopped)
			panic(http.ErrAbortHandler) // the stream breaks off visibly
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", event, Piece(run.ID, event)); err != nil {
			return false
		}
		if http.NewResponseController(rw).Flush() != nil {
			return false
		}
	}
	return true
}

// text returns the whole output of an item with that many events.
func text(id string, count int) string {
	var pieces []string
	for event := 1; event <= count; event++ {
		pieces = append(pieces, Piece(id, event))
	}
	return strings.Join(pieces, "\n")
}
