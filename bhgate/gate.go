// Package bhgate is the HTTP gateway: it finds the route and the account of a
// request, holds it to the account's quota, and forwards it byte for byte to an
// upstream.
package bhgate

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhdrain"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// proofMargin is kept between a proof's last use and the moment at which a
	// revoked key must not run, for the way to the upstream.
	proofMargin = 400 * time.Millisecond
	// readyShare is the share of the revocation time after which a gateway
	// without the platform is no longer ready; later ones aren't expected to serve.
	readyShare = 0.6
)

// Policies is where a gateway learns the policy and the upstreams.
type Policies interface {
	View() bhwatch.View
	// Confirm returns a view that was read after the call.
	Confirm(ctx context.Context) (bhwatch.View, error)
}

// Quota holds accounts to their rates.
type Quota interface {
	// Take spends one request of the account. It returns when to come back if
	// the account is over its rate.
	Take(ctx context.Context, account *bhpolicy.Account) (wait time.Duration, ok bool)
}

// Config configures a Gate.
type Config struct {
	Dialect bhforward.Dialect
	// Calls decodes calls about jobs; nil if there are none.
	Calls    JobCalls
	Policies Policies
	Quota    Quota
	Jobs     Jobs
	Balancer    *Balancer
	// EngineLoads tells how full engines are; nil has the board count only what this
	// gateway sends.
	EngineLoads  EngineLoads
	Pool   *bhforward.Pool
	Clock  bhclock.Clock
	Logger bhlog.Logger
	Scope  tally.Scope
	// Revocation returns the age at which a policy no longer proves a key valid.
	Revocation func() time.Duration
}

// Gate is the handler of client requests.
type Gate struct {
	config   Config
	metrics  metrics
	inflight bhdrain.Inflight
	draining chan struct{}
}

// New returns a gate.
func New(config Config) *Gate {
	return &Gate{config: config, metrics: newMetrics(config.Scope), draining: make(chan struct{})}
}

// Drain makes the gate not ready and has clients close their connections.
func (g *Gate) Drain() { close(g.draining) }

// Inflight returns the number of requests in flight.
func (g *Gate) Inflight() int { return g.inflight.Count() }

func (g *Gate) leaving() bool {
	select {
	case <-g.draining:
		return true
	default:
		return false
	}
}

// Ready serves the balancer's readiness checks.
func (g *Gate) Ready(w http.ResponseWriter, _ *http.Request) {
	if reason := g.unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gate) unready() string {
	view := g.config.Policies.View()
	age := g.config.Clock.Now() - view.Proof
	switch {
	case g.leaving():
		return "leaving"
	case view.Index == nil || view.Fleet == nil:
		return "no policy"
	case age > time.Duration(readyShare*float64(g.config.Revocation())):
		return "the policy is " + age.String() + " old"
	}
	return ""
}

// fresh returns an error if the view no longer proves that a key is valid.
func (g *Gate) fresh(view bhwatch.View) error {
	age := g.config.Clock.Now() - view.Proof
	if age < g.config.Revocation()-proofMargin {
		return nil
	}
	return bhcode.New(bhcode.ConfigStale, "the policy was read %s ago", age).WithRetryAfter(staleRetry)
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inflight.Add()
	defer g.inflight.Done()
	c := newCall(g, w, r)
	defer c.recover()
	c.finish(c.serve())
}
