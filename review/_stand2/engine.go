package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Speed of the model workers, as the sheets state it.
const (
	engineSlots     = 8
	engineQueue     = 24
	stepTime        = 2270 * time.Microsecond
	promptPerMs     = 123
	heartbeatPeriod = 1200 * time.Millisecond
)

// arrival is a request that reached a worker.
type arrival struct {
	At       time.Time
	Item     string
	Worker   string
	Resumed  string
	Refused  bool
	Complete bool
	// EndedAt is when the worker stopped to work on it; zero if it still does.
	EndedAt time.Time
}

// engine stands in for a model worker: it runs up to engineSlots requests at once, each as a
// stream with one event for each step, and drops a request whose connection closes.
type engine struct {
	id, service, address, zone string
	report                     func(arrival) int
	done                       func(int, bool)

	// spoilEach is the number of answers of which one holds a wrong byte; zero spoils none.
	spoilEach int

	slots chan struct{}
	mu    sync.Mutex
	// born and version are those of the present start; down is set between two starts.
	born    time.Time
	version string
	down    bool
	streams int
	waiting int
	running int
}

func newEngine(id, service, address string, report func(arrival) int, done func(int, bool)) *engine {
	return &engine{id: id, service: service, address: address, zone: "z", born: time.Now(), version: "v1", report: report, done: done, slots: make(chan struct{}, engineSlots)}
}

// entry is the worker's entry in the store.
func (e *engine) entry(sequence int) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": engineSlots,
		"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": e.born.UnixMilli()}
}

// checkIn writes the worker's entry until stop is closed.
func (e *engine) checkIn(s *store, stop <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		if !e.isDown() {
			s.set("servers", e.id, e.entry(sequence))
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

func (e *engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// restart ends the worker and starts it again with other software, under its name and address,
// after the time. It writes its entry as soon as it listens.
func (e *engine) restart(w *world, server *http.Server, version string, after time.Duration) {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	_ = server.Close()
	time.Sleep(after)
	e.mu.Lock()
	e.down, e.born, e.version = false, time.Now(), version
	e.mu.Unlock()
	server = w.serve(e.address, e)
	w.mu.Lock()
	w.servers[e] = server
	w.mu.Unlock()
	w.store.set("servers", e.id, e.entry(1))
}

func (e *engine) count(waiting, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += waiting
	e.running += running
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server notices that the connection closes only once the body is read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Instance-Id", e.id)
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if r.Method == http.MethodGet {
		e.mu.Lock()
		report := map[string]any{"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
			"busy": false, "sequence": 1, "waiting": e.waiting, "running": e.running, "kvUsed": 0, "kvTotal": 72000, "handles": 0, "born": e.born.UnixMilli()}
		e.mu.Unlock()
		reply(w, http.StatusOK, report)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		e.report(arrival{At: time.Now(), Item: r.Header.Get("X-Request-Id"), Worker: e.id, Refused: true})
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	full := e.waiting >= engineQueue
	e.mu.Unlock()
	number := e.report(arrival{At: time.Now(), Item: r.Header.Get("X-Request-Id"), Worker: e.id, Resumed: r.Header.Get("Last-Event-Id"), Refused: full})
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.count(1, 0)
	select {
	case e.slots <- struct{}{}:
		e.count(-1, 1)
	case <-r.Context().Done():
		e.count(-1, 0)
		e.done(number, false)
		return
	}
	defer func() {
		<-e.slots
		e.count(0, -1)
	}()
	e.done(number, e.stream(w, r))
}

// stream sends the events of a request. It reports whether it sent them all.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) bool {
	in, out := tokens(r.Header.Get("X-Token-Count"))
	time.Sleep(time.Duration(in) * time.Millisecond / promptPerMs)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", "s-"+e.id+"-"+r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	spoilAt := e.chooseSpoiled(first, out)
	next := time.Now()
	for n := first + 1; n <= out; n++ {
		if r.Context().Err() != nil {
			return false
		}
		event := []byte(fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, version, n))
		if n == spoilAt {
			event[len(event)-3] = 0xff // in place of the last digit
		}
		if _, err := w.Write(event); err != nil {
			return false
		}
		if err := controller.Flush(); err != nil {
			return false
		}
		next = next.Add(stepTime)
		time.Sleep(time.Until(next))
	}
	return true
}

// chooseSpoiled returns the event of the answer that is spoiled, or zero for none.
func (e *engine) chooseSpoiled(first, out int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams++
	if e.spoilEach == 0 || e.streams%e.spoilEach != 0 {
		return 0
	}
	return (first + out + 1) / 2
}

// tokens returns the numbers of an X-Token-Count header.
func tokens(header string) (in, out int) {
	first, second, _ := strings.Cut(header, ",")
	in, _ = strconv.Atoi(first)
	out, _ = strconv.Atoi(second)
	return in, out
}
