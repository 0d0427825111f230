package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	engineSlots = 4
	engineQueue = 8
	eventGap    = 8 * time.Millisecond
	liveEvents  = 10
	itemEvents  = 60
	plainTime   = 15 * time.Millisecond
	// startHeader names the start of the engine that gave an answer.
	startHeader = "Soak-Start"
)

// engine is an upstream that admits requests in order of arrival.
type engine struct {
	id string
	// version is that of the engine's software, which each event tells.
	version string
	address string
	proxy   *proxy
	record  *recorder
	slots   chan struct{}
	// entryWrites is held while the engine's entry is written, so that the newest is last. checkIns
	// begins the heartbeats.
	entryWrites sync.Mutex
	checkIns    sync.Once

	mu sync.Mutex
	// starts is the number of starts, and startedAt when the last one was, in milliseconds since
	// 1970. leaving says that all answers tell that the engine leaves.
	starts    int
	startedAt int64
	leaving   bool
	// state is what the engine's entry says, and sequence the number of its writes.
	state    string
	sequence int
	// sabotaged is the share of the streams that the engine breaks off in one of the
	// ways of sabotage.
	sabotaged float64
	// down says that the engine has crashed and isn't back. relist lists its new start.
	down   bool
	relist func()
	// limit is the requests a second that the engine says it takes; zero if it names none.
	limit   float64
	running int
	waiting int
	// lost says that the engine has ended for good.
	lost bool
	// gray is the share of the items that the engine fails. stutters says that it writes its
	// answers twice, and again holds what is written once more, by connection.
	gray     float64
	stutters bool
	again    map[net.Conn]string
	// cutting is the share of the answers on new connections that end inside their head.
	cutting float64
	// unwilling is the share of the streams that the engine answers with an error instead
	// of going on with them. It breaks off half that share.
	unwilling float64
	// flood answers the items, if it isn't nil.
	flood http.Handler
}

func newEngine(t *testing.T, number int, version string, record *recorder) *engine {
	id := fmt.Sprintf("i-%d", number)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &engine{id: id, version: version, record: record, slots: make(chan struct{}, engineSlots), again: make(map[net.Conn]string)}
	e.begin()
	e.proxy = newProxy(t, hostIP("runner", number), listener.Addr().String())
	e.proxy.flooded = func() { record.broken("over %d bytes of an answer of %s were read", maxBabble, id) }
	e.address = e.proxy.address()
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute, ConnContext: withConnection}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return e
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.repeat(r)
	connectionOf(r).requests.Add(1)
	start, leaving := e.start()
	w.Header().Set(startHeader, start)
	e.nameLimit(w, r, start)
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/report" {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(e.report())
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Target-Instance"); want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		e.write(w, r, http.StatusMisdirectedRequest, "")
		return
	}
	e.record.reachedEvacuated(e.id, id)
	if !e.admit(r) {
		w.Header().Set("X-Not-Executed", "1")
		e.write(w, r, http.StatusServiceUnavailable, "")
		return
	}
	defer e.release()
	e.record.ran(id, e.id, start, r, string(body))
	if strings.HasPrefix(r.URL.Path, "/jobs/") {
		defer e.record.work.begin(id)()
	}
	if name, lethal := isLethal(r, string(body)); lethal {
		time.Sleep(plainTime)
		e.crash(name)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", signature(id))
	e.answer(w, r, id, string(body))
}

// start names the engine's present start, and says whether it leaves.
func (e *engine) start() (name string, leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%s/%d", e.id, e.starts), e.leaving
}

// leave has the engine tell in all answers that it leaves.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// restart ends a leaving engine and starts it again under the same id.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.begin()
		e.leaving = false
	}
}

func (e *engine) answer(w http.ResponseWriter, r *http.Request, id, body string) {
	if e.cuts(r) {
		e.cutHead(w, r, id)
		return
	}
	if flood := e.floodFor(r); flood != nil {
		flood.ServeHTTP(w, r)
		return
	}
	switch {
	case strings.HasPrefix(body, "poison"):
		e.write(w, r, http.StatusUnprocessableEntity, "")
	case strings.HasPrefix(body, "break"):
		e.stream(w, r, liveEvents/2, resets)
	case strings.HasPrefix(body, "fail"), e.failsItem(r):
		e.record.failed(id)
		e.record.work.fail(id)
		e.write(w, r, http.StatusInternalServerError, "")
	case strings.HasPrefix(r.URL.Path, "/safe/"), strings.HasPrefix(r.URL.Path, "/unsafe/"):
		time.Sleep(plainTime)
		pause(r.Context(), headerTime(r, waitHeader))
		if malforms(id) {
			e.writeMalformed(w, plainAnswer(id))
			return
		}
		e.write(w, r, http.StatusOK, plainAnswer(id))
	case strings.HasPrefix(r.URL.Path, "/jobs/"):
		e.stream(w, r, itemEvents, e.drawSabotage(r))
	default:
		e.stream(w, r, liveEvents, e.drawSabotage(r))
	}
}

// floodFor returns what answers the request without an end, or nil.
func (e *engine) floodFor(r *http.Request) http.Handler {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !strings.HasPrefix(r.URL.Path, "/jobs/") {
		return nil
	}
	return e.flood
}

// admit waits for a slot. It reports false if the queue is full or the caller left.
func (e *engine) admit(r *http.Request) bool {
	e.mu.Lock()
	if e.waiting >= engineQueue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	admitted := false
	select {
	case e.slots <- struct{}{}:
		admitted = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if admitted {
		e.running++
	}
	return admitted
}

func (e *engine) release() {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func signature(id string) string { return "signed-" + id }

func plainAnswer(id string) string { return strings.Repeat(id+" ", 20) }
