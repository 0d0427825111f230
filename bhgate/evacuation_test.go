package bhgate

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// evacuate evacuates the data centres; the others are restored. A test gate's first
// upstream is in the data centre "here", the others are "far".
func (g *testGate) evacuate(centres ...string) {
	g.policies.update(func(p *fakePolicies) {
		p.view.Evacuated = make(map[string]bool)
		for _, centre := range centres {
			p.view.Evacuated[centre] = true
		}
	})
}

// TestEvacuatedUpstreamsGetNoRequests guards against a new request, a retry or the rest of a
// stream that is sent to an evacuated data centre.
func TestEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	t.Run("new request", func(t *testing.T) {
		here, far := newUpstream(t, answerOK), newUpstream(t, answerOK)
		g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe}, here, far)
		g.evacuate("here")
		assert.Equal(t, http.StatusOK, g.status(g.request("/a/x")))
		assert.Equal(t, []int{0, 1}, []int{here.count(), far.count()})
		g.evacuate("far")
		assert.Equal(t, http.StatusOK, g.status(g.request("/a/x", requestID("r", 2))))
		assert.Equal(t, []int{1, 1}, []int{here.count(), far.count()})
	})
	t.Run("retry", func(t *testing.T) {
		var g *testGate
		here, far := newUpstream(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
			g.evacuate("far")
			w.WriteHeader(http.StatusInternalServerError)
		}), newUpstream(t, answerOK)
		g = newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe, MaxAttempts: 3}, here, far)
		assert.Equal(t, http.StatusBadGateway, g.status(g.request("/a/x")), "the only attempt failed")
		assert.Equal(t, []int{1, 0}, []int{here.count(), far.count()})
	})
	t.Run("rest of a stream", func(t *testing.T) {
		var g *testGate
		breakAndEvacuate := func(w http.ResponseWriter, r *http.Request, number int) {
			g.evacuate("far")
			streamEvents(20, 7)(w, r, number)
		}
		here, far := newUpstream(t, breakAndEvacuate), newUpstream(t, streamEvents(20, 0))
		g = newTestGate(t, resumableRoute, here, far)
		_, _, err := g.do(g.request("/a/x"))
		require.Error(t, err, "the stream doesn't look complete")
		assert.Zero(t, far.count())
	})
}

// TestStreamGoesOnWhileItsDataCentreIsEvacuated guards against a request that is cut off
// although it was sent before the evacuation.
func TestStreamGoesOnWhileItsDataCentreIsEvacuated(t *testing.T) {
	var g *testGate
	here := newUpstream(t, func(w http.ResponseWriter, r *http.Request, number int) {
		g.evacuate("here")
		streamEvents(20, 0)(w, r, number)
	})
	g = newTestGate(t, resumableRoute, here, newUpstream(t, streamEvents(20, 0)))
	_, body, err := g.do(g.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, wholeStream(20), body)
}

// TestRequestsAreRefusedAtOnceIfAllDataCentresAreEvacuated guards against requests that wait
// for an upstream that none may get, and against clients that return too soon to be served.
func TestRequestsAreRefusedAtOnceIfAllDataCentresAreEvacuated(t *testing.T) {
	here, far := newUpstream(t, answerOK), newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe}, here, far)
	g.evacuate("here", "far", "nowhere")
	began := time.Now()
	response, body, err := g.do(g.request("/a/x"))
	require.NoError(t, err)
	assert.Less(t, time.Since(began), 100*time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, body, "evacuated")
	wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, wait, 0.45, "the client waits for 3 s")
	assert.LessOrEqual(t, wait, 1.0)
	g.evacuate("far")
	assert.Equal(t, http.StatusOK, g.status(g.request("/a/x", requestID("r", 2))))
	assert.Equal(t, []int{1, 0}, []int{here.count(), far.count()})
}

// TestStreamIsTakenUpOnlyOutsideEvacuatedDataCentres guards against a stream that a client
// takes up in an evacuated data centre because only that has its version.
func TestStreamIsTakenUpOnlyOutsideEvacuatedDataCentres(t *testing.T) {
	here, far := newUpstream(t, streamEvents(20, 0)), newUpstream(t, streamEvents(20, 0))
	g := newTestGate(t, resumableRoute, here, far)
	g.setVersions("v1", "v2")
	assert.Equal(t, http.StatusOK, g.status(g.request("/a/x")))
	g.evacuate("here")
	response, _, err := g.do(g.request("/a/x", takeUp("r1", "7")))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"), "the version may be served again")
	assert.Equal(t, []int{1, 0}, []int{here.count(), far.count()})
}
