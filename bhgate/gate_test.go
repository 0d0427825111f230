package bhgate

import (
	"bufio"
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
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

func ok(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Signature", "s1")
	fmt.Fprint(w, "fine")
}

func TestRequestsPassWithTheAccountAndWithoutTheKey(t *testing.T) {
	u := newUpstream(t, ok)
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Unsafe}, u)
	response, body, err := r.do(r.request("/a/b%2Fc?x=1", func(q *http.Request) {
		q.Header.Set("Account", "forged")
		q.Header.Set("Instance", "forged")
		q.Header.Set("X-Other", "kept")
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
	left, err := strconv.Atoi(got.Header.Get("Deadline"))
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 3000)
	assert.Greater(t, left, 2000)
	assert.Equal(t, "body", u.bodies[0])
}

func TestPublicRoutesNeedNoKeyAndShowNoAccount(t *testing.T) {
	u := newUpstream(t, ok)
	r := newRig(t, bhpolicy.Route{}, u)
	r.policies.set(func(p *testPolicies) { p.view.Proof = 0 }) // no proof is needed without a key
	assert.Equal(t, http.StatusOK, r.status(r.request("/open/x", func(q *http.Request) { q.Header.Set("Account", "forged") })))
	assert.Empty(t, u.last().Header.Get("Account"))
	assert.Empty(t, u.last().Header.Get("Authorization"))
}

func TestRefusalsAreConfirmedFirst(t *testing.T) {
	u := newUpstream(t, ok)
	r := newRig(t, bhpolicy.Route{}, u)
	newKey := func(q *http.Request) { q.Header.Set("Authorization", "Key k2") }
	assert.Equal(t, http.StatusUnauthorized, r.status(r.request("/a/x", newKey)))
	assert.Equal(t, http.StatusNotFound, r.status(r.request("/none/x")))
	assert.Equal(t, 2, r.policies.confirms)

	newer := *r.policies.view.Index.Policy
	newer.Accounts = []bhpolicy.Account{{Name: "zoo", Keys: []string{"k1", "k2"}}}
	view := r.policies.View()
	view.Index, view.Proof = bhpolicy.NewIndex(&newer), r.clock.Now()
	r.policies.set(func(p *testPolicies) { p.confirmed = &view })
	assert.Equal(t, http.StatusOK, r.status(r.request("/a/x", newKey)))

	r.policies.set(func(p *testPolicies) { p.failure = bhcode.New(bhcode.PlatformUnavailable, "down") })
	assert.Equal(t, http.StatusServiceUnavailable, r.status(r.request("/a/x", func(q *http.Request) { q.Header.Set("Authorization", "Key k3") })))
	assert.Equal(t, http.StatusServiceUnavailable, r.status(r.request("/none/x")))
}

func TestWithoutAPolicyNothingIsDenied(t *testing.T) {
	r := newRig(t, bhpolicy.Route{})
	r.policies.set(func(p *testPolicies) { p.view, p.failure = bhwatch.View{}, bhcode.New(bhcode.NoConfiguration, "none") })
	assert.Equal(t, http.StatusServiceUnavailable, r.status(r.request("/a/x")))
	recorder := httptest.NewRecorder()
	r.gate.Ready(recorder, nil)
	assert.Equal(t, http.StatusServiceUnavailable, recorder.Code)
}

func TestKeysNeedAFreshProof(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		status int
		ready  int
	}{
		{2 * time.Second, http.StatusOK, http.StatusOK},
		{4 * time.Second, http.StatusOK, http.StatusServiceUnavailable},
		{4700 * time.Millisecond, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		u := newUpstream(t, ok)
		r := newRig(t, bhpolicy.Route{}, u)
		r.policies.set(func(p *testPolicies) { p.view.Proof = r.clock.Now() - c.age })
		response, _, err := r.do(r.request("/a/x"))
		require.NoError(t, err)
		assert.Equal(t, c.status, response.StatusCode, "%s", c.age)
		assert.Equal(t, c.status == http.StatusOK, u.count() == 1, "%s", c.age)
		assert.Equal(t, c.ready != http.StatusOK, response.Close, "clients go to another gateway after %s", c.age)
		if c.status != http.StatusOK {
			assert.Equal(t, "0.050", response.Header.Get("Retry-After"), "others may serve at once")
		}
		recorder := httptest.NewRecorder()
		r.gate.Ready(recorder, nil)
		assert.Equal(t, c.ready, recorder.Code, "%s", c.age)
	}
}

func TestOverQuotaIsRefusedWithWhenToComeBack(t *testing.T) {
	u := newUpstream(t, ok)
	r := newRig(t, bhpolicy.Route{}, u)
	r.quota["zoo"] = true
	response, _, err := r.do(r.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	assert.Equal(t, "0.250", response.Header.Get("Retry-After"))
	assert.Zero(t, u.count())
}

// TestWhatAnUpstreamSaysDecidesWhatIsRepeated sends one request whose first
// upstream fails in some way, and checks the answer and the sends.
func TestWhatAnUpstreamSaysDecidesWhatIsRepeated(t *testing.T) {
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
		second int
		signed bool
	}{
		"refused, unsafe":                {unsafe, answer(503, true), 200, 1, true},
		"refused, attempts are over":     {single, answer(503, true), 503, 0, false},
		"moved":                          {unsafe, answer(421, false), 200, 1, true},
		"moved, attempts are over":       {single, answer(421, false), 503, 0, false},
		"503 without a promise, unsafe":  {unsafe, answer(503, false), 502, 0, false},
		"503 without a promise, safe":    {safe, answer(503, false), 200, 1, true},
		"429 without a promise, unsafe":  {unsafe, answer(429, false), 502, 0, false},
		"500, unsafe":                    {unsafe, answer(500, false), 500, 0, true},
		"500, safe":                      {safe, answer(500, false), 200, 1, true},
		"404 of the upstream":            {safe, answer(404, false), 404, 0, true},
		"closed without answer, unsafe":  {unsafe, hijack(""), 502, 0, false},
		"closed without answer, safe":    {safe, hijack(""), 200, 1, true},
		"another request's answer":       {unsafe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 0\r\n\r\n"), 502, 0, false},
		"not an answer, safe":            {safe, hijack("nonsense\r\n\r\n"), 200, 1, true},
		"short body, unsafe":             {unsafe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nfi"), 502, 0, false},
		"short body, safe":               {safe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nfi"), 200, 1, true},
		"whole body without a length":    {unsafe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s1\r\n\r\nfine"), 200, 0, true},
		"stray bytes after the response": {unsafe, hijack("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s1\r\nContent-Length: 4\r\n\r\nfineHTTP/1.1 200"), 200, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newUpstream(t, c.first), newUpstream(t, ok)
			r := newRig(t, c.route, first, second)
			response, _, err := r.do(r.request("/a/x"))
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
	dead, alive := newUpstream(t, ok), newUpstream(t, ok)
	dead.server.Close()
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Unsafe, MaxAttempts: 1}, dead, alive)
	assert.Equal(t, http.StatusOK, r.status(r.request("/a/x")))
	assert.Equal(t, 1, alive.count())
}

func TestDrainingAndMissingUpstreamsGetNothing(t *testing.T) {
	u := newUpstream(t, ok)
	r := newRig(t, bhpolicy.Route{}, u)
	instance := r.policies.view.Fleet["s"][0]
	instance.Draining = true
	r.policies.set(func(p *testPolicies) { p.view.Fleet = map[string][]bhwatch.Instance{"s": {instance}} })
	assert.Equal(t, http.StatusServiceUnavailable, r.status(r.request("/a/x")))
	assert.Zero(t, u.count())
}

func TestRouteTimeoutEndsTheRequest(t *testing.T) {
	left := make(chan struct{})
	u := newUpstream(t, func(_ http.ResponseWriter, q *http.Request, _ int) {
		<-q.Context().Done()
		close(left)
	})
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Unsafe, Timeout: 150 * time.Millisecond}, u)
	response, _, err := r.do(r.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	<-left
}

func TestUpstreamHearsThatTheClientLeft(t *testing.T) {
	left := make(chan struct{})
	u := newUpstream(t, func(_ http.ResponseWriter, q *http.Request, _ int) {
		<-q.Context().Done()
		close(left)
	})
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Safe, MaxAttempts: 3}, u)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, _, err := r.do(r.request("/a/x").WithContext(ctx))
		done <- err
	}()
	require.Eventually(t, func() bool { return u.count() == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Error(t, <-done)
	<-left
	require.Eventually(t, func() bool { return r.gate.Inflight() == 0 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, 1, u.count(), "it is not sent again")
}

func TestTooLargeBodies(t *testing.T) {
	u := newUpstream(t, ok)
	r := newRig(t, bhpolicy.Route{}, u)
	policy := *r.policies.view.Index.Policy
	policy.Limits.BodyBytes = 10
	r.policies.set(func(p *testPolicies) { p.view.Index = bhpolicy.NewIndex(&policy) })
	for _, chunked := range []bool{false, true} {
		request := r.request("/a/x")
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 11)))
		request.ContentLength = 11
		if chunked {
			request.ContentLength = -1
		}
		assert.Equal(t, http.StatusRequestEntityTooLarge, r.status(request))
	}
	assert.Zero(t, u.count())
}

func TestLargeAnswersPassWhole(t *testing.T) {
	large := strings.Repeat("0123456789", 100_000)
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, large) })
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Unsafe}, u)
	_, body, err := r.do(r.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, large, body)
}

