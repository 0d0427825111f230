package bhquota

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// takeTimeout bounds the wait for a token. It is less than a quarter of a
	// latency objective of 300 ms, so that a refused client has time to retry.
	takeTimeout = 70 * time.Millisecond
	// storeWaitTimeout is the part of takeTimeout for which a gateway that leases
	// tokens itself waits for the store before it draws from others. It covers a
	// read and two writes.
	storeWaitTimeout = 30 * time.Millisecond
	// minLocalDemand is the demand in tokens per second from which on a gateway
	// leases tokens itself instead of drawing them from others. With less demand,
	// leasing would make more calls to the store than there are requests.
	minLocalDemand = 1.5
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// idleTimeout is how long an account's syncer runs on without requests.
	idleTimeout = time.Minute
)

// Tolerance is how many requests may pass in a window beyond
// rate x window + burst.
type Tolerance struct {
	// Over is the excess as a share of rate x window + burst: 0.1 allows 10% more.
	Over float64
	// Slack is a number of requests that may pass in addition.
	Slack float64
}

// Config configures a Limiter.
type Config struct {
	Store bhplatform.Store
	// Holder identifies this start of the process, as made by bhhost.NewHolder.
	Holder string
	// Index returns the policy in force, or nil if there is none yet.
	Index func() *bhpolicy.Index
	// Tolerance returns the tolerance in force.
	Tolerance func() Tolerance
	// Peers are the other gateways; nil if tokens aren't drawn from others.
	Peers  Peers
	Clock  bhclock.Clock
	Logger bhlog.Logger
	Scope  tally.Scope
}

// Limiter limits the accounts' requests at one gateway. It is safe for
// concurrent use.
type Limiter struct {
	config  Config
	refused tally.Counter
	taken   tally.Counter
	// drawn counts tokens received from other gateways, lent those given to them.
	drawn tally.Counter
	lent  tally.Counter
	// newSyncers passes the syncers of new accounts to Run, which starts them.
	newSyncers chan *syncer

	mu      sync.Mutex
	syncers map[string]*syncer
}

// New returns a limiter without tokens. It refuses all requests until Run runs.
func New(config Config) *Limiter {
	return &Limiter{
		config:     config,
		refused:    config.Scope.Counter("quota_refused"),
		taken:      config.Scope.Counter("quota_taken"),
		drawn:      config.Scope.Counter("quota_drawn"),
		lent:       config.Scope.Counter("quota_lent"),
		newSyncers: make(chan *syncer),
		syncers:    make(map[string]*syncer),
	}
}

// Run leases tokens for the accounts in use until ctx is done, then returns the
// unused ones to the store. It always returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-l.newSyncers:
			running.Go(func() {
				if err := bhtree.Guard(ctx, s.syncLoop); err != nil {
					bhlog.Problem(l.config.Logger, "quota.stopped", err, "account", s.account)
				}
				l.remove(s)
			})
		}
	}
}

// Take spends one token of the account and reports whether it got one. If this
// gateway has none, it waits up to 70 ms for one from the store or from another
// gateway. If it gets none, it returns the delay after which the client should
// retry, between 50 ms and 2 s.
func (l *Limiter) Take(ctx context.Context, account *bhpolicy.Account) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	s := l.syncerFor(ctx, account.Name)
	if s != nil && l.acquire(ctx, s) {
		l.taken.Inc(1)
		return 0, true
	}
	l.refused.Inc(1)
	if s != nil {
		s.logRefusal(account)
	}
	retryAfter := time.Duration(float64(time.Second) / max(account.Rate, 0.001))
	return min(maxRetryAfter, max(minRetryAfter, retryAfter)), false
}

// acquire spends a token of this gateway, of another one or of the store. With
// little demand it draws from other gateways before it turns to the store.
func (l *Limiter) acquire(ctx context.Context, s *syncer) bool {
	if s.trySpend() {
		return true
	}
	peers := l.drawOrder(s.account)
	if s.currentDemand() < minLocalDemand && len(peers) > 0 {
		if granted, conclusive := l.drawFromPeers(ctx, peers, s.account); conclusive {
			return granted
		}
		return s.waitForToken(ctx)
	}
	storeCtx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	if s.waitForToken(storeCtx) {
		return true
	}
	granted, _ := l.drawFromPeers(ctx, peers, s.account)
	return granted
}

// syncerFor returns the account's syncer. It creates a missing one, and returns
// nil if Run doesn't start that before ctx is done.
func (l *Limiter) syncerFor(ctx context.Context, account string) *syncer {
	l.mu.Lock()
	s, ok := l.syncers[account]
	if !ok {
		s = newSyncer(l.config, account)
		l.syncers[account] = s
	}
	l.mu.Unlock()
	if ok {
		return s
	}
	select {
	case l.newSyncers <- s:
		return s
	case <-ctx.Done():
		l.remove(s)
		return nil
	}
}

// remove removes the syncer unless another one has replaced it.
func (l *Limiter) remove(s *syncer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.syncers[s.account] == s {
		delete(l.syncers, s.account)
	}
}
