package bhgate

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhjob"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhquota"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

func answerOK(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Signature", "s1")
	fmt.Fprint(w, "fine")
}

func TestForwardedRequestCarriesAccountButNotKey(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe}, u)
	response, body, err := g.do(g.request("/a/b%2Fc?x=1", func(req *http.Request) {
		req.Header.Set("Account", "forged")
		req.Header.Set("Instance", "forged")
		req.Header.Set("X-Other", "kept")
	}))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "fine", body)
	assert.Equal(t, "s1", response.Header.Get("Signature"))
	got := u.last()
	assert.Equal(t, "/a/b%2Fc?x=1", got.RequestURI)
	assert.Equal(t, "one.example", got.Host)
	assert.Equal(t, "zoo", got.Header.Get("Account"))
	assert.Equal(t, "i-0", got.Header.Get("Instance"))
	assert.Equal(t, "kept", got.Header.Get("X-Other"))
	assert.Empty(t, got.Header.Get("Authorization"))
	remaining, err := strconv.Atoi(got.Header.Get("Deadline"))
	require.NoError(t, err)
	assert.LessOrEqual(t, remaining, 3000)
	assert.Greater(t, remaining, 2000)
	assert.Equal(t, "body", u.bodies[0])
}

func TestPublicRouteNeedsNoKeyAndForwardsNoAccount(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{}, u)
	g.policies.update(func(p *fakePolicies) { p.silent, p.view.ProvenAt = true, 0 }) // a request without a key needs no proof
	assert.Equal(t, http.StatusOK, g.status(g.request("/open/x", func(req *http.Request) { req.Header.Set("Account", "forged") })))
	assert.Empty(t, u.last().Header.Get("Account"))
	assert.Empty(t, u.last().Header.Get("Authorization"))
}

// A key or a route may be newer than the policy that the gate has, so the gate reads
// the policy again before it refuses a request.
func TestRefusalsAreConfirmedWithANewerPolicy(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{}, u)
	newKey := func(req *http.Request) { req.Header.Set("Authorization", "Key k2") }
	assert.Equal(t, http.StatusUnauthorized, g.status(g.request("/a/x", newKey)))
	assert.Equal(t, http.StatusNotFound, g.status(g.request("/none/x")))
	assert.Equal(t, 2, g.policies.confirms)

	newer := *g.policies.view.Index.Policy
	newer.Accounts = []bhpolicy.Account{{Name: "zoo", Keys: []string{"k1", "k2"}}}
	view := g.policies.View()
	view.Index, view.ProvenAt = bhpolicy.NewIndex(&newer), g.clock.Now()
	g.policies.update(func(p *fakePolicies) { p.confirmed = &view })
	assert.Equal(t, http.StatusOK, g.status(g.request("/a/x", newKey)))

	g.policies.update(func(p *fakePolicies) { p.confirmErr = bhcode.New(bhcode.PlatformUnavailable, "down") })
	assert.Equal(t, http.StatusServiceUnavailable, g.status(g.request("/a/x", func(req *http.Request) { req.Header.Set("Authorization", "Key k3") })))
	assert.Equal(t, http.StatusServiceUnavailable, g.status(g.request("/none/x")))
}

// Without a policy the gate can't know that a request isn't allowed, so it must
// not answer 401 or 404.
func TestWithoutAPolicyRequestsGet503(t *testing.T) {
	g := newTestGate(t, bhpolicy.Route{})
	g.policies.update(func(p *fakePolicies) {
		p.view, p.confirmErr = bhwatch.View{}, bhcode.New(bhcode.NoConfiguration, "none")
	})
	assert.Equal(t, http.StatusServiceUnavailable, g.status(g.request("/a/x")))
	recorder := httptest.NewRecorder()
	g.gate.Ready(recorder, nil)
	assert.Equal(t, http.StatusServiceUnavailable, recorder.Code)
}

func TestKeysNeedARecentPolicyProof(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		status int
		ready  int
	}{
		{2 * time.Second, http.StatusOK, http.StatusOK},
		{4 * time.Second, http.StatusOK, http.StatusServiceUnavailable},
		{4700 * time.Millisecond, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		u := newUpstream(t, answerOK)
		g := newTestGate(t, bhpolicy.Route{}, u)
		g.policies.update(func(p *fakePolicies) { p.silent, p.view.ProvenAt = true, g.clock.Now()-c.age })
		response, _, err := g.do(g.request("/a/x"))
		require.NoError(t, err)
		assert.Equal(t, c.status, response.StatusCode, "%s", c.age)
		assert.Equal(t, c.status == http.StatusOK, u.count() == 1, "%s", c.age)
		assert.Equal(t, c.ready != http.StatusOK, response.Close, "the client is sent to another gateway after %s", c.age)
		if c.status != http.StatusOK {
			assert.Equal(t, "0.050", response.Header.Get("Retry-After"), "another gateway may serve at once")
		}
		recorder := httptest.NewRecorder()
		g.gate.Ready(recorder, nil)
		assert.Equal(t, c.ready, recorder.Code, "%s", c.age)
	}
}

