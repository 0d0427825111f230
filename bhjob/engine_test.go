package bhjob

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// fakeEngine is an upstream that streams events as a test configures it.
type fakeEngine struct {
	server *httptest.Server

	mu sync.Mutex
	// eventInterval is the time between events, eventCount their number.
	eventInterval time.Duration
	eventCount    int
	// status is the HTTP status of answers. Answers other than 200 have no
	// events.
	status int
	// abortAfter is the number of events after which the next stream is
	// aborted; zero means never.
	abortAfter int
	// crashes is the number of requests under which the engine still dies, without an
	// answer.
	crashes int
	// lethal is the ID of an item under which the engine ends, lethalPart a part of
	// prompts, lethalPrompt a whole prompt: the engine closes its listener and all connections, and onEnd is called.
	lethal       string
	lethalPart   string
	lethalPrompt string
	onEnd        func()
	// failures is the number of requests that still fail with status 500. If stutters is
	// set, each failure is written a second time on its connection, once the next request
	// has arrived there. failed holds the connections where one waits for that.
	failures int
	stutters bool
	failed   map[net.Conn]string
	// next answers the next request instead, if it isn't nil.
	next func(w http.ResponseWriter, r *http.Request)
	// live is the reported number of running live requests, waiting that of
	// waiting requests.
	live, waiting int
	// limit is what answers and reports name as the limit; empty if they name none.
	limit string
	// id is the engine's ID; if it is set, the engine refuses requests for others. born is its
	// start in its reports.
	id   string
	born int64
	// leaving and reportsLeaving say whether answers and reports state that the
	// engine is leaving.
	leaving, reportsLeaving bool
	running                 int
	requests                []http.Header
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func newFakeEngine(t *testing.T) *fakeEngine {
	e := &fakeEngine{eventInterval: time.Millisecond, eventCount: 5, status: http.StatusOK, failed: make(map[net.Conn]string)}
	e.server = httptest.NewUnstartedServer(e)
	e.server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	e.server.Start()
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEngine) set(change func(e *fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// Report implements Engine.
func (e *fakeEngine) Report(context.Context, string) (LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := LoadReport{Running: e.running + e.live, Waiting: e.waiting, Born: e.born, Leaving: e.reportsLeaving}
	if e.limit != "" {
		report.Limit = []string{e.limit}
	}
	return report, nil
}

// ServeHTTP implements http.Handler.
func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after reading the body
	e.mu.Lock()
	e.requests = append(e.requests, r.Header.Clone())
	interval, events, status, abortAfter := e.eventInterval, e.eventCount, e.status, e.abortAfter
	if e.introduce(w, r) {
		status = http.StatusMisdirectedRequest
	}
	next, onEnd, ends := e.next, e.onEnd, e.isLethal(r)
	e.abortAfter, e.next = 0, nil
	repeat, fails := e.fail(r)
	if fails {
		status = http.StatusInternalServerError
	}
	crash := e.crashes > 0
	e.crashes = max(0, e.crashes-1)
	e.running++
	e.mu.Unlock()
	defer e.set(func(e *fakeEngine) { e.running-- })
	repeat()
	if ends {
		onEnd()
		return
	}
	if crash {
		panic(http.ErrAbortHandler)
	}
	if next != nil {
		next(w, r)
		return
	}
	w.Header().Set(dialect.RequestID, r.Header.Get(dialect.RequestID))
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	resumeAfter, err := strconv.Atoi(r.Header.Get(dialect.LastEvent))
	if err != nil {
		resumeAfter = 0
	}
	for i := resumeAfter + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, r.Header.Get(dialect.RequestID), i)
		_ = http.NewResponseController(w).Flush()
		if abortAfter > 0 && i == resumeAfter+abortAfter {
			fmt.Fprint(w, "id: 99\ndata: part")
			panic(http.ErrAbortHandler)
		}
	}
}

// introduce writes what the engine says of itself, and reports whether the request is for another
// one. The caller holds e.mu.
func (e *fakeEngine) introduce(w http.ResponseWriter, r *http.Request) (misdirected bool) {
	if e.limit != "" {
		w.Header().Set(dialect.Limit, e.limit)
	}
	if e.leaving {
		w.Header().Set(dialect.Leaving, "1")
	}
	if misdirected = e.id != "" && r.Header.Get(dialect.Instance) != e.id; misdirected {
		w.Header().Set(dialect.Occupant, e.id)
	}
	return misdirected
}

// fail reports whether the engine fails the request. It returns a function that writes an
// earlier failure on the request's connection once more, if one waits for that. The caller holds
// e.mu.
func (e *fakeEngine) fail(r *http.Request) (repeat func(), fails bool) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	again := e.failed[conn]
	delete(e.failed, conn)
	if e.failures > 0 {
		e.failures--
		fails = true
		if e.stutters {
			e.failed[conn] = fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", dialect.RequestID, r.Header.Get(dialect.RequestID))
		}
	}
	return func() {
		if again != "" {
			_, _ = io.WriteString(conn, again)
		}
	}, fails
}

// isLethal reports whether the engine ends under the request. The caller holds e.mu.
func (e *fakeEngine) isLethal(r *http.Request) bool {
	return e.lethal != "" && r.Header.Get(dialect.RequestID) == e.lethal ||
		e.lethalPart != "" && slices.Contains(dialect.SharedParts(r.Header), e.lethalPart) ||
		e.lethalPrompt != "" && r.Header.Get("Parts") == e.lethalPrompt
}

func (e *fakeEngine) requestHeaders() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]http.Header(nil), e.requests...)
}
