package bhgate

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhquota"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// maxRunsOfCrashing is the number of upstreams that one crashing request may end: three
// before it counts as crashing, and three retries.
const maxRunsOfCrashing = 6

// maxRunsOfCrashingPart is the number of upstreams that requests with one crashing part
// of their prompts may end: five before it counts as crashing, and three retries.
const maxRunsOfCrashingPart = 8

// lethalPart is a part of prompts that ends each upstream that answers one with it.
const lethalPart = "bad"

// lapseTime is how long an upstream that has ended is still listed.
const lapseTime = 100 * time.Millisecond

// crashingService is a service whose upstreams end when they run a request with a
// certain path. Each is replaced at once by one with another ID and address, and listed
// until its entry lapses.
type crashingService struct {
	t    *testing.T
	gate *testGate

	mu      sync.Mutex
	started int
	crashes int
}

// newCrashingService gives the gate a service of the given number of upstreams.
func newCrashingService(t *testing.T, gate *testGate, upstreams int) *crashingService {
	s := &crashingService{t: t, gate: gate}
	for range upstreams {
		s.start()
	}
	return s
}

// setFleet changes the list of upstreams.
func (s *crashingService) setFleet(change func([]bhwatch.Instance) []bhwatch.Instance) {
	s.gate.policies.update(func(p *fakePolicies) {
		p.view.Fleet = map[string][]bhwatch.Instance{"s": change(slices.Clone(p.view.Fleet["s"]))}
	})
}

// start starts an upstream and lists it.
func (s *crashingService) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	id := fmt.Sprint("c-", s.started)
	var u *fakeUpstream
	u = newUpstream(s.t, func(w http.ResponseWriter, r *http.Request, _ int) {
		if !strings.Contains(r.URL.Path, "kill") && r.Header.Get("Parts") != lethalPrompt && !slices.Contains(testDialect.SharedParts(r.Header), lethalPart) {
			answerEvent(w, r, 0)
			return
		}
		if r.URL.Query().Has("late") {
			answerEvent(w, r, 0)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
		s.mu.Lock()
		s.crashes++
		s.mu.Unlock()
		s.start()
		time.AfterFunc(lapseTime, func() {
			s.setFleet(func(fleet []bhwatch.Instance) []bhwatch.Instance {
				return slices.DeleteFunc(fleet, func(listed bhwatch.Instance) bool { return listed.ID == id })
			})
		})
		_ = u.server.Config.Close() // closes the listener and all connections
	})
	s.setFleet(func(fleet []bhwatch.Instance) []bhwatch.Instance {
		return append(fleet, bhwatch.Instance{ID: id, Service: "s", Address: u.server.Listener.Addr().String(), Slots: 8})
	})
}

func (s *crashingService) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// requestID returns a change that sets the ID of a client's attempt.
func requestID(prefix string, attempt int) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Request-Id", fmt.Sprint(prefix, attempt)) }
}

// TestCrashingRequestIsNotRepeatedForever guards against a request that ends each
// upstream that runs it, and is sent to one upstream after the other as often as its
// client comes back. Other requests are served meanwhile.
func TestCrashingRequestIsNotRepeatedForever(t *testing.T) {
	for name, route := range map[string]bhpolicy.Route{
		"safe":      {Kind: bhpolicy.Safe, MaxAttempts: 2},
		"unsafe":    {Kind: bhpolicy.Unsafe, MaxAttempts: 2},
		"streaming": {Kind: bhpolicy.Streaming, MaxAttempts: 2},
		"resumable": {Kind: bhpolicy.Streaming, MaxAttempts: 3, Resumable: true},
	} {
		for _, query := range []string{"", "?late"} {
			t.Run(name+query, func(t *testing.T) {
				t.Parallel()
				g := newTestGate(t, route)
				s := newCrashingService(t, g, 4)
				for attempt := range 20 {
					response, _, err := g.do(g.request("/a/kill"+query, requestID("kill", attempt)))
					if err == nil && query == "" {
						assert.GreaterOrEqual(t, response.StatusCode, 500)
					}
					require.Equal(t, http.StatusOK, g.status(g.request("/a/other", requestID("ok", attempt))), "attempt %d", attempt)
				}
				assert.LessOrEqual(t, s.crashCount(), maxRunsOfCrashing)
			})
		}
	}
}