func TestOverQuotaIsRefusedWithRetryAfter(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{}, u)
	g.quota["zoo"] = true
	response, _, err := g.do(g.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	assert.Equal(t, "0.250", response.Header.Get("Retry-After"))
	assert.Zero(t, u.count())
}

// TestRetriesDependOnTheUpstreamAnswer sends one request whose first upstream
// answers or fails in some way. It checks the answer that the client gets and
// whether the second upstream gets the request. A request may be sent again only
// if the first upstream certainly did not run it or if the route is repeatable.
func TestRetriesDependOnTheUpstreamAnswer(t *testing.T) {
	hijack := func(text string) func(http.ResponseWriter, *http.Request, int) {
		return func(w http.ResponseWriter, _ *http.Request, _ int) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, text)
			conn.Close()
		}
	}
	answer := func(status int, refused bool) func(http.ResponseWriter, *http.Request, int) {
		return func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Signature", "s1")
			if refused {
				w.Header().Set("Not-Run", "1")
			}
			w.WriteHeader(status)
		}
	}
	safe, unsafe := bhpolicy.Route{Kind: bhpolicy.Safe, MaxAttempts: 2}, bhpolicy.Route{Kind: bhpolicy.Unsafe, MaxAttempts: 2}
	single := bhpolicy.Route{Kind: bhpolicy.Unsafe, MaxAttempts: 1}
	for name, c := range map[string]struct {
		route  bhpolicy.Route
		first  func(http.ResponseWriter, *http.Request, int)
		status int
		second int  // requests that the second upstream gets
		signed bool // whether the answer carries the upstream's signature
	}{
		"refused, unsafe":                    {unsafe, answer(503, true), 200, 1, true},
		"refused, no attempt left":           {single, answer(503, true), 503, 0, false},
		"moved":                              {unsafe, answer(421, false), 200, 1, true},
		"moved, no attempt left":             {single, answer(421, false), 503, 0, false},
		"503 without not-run header, unsafe": {unsafe, answer(503, false), 502, 0, false},
		"503 without not-run header, safe":   {safe, answer(503, false), 200, 1, true},
		"429 without not-run header, unsafe": {unsafe, answer(429, false), 502, 0, false},
		"500, unsafe":                        {unsafe, answer(500, false), 500, 0, true},
		"500, safe":                          {safe, answer(500, false), 200, 1, true},
		"404 of the upstream":                {safe, answer(404, false), 404, 0, true},
		"closed without answer, unsafe":      {unsafe, hijack(""), 502, 0, false},
		"closed without answer, safe":        {safe, hijack(""), 200, 1, true},
		"another request's answer":           {unsafe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 0\r\n\r\n"), 502, 0, false},
		"not an answer, safe":                {safe, hijack("nonsense\r\n\r\n"), 200, 1, true},
		"short body, unsafe":                 {unsafe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nfi"), 502, 0, false},
		"short body, safe":                   {safe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nfi"), 200, 1, true},
		"whole body without a length":        {unsafe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s1\r\n\r\nfine"), 200, 0, true},
		"stray bytes after the response":     {unsafe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s1\r\nContent-Length: 4\r\n\r\nfineHTTP/1.1 200"), 200, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newUpstream(t, c.first), newUpstream(t, answerOK)
			g := newTestGate(t, c.route, first, second)
			response, _, err := g.do(g.request("/a/x"))
			require.NoError(t, err)
			assert.Equal(t, c.status, response.StatusCode)
			assert.Equal(t, 1, first.count())
			assert.Equal(t, c.second, second.count())
			assert.Equal(t, c.signed, response.Header.Get("Signature") != "", "the signature is the upstream's own")
			if c.status == http.StatusServiceUnavailable {
				assert.NotEmpty(t, response.Header.Get("Retry-After"))
			}
		})
	}
}

func TestUnreachableUpstreamsAreNotCountedAsSends(t *testing.T) {
	dead, alive := newUpstream(t, answerOK), newUpstream(t, answerOK)
	dead.server.Close()
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe, MaxAttempts: 1}, dead, alive)
	assert.Equal(t, http.StatusOK, g.status(g.request("/a/x")))
	assert.Equal(t, 1, alive.count())
}

