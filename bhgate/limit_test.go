package bhgate

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// answerLimited answers and names a limit of two requests a second.
func answerLimited(w http.ResponseWriter, r *http.Request, number int) {
	w.Header().Set("Limit", "2")
	answerOK(w, r, number)
}

// TestRequestsBeyondALimitGoElsewhere guards against an upstream that gets more requests than
// it takes while another one is free.
func TestRequestsBeyondALimitGoElsewhere(t *testing.T) {
	limited, free := newUpstream(t, answerLimited), newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe, MaxAttempts: 2}, limited, free)
	began := time.Now()
	for attempt := range 60 {
		assert.Equal(t, http.StatusOK, g.status(g.request("/a/x", requestID("r", attempt))))
		time.Sleep(20 * time.Millisecond)
	}
	assert.LessOrEqual(t, float64(limited.count()), 2*time.Since(began).Seconds()*1.5+5)
	assert.Equal(t, 60, limited.count()+free.count())
}

// TestRequestsBeyondAllLimitsAreRefusedAtOnce guards against requests that wait although no
// upstream takes them, and against a time to come back at which none does either.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe, MaxAttempts: 2}, newUpstream(t, answerLimited), newUpstream(t, answerLimited))
	refused := 0
	for attempt := range 20 {
		sentAt := time.Now()
		response, body, err := g.do(g.request("/a/x", requestID("r", attempt)))
		require.NoError(t, err)
		if response.StatusCode == http.StatusOK {
			continue
		}
		refused++
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, body)
		assert.Less(t, time.Since(sentAt), 100*time.Millisecond)
		wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Positive(t, wait)
		if refused == 2 {
			time.Sleep(time.Duration(wait*float64(time.Second)) + time.Millisecond)
			assert.Equal(t, http.StatusOK, g.status(g.request("/a/x", requestID("again", attempt))), "after the wait of %g s", wait)
		}
	}
	assert.Positive(t, refused)
}

// TestMalformedLimitNeitherBindsNorEndsOne guards against an upstream that isn't asked any
// more, or is asked too often, because of a limit that can't be read.
func TestMalformedLimitNeitherBindsNorEndsOne(t *testing.T) {
	for _, first := range []string{"", "2"} {
		u := newUpstream(t, func(w http.ResponseWriter, r *http.Request, number int) {
			limit := "-1"
			if number == 1 && first != "" {
				limit = first
			}
			w.Header().Set("Limit", limit)
			answerOK(w, r, number)
		})
		g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe}, u)
		served := 0
		for attempt := range 20 {
			if g.status(g.request("/a/x", requestID(fmt.Sprint("r", first), attempt))) == http.StatusOK {
				served++
			}
		}
		if first == "" {
			assert.Equal(t, 20, served)
		} else {
			assert.Less(t, served, 10)
		}
	}
}

// TestColdUpstreamGetsWhatItTolerates guards against an upstream that gets more requests than it
// tolerates while it is cold, and against requests that aren't sent elsewhere instead.
func TestColdUpstreamGetsWhatItTolerates(t *testing.T) {
	cold, warm := newUpstream(t, answerOK), newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe}, cold, warm)
	g.policies.update(func(p *fakePolicies) {
		policy := *p.view.Index.Policy
		policy.Services = []bhpolicy.Service{{Name: "s", ColdTime: time.Hour, ColdRate: 5}}
		p.view.Index = bhpolicy.NewIndex(&policy)
		p.view.Fleet["s"][0].Cold, p.view.Fleet["s"][0].ColdUntil = time.Minute, g.clock.Now()+time.Minute
	})
	g.gate.config.Balancer.upstream("i-1").inflight = 1000 // the cold one has much less to do
	began := time.Now()
	for attempt := range 60 {
		assert.Equal(t, http.StatusOK, g.status(g.request("/a/x", requestID("r", attempt))))
		time.Sleep(20 * time.Millisecond)
	}
	assert.LessOrEqual(t, float64(cold.count()), 5*time.Since(began).Seconds()+1)
	assert.GreaterOrEqual(t, cold.count(), 3)
	assert.Equal(t, 60, cold.count()+warm.count())
}
