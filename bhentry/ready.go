package bhentry

import (
	"net/http"
	"sync/atomic"
	"time"
)

// reachGrace is how long a new entry waits to reach all upstreams before it
// accepts requests without some of them.
const reachGrace = 10 * time.Second

// readiness records whether this entry has ever reached all upstreams. From
// then on, a lost sidecar doesn't make the entry unready.
type readiness struct {
	startedAt  time.Time
	reachedAll atomic.Bool
}

// ready reports whether the platform's load balancer should send requests to
// this entry.
func (e *Entry) ready(now time.Time) bool {
	if e.leaving.Load() || !e.configStore.KeysTrusted(now) || !e.limiter.Ready() {
		return false
	}
	snapshot := e.configStore.Current()
	if snapshot == nil {
		return false
	}
	if e.fleet.reachesAllUpstreams(snapshot) {
		e.readiness.reachedAll.Store(true)
	}
	return e.readiness.reachedAll.Load() || now.Sub(e.readiness.startedAt) > reachGrace
}

// serveReadyz responds with 503 if this entry isn't ready for requests, else
// 200.
func (e *Entry) serveReadyz(w http.ResponseWriter, _ *http.Request) {
	if !e.ready(time.Now()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// serveCoverz responds with 503 if there is no configuration or some upstream
// can't be reached, else 200.
func (e *Entry) serveCoverz(w http.ResponseWriter, _ *http.Request) {
	if !e.fleet.reachesAllUpstreams(e.configStore.Current()) {
		http.Error(w, "some upstreams can't be reached", http.StatusServiceUnavailable)
	}
}