// TestLogTellsWhyARequestDidNotRun guards against a request whose only upstream couldn't be
// connected to, and whose log line says no more than that no upstream is left.
func TestLogTellsWhyARequestDidNotRun(t *testing.T) {
	dead := newUpstream(t, answerOK)
	dead.server.Close()
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe}, dead)
	var log bytes.Buffer
	logger, err := bhlog.New(&log, bhlog.Info)
	require.NoError(t, err)
	g.gate.config.Logger = logger
	assert.Equal(t, http.StatusServiceUnavailable, g.status(g.request("/a/x")))
	g.server.Close() // waits until the request is logged
	assert.Contains(t, log.String(), "event=request.failed")
	assert.Contains(t, log.String(), "sends=0")
	assert.Contains(t, log.String(), `not_run="upstream_lost (2006): connecting to `+dead.server.Listener.Addr().String())
}

func TestDrainingUpstreamGetsNoRequest(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{}, u)
	instance := g.policies.view.Fleet["s"][0]
	instance.Draining = true
	g.policies.update(func(p *fakePolicies) { p.view.Fleet = map[string][]bhwatch.Instance{"s": {instance}} })
	assert.Equal(t, http.StatusServiceUnavailable, g.status(g.request("/a/x")))
	assert.Zero(t, u.count())
}

func TestRouteTimeoutEndsTheRequest(t *testing.T) {
	cancelled := make(chan struct{})
	u := newUpstream(t, func(_ http.ResponseWriter, req *http.Request, _ int) {
		<-req.Context().Done()
		close(cancelled)
	})
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe, Timeout: 150 * time.Millisecond}, u)
	response, _, err := g.do(g.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	<-cancelled
}

func TestClientDisconnectCancelsTheUpstreamRequest(t *testing.T) {
	cancelled := make(chan struct{})
	u := newUpstream(t, func(_ http.ResponseWriter, req *http.Request, _ int) {
		<-req.Context().Done()
		close(cancelled)
	})
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe, MaxAttempts: 3}, u)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, _, err := g.do(g.request("/a/x").WithContext(ctx))
		done <- err
	}()
	require.Eventually(t, func() bool { return u.count() == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Error(t, <-done)
	<-cancelled
	require.Eventually(t, func() bool { return g.gate.Inflight() == 0 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, 1, u.count(), "the request is not sent again")
}

func TestTooLargeBodiesAreRefused(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{}, u)
	policy := *g.policies.view.Index.Policy
	policy.Limits.BodyBytes = 10
	g.policies.update(func(p *fakePolicies) { p.view.Index = bhpolicy.NewIndex(&policy) })
	for _, chunked := range []bool{false, true} {
		request := g.request("/a/x")
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 11)))
		request.ContentLength = 11
		if chunked {
			request.ContentLength = -1
		}
		assert.Equal(t, http.StatusRequestEntityTooLarge, g.status(request))
	}
	assert.Zero(t, u.count())
}

// Guards against heads inside the limit that are refused, and against a refusal that doesn't name
// its request.
func TestTooLargeHeadsAreRefused(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{}, u)
	policy := *g.policies.view.Index.Policy
	policy.Limits.HeadBytes = 2000
	g.policies.update(func(p *fakePolicies) { p.view.Index = bhpolicy.NewIndex(&policy) })
	request := g.request("/a/x", withID("small"))
	request.Header.Set("X", strings.Repeat("x", 1700))
	assert.Equal(t, http.StatusOK, g.status(request))
	request = g.request("/a/x", withID("large"))
	request.Header.Set("X", strings.Repeat("x", 2000))
	response, _, err := g.do(request)
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	assert.Equal(t, "large", response.Header.Get(g.gate.config.Dialect.RequestID))
	assert.Equal(t, 1, u.count())
}

func TestLargeAnswersAreRelayedCompletely(t *testing.T) {
	large := strings.Repeat("0123456789", 100_000)
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, large) })
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe}, u)
	_, body, err := g.do(g.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, large, body)
}

func TestDrainingGateClosesConnectionsAfterAnswers(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{}, u)
	g.gate.Drain(time.Now().Add(time.Minute))
	response, _, err := g.do(g.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.True(t, response.Close)
	recorder := httptest.NewRecorder()
	g.gate.Ready(recorder, nil)
	assert.Equal(t, http.StatusServiceUnavailable, recorder.Code)
}

