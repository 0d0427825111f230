package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform's settings that the checks use.
const (
	revocation  = 5 * time.Second
	cancelBound = 3 * time.Second
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	drainBound  = 2 * time.Second
)

// run is one run of a request at an engine.
type run struct {
	at     time.Time
	engine string
	tenant string
}

// attempt is one request as its client saw it.
type attempt struct {
	sent    time.Time
	gateway string
	tenant  string
	key     string
	path    string
	body    string
	// once reports that the request may run once at most.
	once bool
	// promised reports an answer that says that it never runs.
	promised bool
}

// recorder holds what clients and engines saw, and the rules that were broken.
type recorder struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	runs     map[string][]run
	revoked  map[string]time.Time
	ended    map[string]time.Time
	// left holds, by gateway and start of an engine, when the gateway first passed
	// on an answer that says that the engine leaves.
	left   map[[2]string]time.Time
	faults []string
	served int
	total  int
	// crashes is what happened under lethal bodies, disturbed the faults that struck
	// processes by gateway's address or runner's name.
	crashes map[string]*lethalRecord
	// prompts counts the sound requests beside the lethal part.
	prompts   struct{ sent, served int }
	disturbed map[string][]span
	// limits is what reached engines that named a limit, interrupted what struck senders
	// and engines meanwhile.
	limits      map[string]*limitRecord
	interrupted map[string][]span
	evacuations []*evacuation
	// failures counts the runs of items that engines failed, repeated the answers that
	// engines wrote a second time.
	failures map[string]int
	repeated int
	// streams counts what became of streams that may be resumed.
	streams counts
	// oddities tells, by request or item, how engines spoiled its answers. cuts counts the
	// answers that ended inside their head, cutsReused those on reused connections.
	oddities   map[string][]string
	cuts       map[string]int
	cutsReused int
	// late holds the requests to a gateway that stops in calm.
	late []*lateRequest
	// work is what engines did for the items of jobs.
	work *work
}

func newRecorder() *recorder {
	return &recorder{
		attempts: make(map[string]*attempt), runs: make(map[string][]run),
		revoked: make(map[string]time.Time), ended: make(map[string]time.Time), left: make(map[[2]string]time.Time),
		crashes: make(map[string]*lethalRecord), disturbed: make(map[string][]span),
		failures: make(map[string]int), oddities: make(map[string][]string), cuts: make(map[string]int),
		limits: make(map[string]*limitRecord), interrupted: make(map[string][]span), work: newWork(),
	}
}

// broken notes a broken rule.
func (r *recorder) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

func (r *recorder) sent(id string, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id] = a
	r.total++
}

// promise notes that an answer says that the request never runs.
func (r *recorder) promise(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id].promised = true
}

// serve counts a request that was answered as it should be.
func (r *recorder) serve() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
}

// begin counts a new stream that may be resumed, and whether it began.
func (r *recorder) begin(begun bool) {
	r.count(func(c *counts) {
		if begun {
			c.begun++
		} else {
			c.broken++
		}
	})
}

// passedOn notes that a gateway passed on an answer of a leaving engine.
func (r *recorder) passedOn(gateway, start string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]string{gateway, start}
	if _, ok := r.left[key]; !ok {
		r.left[key] = time.Now()
	}
}

// excuse forgets what a gateway passed on, which was restarted or frozen.
func (r *recorder) excuse(gateway string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.left {
		if key[0] == gateway {
			delete(r.left, key)
		}
	}
}

// ran notes that an engine runs a request, and checks it against what was sent.
func (r *recorder) ran(id, engine, start string, request *http.Request, body string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	complain := func(format string, args ...any) {
		r.faults = append(r.faults, fmt.Sprintf("request %s at %s: ", id, engine)+fmt.Sprintf(format, args...))
	}
	a := r.attempts[id]
	if a == nil {
		complain("no client sent it")
		return
	}
	r.runs[id] = append(r.runs[id], run{at: now, engine: engine, tenant: request.Header.Get("X-Tenant")})
	if request.Header.Get("Authorization") != "" {
		complain("the key was passed on")
	}
	if got := request.Header.Get("X-Tenant"); got != a.tenant {
		complain("tenant %q instead of %q", got, a.tenant)
	}
	if request.RequestURI != a.path || body != a.body {
		complain("path %q and body %q instead of %q and %q", request.RequestURI, body, a.path, a.body)
	}
	if at, ok := r.revoked[a.key]; ok && a.key != "" && a.sent.Sub(at) > revocation {
		complain("sent %s after its key was revoked", a.sent.Sub(at))
	}
	if at, ok := r.left[[2]string{a.gateway, start}]; ok && a.sent.Sub(at) > drainBound {
		complain("sent %s after its gateway passed on that the engine leaves", a.sent.Sub(at))
	}
	if name, lethal := isLethal(request, body); lethal {
		r.lethalRun(name, a.gateway, engine, now)
	}
	if at, ok := r.ended[jobOf(id)]; ok && now.Sub(at) > cancelBound {
		complain("reached an engine %s after the end of its job", now.Sub(at))
	}
}

// jobOf returns the job of an item's id, or an empty string.
func jobOf(id string) string {
	job, _, ok := strings.Cut(id, ".")
	if !ok {
		return ""
	}
	return job
}

// finish checks what holds for the whole run, and returns all broken rules.
func (r *recorder) finish(rates map[string]float64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range r.attempts {
		runs := r.runs[id]
		if a.once && len(runs) > 1 {
			r.faults = append(r.faults, fmt.Sprintf("request %s ran %d times: %+v", id, len(runs), runs))
		}
		if a.promised && len(runs) > 0 {
			r.faults = append(r.faults, fmt.Sprintf("request %s ran though its answer said it never would: %+v", id, runs))
		}
	}
	r.faults = append(r.faults, r.checkCrashes()...)
	r.faults = append(r.faults, r.checkLimits()...)
	r.faults = append(r.faults, r.checkEvacuations()...)
	r.faults = append(r.faults, r.checkLate()...)
	for tenant, rate := range rates {
		most, bound := r.busiest(tenant), (rate*quotaWindow.Seconds()+rate)*(1+quotaOver)+quotaSlack
		if float64(most) > bound {
			r.faults = append(r.faults, fmt.Sprintf("tenant %s: %d requests in %s, bound %.0f", tenant, most, quotaWindow, bound))
		}
	}
	return r.faults
}

// busiest returns the most requests of a tenant that were sent and ran within
// one window. Items of jobs don't count.
func (r *recorder) busiest(tenant string) int {
	type exposure struct{ sent, ran time.Time }
	var spans []exposure
	for id, runs := range r.runs {
		a := r.attempts[id]
		if a.tenant == tenant && jobOf(id) == "" {
			spans = append(spans, exposure{a.sent, runs[0].at})
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].ran.Before(spans[j].ran) })
	most := 0
	for i, last := range spans {
		count := 0
		for j := i; j >= 0 && last.ran.Sub(spans[j].ran) <= quotaWindow; j-- {
			if last.ran.Sub(spans[j].sent) <= quotaWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