func TestLeavingGatewayClosesConnectionsAfterAnswers(t *testing.T) {
	u := newUpstream(t, ok)
	r := newRig(t, bhpolicy.Route{}, u)
	r.gate.Drain()
	response, _, err := r.do(r.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.True(t, response.Close)
	recorder := httptest.NewRecorder()
	r.gate.Ready(recorder, nil)
	assert.Equal(t, http.StatusServiceUnavailable, recorder.Code)
}

func TestPanicsEndOneCallOnly(t *testing.T) {
	u := newUpstream(t, ok)
	r := newRig(t, bhpolicy.Route{}, u)
	r.gate.config.Quota = panicking{}
	_, _, err := r.do(r.request("/a/x"))
	require.Error(t, err)
	assert.Equal(t, http.StatusOK, r.status(r.request("/open/x")))
}

type panicking struct{}

// Take implements Quota.
func (panicking) Take(context.Context, *bhpolicy.Account) (time.Duration, bool) { panic("broken") }

func TestRawTargetsAreNotCleaned(t *testing.T) {
	u := newUpstream(t, ok)
	r := newRig(t, bhpolicy.Route{}, u)
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "POST /a//b/../c HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\nAuthorization: Key k1\r\nContent-Length: 2\r\n\r\nhi")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "/a//b/../c", u.last().RequestURI)
}

