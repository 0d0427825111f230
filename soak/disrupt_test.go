package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// itemAttempts is the number of failures after which an item may be given up.
	itemAttempts = 3
	// entryTimeout is after how long the entry of a silent engine is removed.
	entryTimeout = 3600 * time.Millisecond
	// grayShare is the share of the items that a gray engine fails.
	grayShare = 0.4
	// rowBytes is below the largest value of a row that the platform's store takes.
	rowBytes = 60_000
	// belowPrefix lies below the prefix of the batch route. Paths of items have it.
	belowPrefix  = "/jobs/b1"
	belowService = "other"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connection counts the requests that arrived on it.
type connection struct {
	net.Conn
	requests atomic.Int32
}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connection{Conn: conn})
}

func connectionOf(r *http.Request) *connection { return r.Context().Value(connKey{}).(*connection) }

// disrupt brings about what the other faults lack until ctx is done: an engine that is lost
// for good, a route below another one, engines that fail items or answer twice, and odd
// entries in the list of engines.
func (w *world) disrupt(ctx context.Context, random *rand.Rand) {
	passing := w.addEngine()
	life := 2*time.Second + time.Duration(random.IntN(int(troubleTime-2*time.Second)))
	time.AfterFunc(life, func() { w.lose(passing) })
	below := time.Duration(random.IntN(int(troubleTime)))
	time.AfterFunc(below, w.addRouteBelow)
	for ctx.Err() == nil {
		e := w.engines[random.IntN(len(w.engines))]
		switch random.IntN(3) {
		case 0:
			e.set(func(e *engine) { e.gray = grayShare })
		case 1:
			e.set(func(e *engine) { e.stutters = true })
		case 2:
			w.listOdd(random)
		}
		pause(ctx, time.Duration(300+random.IntN(1500))*time.Millisecond)
		if random.IntN(2) == 0 {
			e.set(func(e *engine) { e.gray, e.stutters = 0, false })
		}
	}
	for _, e := range w.engines {
		e.set(func(e *engine) { e.gray, e.stutters = 0, false })
	}
}

// set changes the engine.
func (e *engine) set(change func(e *engine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// addEngine adds an engine, and a runner beside it, that no other fault is aimed at.
func (w *world) addEngine() *engine {
	e := newEngine(w.t, len(w.engines), "v1", w.record)
	e.relist = func() {
		if w.t.Context().Err() == nil {
			w.list(e, "ready")
		}
	}
	w.list(e, "ready")
	p := w.newProcess("runner", len(w.engines), e.address)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beside = p
	return e
}

// all returns all processes.
func (w *world) all() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.beside == nil {
		return w.processes
	}
	return append(w.processes[:len(w.processes):len(w.processes)], w.beside)
}

// lose ends an engine for good. The runner beside it runs on, and the engine's entry is
// removed once it has expired.
func (w *world) lose(e *engine) {
	if w.t.Context().Err() != nil {
		return
	}
	e.set(func(e *engine) { e.lost = true })
	e.proxy.down()
	time.AfterFunc(entryTimeout, func() { _ = w.store.remove("servers", e.id) })
}

// addRouteBelow adds a route below the batch route, to another service.
func (w *world) addRouteBelow() {
	if w.t.Context().Err() != nil {
		return
	}
	w.mu.Lock()
	w.below = true
	w.mu.Unlock()
	w.configure()
}

// failsItem reports whether the engine fails the request, an item of a job.
func (e *engine) failsItem(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/jobs/") && e.draws(func(e *engine) float64 { return e.gray })
}

// write answers with the status and the body.
func (e *engine) write(w http.ResponseWriter, r *http.Request, status int, body string) {
	e.stutter(w, r, status, body)
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, body)
}

// stutter has a stuttering engine write its answer a second time, once another request has
// arrived on the connection.
func (e *engine) stutter(w http.ResponseWriter, r *http.Request, status int, body string) {
	conn := connectionOf(r)
	var again strings.Builder
	fmt.Fprintf(&again, "HTTP/1.1 %d Again\r\nContent-Length: %d\r\n", status, len(body))
	_ = w.Header().Write(&again)
	again.WriteString("\r\n" + body)
	e.set(func(e *engine) {
		if e.stutters {
			e.again[conn] = again.String()
		}
	})
}

// repeat writes the answer to an earlier request on the connection once more, if one waits
// for that.
func (e *engine) repeat(r *http.Request) {
	conn := connectionOf(r)
	e.mu.Lock()
	again := e.again[conn]
	delete(e.again, conn)
	e.mu.Unlock()
	if again != "" {
		_, _ = fmt.Fprint(conn, again)
		e.record.repeat()
	}
}

// failed counts a run of an item that its engine answered with status 500.
func (r *recorder) failed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[id]++
}

// repeat counts an answer that an engine wrote a second time.
func (r *recorder) repeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeated++
}

// mayBeDead reports whether the item may be given up: it was rejected for good, or failed
// in all of its attempts.
func (r *recorder) mayBeDead(id, body string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.HasPrefix(body, "poison") || r.failures[id] >= itemAttempts
}

// TestEarlyGivenUpItemsAreSeen checks that the soak would see an item that is given up before
// all of its attempts have failed.
func TestEarlyGivenUpItemsAreSeen(t *testing.T) {
	r := newRecorder()
	for range itemAttempts - 1 {
		r.failed("j.0")
	}
	assert.False(t, r.mayBeDead("j.0", "item j.0"))
	assert.True(t, r.mayBeDead("j.0", "poison j.0"))
	r.failed("j.0")
	assert.True(t, r.mayBeDead("j.0", "item j.0"))
}