// prompt returns a change that sets the parts of the request's prompt.
func prompt(parts ...string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Parts", strings.Join(parts, ",")) }
}

// TestCrashingPartIsNotSentForever guards against requests with one part in their prompts
// that end each upstream that answers them, no two of the same content. Requests with
// the same account and other parts are served at once, also while crashes go on.
func TestCrashingPartIsNotSentForever(t *testing.T) {
	for name, parts := range map[string][]string{
		"first":                {lethalPart, "system", "own"},
		"middle":               {"system", lethalPart, "own"},
		"last but one of many": {"system", "tools", lethalPart, "own"},
		"alone":                {lethalPart, "own"},
	} {
		for _, query := range []string{"", "?late"} {
			t.Run(name+query, func(t *testing.T) {
				t.Parallel()
				g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, MaxAttempts: 2, Resumable: true})
				s := newCrashingService(t, g, 4)
				sound := slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return part == lethalPart })
				for attempt := range 25 {
					path := fmt.Sprint("/a/", attempt, query)
					_, _, err := g.do(g.request(path, requestID("bad", attempt), prompt(parts...)))
					_ = err // a broken answer is what the client of such a request gets
					require.Equal(t, http.StatusOK, g.status(g.request(path+"ok", requestID("ok", attempt), prompt(sound...))), "attempt %d", attempt)
				}
				assert.LessOrEqual(t, s.crashCount(), maxRunsOfCrashingPart)
			})
		}
	}
}

// lethalPrompt is a whole prompt that ends each upstream that answers it.
const lethalPrompt = "system,own-bad"

// TestCrashingPromptIsNotSentForever guards against a prompt that ends each upstream that
// answers it, in requests no two of the same content. Requests with the same shared parts
// are served at once.
func TestCrashingPromptIsNotSentForever(t *testing.T) {
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, MaxAttempts: 2, Resumable: true})
	s := newCrashingService(t, g, 4)
	for attempt := range 25 {
		path := fmt.Sprint("/a/", attempt)
		_, _, err := g.do(g.request(path, requestID("bad", attempt), prompt(lethalPrompt)))
		_ = err // a broken answer is what the client of such a request gets
		require.Equal(t, http.StatusOK, g.status(g.request(path+"ok", requestID("ok", attempt), prompt("system", path))), "attempt %d", attempt)
	}
	assert.LessOrEqual(t, s.crashCount(), maxRunsOfCrashing)
}

// countingQuota grants each request and counts them.
type countingQuota struct{ granted atomic.Int64 }

// Take implements Quota.
func (q *countingQuota) Take(context.Context, *bhpolicy.Account, time.Duration) bhquota.Decision {
	q.granted.Add(1)
	return bhquota.Decision{Granted: true}
}

// TestRefusedCrashingRequestsUseNoQuota guards against an account that is over its rate
// because of requests that are refused as crashing.
func TestRefusedCrashingRequestsUseNoQuota(t *testing.T) {
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe, MaxAttempts: 1})
	quota := &countingQuota{}
	g.gate.config.Quota = quota
	newCrashingService(t, g, 4)
	for attempt := range 3 {
		assert.Equal(t, http.StatusBadGateway, g.status(g.request("/a/kill", requestID("kill", attempt))))
	}
	granted := quota.granted.Load()
	for attempt := range 5 {
		response, _, err := g.do(g.request("/a/kill", requestID("again", attempt)))
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
	}
	assert.Equal(t, granted, quota.granted.Load())
}
