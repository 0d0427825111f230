package bhentry

import (
	"net/http"
	"sync/atomic"
	"time"
)

// coverGrace is how long a new entry waits to reach every upstream before it
// takes requests without some of them.
const coverGrace = 10 * time.Second

// readiness remembers whether this entry has ever reached every upstream. Once
// it has, a lost sidecar is no reason to send callers elsewhere.
type readiness struct {
	begun   time.Time
	covered atomic.Bool
}

// ready reports whether the platform's balancer should send callers here.
func (e *Entry) ready(now time.Time) bool {
	if e.leaving.Load() || !e.store.Trusted(now) || !e.limiter.Ready() {
		return false
	}
	state := e.store.Current()
	if state == nil {
		return false
	}
	if e.fleet.covers(state) {
		e.readiness.covered.Store(true)
	}
	return e.readiness.covered.Load() || now.Sub(e.readiness.begun) > coverGrace
}

// serveReady answers whether callers should be sent here.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready(time.Now()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// serveCover answers whether every upstream that should serve can be reached.
func (e *Entry) serveCover(w http.ResponseWriter, _ *http.Request) {
	if !e.fleet.covers(e.store.Current()) {
		http.Error(w, "some upstreams can't be reached", http.StatusServiceUnavailable)
	}
}