// fakeJobs keeps the last submission.
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

// fakeCalls takes paths under /job/ for calls.
type fakeCalls struct{}

// Parse implements JobCalls.
func (fakeCalls) Parse(r *http.Request) (JobCall, bool) {
	return JobCall{Kind: ReadResults, Job: "j"}, strings.HasPrefix(r.RequestURI, "/job/")
}

// Items implements JobCalls.
func (fakeCalls) Items(body []byte) ([]bhjob.Item, error) {
	return []bhjob.Item{{ID: "i", Body: body}}, nil
}

// Results implements JobCalls.
func (fakeCalls) Results(bhjob.Results) ([]byte, error) { return []byte("results"), nil }

func TestJobsAreAcceptedOnlyWhenStored(t *testing.T) {
	jobs := &fakeJobs{}
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Batch, RunTarget: time.Minute, MaxQueuedTokens: 7})
	r.gate.config.Jobs, r.gate.config.Calls = jobs, fakeCalls{}
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
		assert.Equal(t, c.want, r.status(r.request("/a/x")), "%v", c.err)
	}
	assert.Equal(t, bhjob.Submission{ID: "r1", Account: "zoo", Route: "main", Host: "one.example", RunTarget: time.Minute, MaxQueued: 7,
		Attempts: 1, Items: []bhjob.Item{{ID: "i", Body: []byte("body")}}}, jobs.submission)
}

func TestJobCallsThatCantBeSureAskAgain(t *testing.T) {
	jobs := &fakeJobs{}
	r := newRig(t, bhpolicy.Route{Kind: bhpolicy.Batch})
	r.gate.config.Jobs, r.gate.config.Calls = jobs, fakeCalls{}
	assert.Equal(t, http.StatusOK, r.status(r.request("/job/j")))
	jobs.err = bhcode.New(bhcode.NotFound, "none")
	assert.Equal(t, http.StatusNotFound, r.status(r.request("/job/j")))
	for _, code := range []bhcode.Code{bhcode.PlatformUnavailable, bhcode.PlatformUnknown, bhcode.PlatformConflict, bhcode.Internal} {
		jobs.err = bhcode.New(code, "trouble").WithRan(bhcode.RanUnknown)
		assert.Equal(t, http.StatusServiceUnavailable, r.status(r.request("/job/j")), "%s", code)
	}
	assert.Equal(t, http.StatusUnauthorized, r.status(r.request("/job/j", func(q *http.Request) { q.Header.Del("Authorization") })))
}