func TestPanicEndsOnlyItsOwnCall(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{}, u)
	g.gate.config.Quota = panickingQuota{}
	_, _, err := g.do(g.request("/a/x"))
	require.Error(t, err)
	assert.Equal(t, http.StatusOK, g.status(g.request("/open/x")))
}

type panickingQuota struct{}

// Take implements Quota.
func (panickingQuota) Take(context.Context, *bhpolicy.Account, time.Duration) bhquota.Decision {
	panic("broken")
}

func TestRequestTargetIsNotCleaned(t *testing.T) {
	u := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{}, u)
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "POST /a//b/../c HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\nAuthorization: Key k1\r\nContent-Length: 2\r\n\r\nhi")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "/a//b/../c", u.last().RequestURI)
}

// fakeJobs records the last submission; all its methods return err.
type fakeJobs struct {
	submission bhjob.Submission
	err        error
}

// Submit implements Jobs.
func (j *fakeJobs) Submit(_ context.Context, submission bhjob.Submission) error {
	j.submission = submission
	return j.err
}

// Results implements Jobs.
func (j *fakeJobs) Results(context.Context, string, string, int) (bhjob.Results, error) {
	return bhjob.Results{}, j.err
}

// Body implements Jobs.
func (j *fakeJobs) Body(context.Context, string, string, string) ([]byte, error) { return nil, j.err }

// End implements Jobs.
func (j *fakeJobs) End(context.Context, string, string) error { return j.err }

// fakeJobCalls parses requests under /job/ as calls that read results.
type fakeJobCalls struct{}

// Parse implements JobCalls.
func (fakeJobCalls) Parse(r *http.Request) (JobCall, bool) {
	return JobCall{Kind: ReadResults, Job: "j"}, strings.HasPrefix(r.RequestURI, "/job/")
}

// Items implements JobCalls.
func (fakeJobCalls) Items(body []byte) ([]bhjob.Item, error) {
	return []bhjob.Item{{ID: "i", Body: body}}, nil
}

// Results implements JobCalls.
func (fakeJobCalls) Results(bhjob.Results) ([]byte, error) { return []byte("results"), nil }

func TestJobsAreAcceptedOnlyWhenStored(t *testing.T) {
	jobs := &fakeJobs{}
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Batch, RunTarget: time.Minute, MaxQueuedTokens: 7})
	g.gate.config.Jobs, g.gate.config.Calls = jobs, fakeJobCalls{}
	for _, c := range []struct {
		err  error
		want int
	}{
		{nil, http.StatusAccepted},
		{bhcode.New(bhcode.RateExceeded, "full").WithRetryAfter(time.Second), http.StatusTooManyRequests},
		{bhcode.New(bhcode.PlatformUnavailable, "down"), http.StatusServiceUnavailable},
		{bhcode.New(bhcode.PlatformUnknown, "lost").WithRan(bhcode.RanUnknown), http.StatusBadGateway},
	} {
		jobs.err = c.err
		assert.Equal(t, c.want, g.status(g.request("/a/x")), "%v", c.err)
	}
	assert.Equal(t, bhjob.Submission{ID: "r1", Account: "zoo", Route: "main", Host: "one.example", RunTarget: time.Minute, MaxQueued: 7,
		Attempts: 1, Items: []bhjob.Item{{ID: "i", Body: []byte("body")}}}, jobs.submission)
}

func TestFailedJobCallsAnswerUnavailable(t *testing.T) {
	jobs := &fakeJobs{}
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Batch})
	g.gate.config.Jobs, g.gate.config.Calls = jobs, fakeJobCalls{}
	assert.Equal(t, http.StatusOK, g.status(g.request("/job/j")))
	jobs.err = bhcode.New(bhcode.NotFound, "none")
	assert.Equal(t, http.StatusNotFound, g.status(g.request("/job/j")))
	for _, code := range []bhcode.Code{bhcode.PlatformUnavailable, bhcode.PlatformUnknown, bhcode.PlatformConflict, bhcode.Internal} {
		jobs.err = bhcode.New(code, "trouble").WithRan(bhcode.RanUnknown)
		assert.Equal(t, http.StatusServiceUnavailable, g.status(g.request("/job/j")), "%s", code)
	}
	assert.Equal(t, http.StatusUnauthorized, g.status(g.request("/job/j", func(req *http.Request) { req.Header.Del("Authorization") })))
}
