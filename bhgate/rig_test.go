package bhgate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

var testDialect = bhforward.Dialect{
	RequestID: "Request-Id", Deadline: "Deadline", Instance: "Instance", Account: "Account",
	NotRun: "Not-Run", LastEvent: "Last-Event-Id", KeyHeader: "Authorization",
	Key: func(header http.Header) string { return strings.TrimPrefix(header.Get("Authorization"), "Key ") },
}

// fakeUpstream is a server whose handler a test sets, with a count of its requests.
type fakeUpstream struct {
	server *httptest.Server

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	handler  func(w http.ResponseWriter, r *http.Request, number int)
}

func newUpstream(t *testing.T, handler func(w http.ResponseWriter, r *http.Request, number int)) *fakeUpstream {
	u := &fakeUpstream{handler: handler}
	u.server = httptest.NewServer(u)
	t.Cleanup(u.server.Close)
	return u
}

// ServeHTTP implements http.Handler.
func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	u.requests = append(u.requests, r)
	u.bodies = append(u.bodies, string(body))
	number := len(u.requests)
	u.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	u.handler(w, r, number)
}

func (u *fakeUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

func (u *fakeUpstream) last() *http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests[len(u.requests)-1]
}

// testPolicies is a view that a test sets; confirmed replaces it at a confirmation.
type testPolicies struct {
	mu        sync.Mutex
	view      bhwatch.View
	confirmed *bhwatch.View
	failure   error
	confirms  int
}

// View implements Policies.
func (p *testPolicies) View() bhwatch.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

// Confirm implements Policies.
func (p *testPolicies) Confirm(context.Context) (bhwatch.View, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirms++
	if p.failure != nil {
		return bhwatch.View{}, p.failure
	}
	if p.confirmed != nil {
		p.view = *p.confirmed
	}
	return p.view, nil
}

func (p *testPolicies) set(change func(p *testPolicies)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// testQuota refuses accounts by name.
type testQuota map[string]bool

// Take implements Quota.
func (q testQuota) Take(_ context.Context, account *bhpolicy.Account) (time.Duration, bool) {
	return 250 * time.Millisecond, !q[account.Name]
}

// rig is a gate before upstreams.
type rig struct {
	t        *testing.T
	policies *testPolicies
	quota    testQuota
	clock    *bhclock.Runtime
	gate     *Gate
	server   *httptest.Server
}

func newRig(t *testing.T, route bhpolicy.Route, upstreams ...*fakeUpstream) *rig {
	r := &rig{t: t, policies: &testPolicies{}, quota: testQuota{}, clock: bhclock.NewRuntime()}
	route.Name, route.Host, route.Prefix = "main", "one.example", "/a/"
	route.Backends = []bhpolicy.Backend{{Service: "s", Weight: 1}}
	route.MaxAttempts = max(1, route.MaxAttempts)
	open := route
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	r.policies.view = bhwatch.View{
		Index: bhpolicy.NewIndex(&bhpolicy.Policy{
			Version: 1, Routes: []bhpolicy.Route{route, open}, Services: []bhpolicy.Service{{Name: "s", Slots: 8}},
			Accounts: []bhpolicy.Account{{Name: "zoo", Keys: []string{"k1"}, Rate: 5}},
		}),
		Proof: r.clock.Now(),
		Fleet: map[string][]bhwatch.Instance{},
	}
	for i, u := range upstreams {
		r.policies.view.Fleet["s"] = append(r.policies.view.Fleet["s"], bhwatch.Instance{
			// Earlier ones are chosen first, as nearer ones.
			ID: fmt.Sprintf("i-%d", i), Service: "s", Address: u.server.Listener.Addr().String(), Slots: 100 * (len(upstreams) - i), Zone: []string{"here", "far"}[min(i, 1)],
		})
	}
	pool := bhforward.NewPool()
	r.gate = New(Config{
		Dialect:    testDialect,
		Policies:   r.policies,
		Quota:      r.quota,
		Balancer:      NewBalancer("here", bhlog.Nop()),
		Pool:       pool,
		Clock:      r.clock,
		Logger:     bhlog.Nop(),
		Scope:      tally.NoopScope,
		Revocation: func() time.Duration { return 5 * time.Second },
	})
	r.server = httptest.NewServer(r.gate)
	t.Cleanup(func() {
		r.server.Close()
		pool.Close()
	})
	return r
}

// request returns a proper request to the path.
func (r *rig) request(path string, change ...func(*http.Request)) *http.Request {
	request, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, r.server.URL+path, strings.NewReader("body"))
	require.NoError(r.t, err)
	request.Host = "one.example"
	request.Header.Set("Request-Id", "r1")
	request.Header.Set("Authorization", "Key k1")
	request.Header.Set("Deadline", "3000")
	for _, c := range change {
		c(request)
	}
	return request
}

// do sends the request and returns the answer with its body.
func (r *rig) do(request *http.Request) (*http.Response, string, error) {
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// status sends the request and returns the answer's status.
func (r *rig) status(request *http.Request) int {
	r.t.Helper()
	response, _, err := r.do(request)
	require.NoError(r.t, err)
	return response.StatusCode
}
