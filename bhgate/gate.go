// Package bhgate is the HTTP gateway: it finds the route and the client account
// of a request, enforces the account's quota, and forwards the request byte for
// byte to an upstream. The gateway command in bhcmd runs it.
package bhgate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhadmit"
	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhdrain"
	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhorigin"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhquota"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// proofMargin is how long before the end of the revocation time a policy
	// proof is last accepted, so that the request still reaches the upstream in
	// time.
	proofMargin = 400 * time.Millisecond
	// readyShare is the share of the revocation time after which a gateway that
	// can't reach the platform stops being ready. With an older policy it isn't
	// expected to serve.
	readyShare = 0.6
	// defaultBudget is what a gateway without a limit of its memory holds for its clients,
	// in bytes.
	defaultBudget = 64 << 20
	// defaultAnswers is the same for answers that aren't passed on yet.
	defaultAnswers = 16 << 20
	// ownAnswer is what each answer may take of memory before any of it is passed on, in bytes,
	// whatever others take.
	ownAnswer = 16 << 10
)

// Policies provides the current policy and the list of upstreams.
type Policies interface {
	// View returns what is known now; its Index is nil before the first policy.
	View() bhwatch.View
	// Confirm returns a view whose policy was read after the call began, or an
	// error if none was read before ctx ended.
	Confirm(ctx context.Context) (bhwatch.View, error)
	// ConfirmFleet returns a view whose list of upstreams was read after the call began,
	// or an error if none was read before ctx ended.
	ConfirmFleet(ctx context.Context) (bhwatch.View, error)
	// MarkLeaving records that an answer of the instance said that it is leaving.
	// Later views list this start of it as draining.
	MarkLeaving(instance bhwatch.Instance)
	// ObserveOccupant records that an answer to a request for the instance, sent at the given
	// time of the clock, came from another process at its address: the occupant, or "" if it
	// didn't say. Later views leave the instance out.
	ObserveOccupant(asked bhwatch.Instance, occupant string, sent time.Duration)
}

// Quota enforces the request rates of client accounts.
type Quota interface {
	// Take takes one request from the account's quota. It waits for a token for
	// the patience at most.
	Take(ctx context.Context, account *bhpolicy.Account, patience time.Duration) bhquota.Decision
}

// Config configures a Gate.
type Config struct {
	Dialect bhforward.Dialect
	// Calls decodes calls about jobs; nil if the gateway serves none.
	Calls    JobCalls
	Policies Policies
	Quota    Quota
	Jobs     Jobs
	Balancer *Balancer
	// Origins remembers the versions that began streams. If it is nil, this gateway
	// remembers its own.
	Origins Origins
	// Limits tells whether a request may be sent to an upstream that names a limit. If it is
	// nil, this gateway keeps to limits by itself.
	Limits Limits
	// Crashes remembers the requests that crash upstreams. If it is nil, this gateway
	// remembers its own.
	Crashes Crashes
	// EngineLoads reports the load of engines. If it is nil, the load of an
	// upstream is only what this gateway sent there.
	EngineLoads EngineLoads
	// Admission decides whether a request may wait for a full engine. If it is nil,
	// requests wait up to their latency objective.
	Admission bhadmit.Decider
	// Answers is the memory that events and answers which aren't passed on yet share, beyond
	// ownAnswer each. If it is nil, that is one of defaultAnswers bytes.
	Answers *bhspool.Pool
	// Budget bounds what the gateway holds for its clients. If it is nil, that is
	// defaultBudget bytes.
	Budget *bhspool.Budget
	Pool   *bhforward.Pool
	Clock  bhclock.Clock
	Logger bhlog.Logger
	Scope  tally.Scope
	// Revocation returns the revocation time: the age at which a policy no longer
	// proves that a key is valid.
	Revocation func() time.Duration
}

// Gate is the handler of client requests.
type Gate struct {
	config   Config
	metrics  metrics
	times    *serviceTimes
	weights  accountWeights
	inflight bhdrain.Inflight
	// durations are those of answered requests, by route.
	durations bhdrain.Durations[string]

	drain sync.Once
	// draining is closed by Drain, which sets end before.
	draining chan struct{}
	end      time.Time
	// ended is done at the end.
	ended   context.Context
	endWork context.CancelFunc
}

// New returns a gate. It isn't ready until its Policies know a policy and the
// upstreams.
func New(config Config) *Gate {
	if config.Admission == nil {
		config.Admission = &bhadmit.Admission[bhadmit.Ordered[bhadmit.ByObjective]]{}
	}
	if config.Origins == nil {
		config.Origins = bhorigin.NewRegistry(bhorigin.Config{Clock: config.Clock, Logger: config.Logger, Scope: config.Scope})
	}
	if config.Limits == nil {
		config.Limits = ownLimits{bhcap.NewLedger(bhcap.Config{LeastRate: bhcap.ProbeRate})}
	}
	if config.Crashes == nil {
		config.Crashes = bhevidence.New(bhevidence.Config{Refuses: config.Pool.Refuses, Logger: config.Logger, Scope: config.Scope})
	}
	if config.Answers == nil {
		config.Answers = bhspool.NewPool(defaultAnswers)
	}
	if config.Budget == nil {
		config.Budget = bhspool.New(bhspool.Config{Total: defaultBudget})
	}
	ended, endWork := context.WithCancel(context.Background())
	return &Gate{
		config: config, metrics: newMetrics(config.Scope), times: newServiceTimes(),
		draining: make(chan struct{}), ended: ended, endWork: endWork,
	}
}

// Drain makes the gate report that it isn't ready, and close each client connection after
// the next answer. Requests that aren't answered at the end are ended then, with an answer
// unless theirs has begun. Only the first call has an effect.
func (g *Gate) Drain(end time.Time) {
	g.drain.Do(func() {
		g.end = end
		close(g.draining)
		time.AfterFunc(time.Until(end), g.endWork)
	})
}

// Inflight returns the number of requests in flight.
func (g *Gate) Inflight() int { return g.inflight.Count() }

func (g *Gate) isDraining() bool {
	select {
	case <-g.draining:
		return true
	default:
		return false
	}
}

// Ready answers the readiness checks of the load balancer in front of the
// gateways: 200 if the gate is ready, otherwise 503 with the reason.
func (g *Gate) Ready(w http.ResponseWriter, _ *http.Request) {
	if reason := g.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unreadyReason returns why the gate isn't ready, or "" if it is.
func (g *Gate) unreadyReason() string {
	view := g.config.Policies.View()
	age := g.config.Clock.Now() - view.ProvenAt
	switch {
	case g.isDraining():
		return "leaving"
	case view.Index == nil || view.Fleet == nil:
		return "no policy"
	case age > time.Duration(readyShare*float64(g.config.Revocation())):
		return "the policy is " + age.String() + " old"
	}
	return ""
}

// checkProofAge returns a ConfigStale error if the view is too old to prove that
// a key is valid.
func (g *Gate) checkProofAge(view bhwatch.View) error {
	age := g.config.Clock.Now() - view.ProvenAt
	if age < g.config.Revocation()-proofMargin {
		return nil
	}
	return bhcode.New(bhcode.ConfigStale, "the policy was read %s ago", age).WithRetryAfter(staleRetryAfter)
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inflight.Add()
	defer g.inflight.Done()
	c := newCall(g, w, r)
	defer c.cancel()
	defer c.recover()
	err := c.serve()
	c.observeDuration(err)
	c.finish(c.endAnswer(err))
}
