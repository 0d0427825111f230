package bhquota

import (
	"context"
	"math/rand/v2"
	"net/netip"
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
	// lendTimeout bounds the wait for the syncer of an account that another gateway
	// asks for.
	lendTimeout = 70 * time.Millisecond
	// storeWaitTimeout is how long a gateway that leases tokens itself waits for the
	// store before it draws from others, at most storeWaitShare of the patience. It
	// covers a read and two writes.
	storeWaitTimeout = 30 * time.Millisecond
	storeWaitShare   = 0.5
	// minLocalDemand is the demand in tokens per second from which on a gateway
	// leases tokens itself instead of drawing them from others. With less demand,
	// leasing would make more calls to the store than there are requests.
	minLocalDemand = 3
	// minLocalShare is the least share of the account's rate for the same. With less,
	// many gateways would hold a part of it each, and what some of them don't use is
	// missing at others.
	minLocalShare = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request.
	// A random part of up to retrySpread is added, so that refused requests don't
	// return together.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	retrySpread   = 400 * time.Millisecond
	// unreachableRetryAfter is the least retry delay if the store can't be reached.
	// Another gateway, which the client then reaches, may have tokens left.
	unreachableRetryAfter = 300 * time.Millisecond
	// provisionDelay is the time after the start at which the gateway first leases
	// tokens ahead of demand. By then it has read the list of the other gateways a
	// second time, and knows those that started together with it. It does so for
	// provisionDuration, by when the demand is known. provisionInterval is the
	// period with which it finds the accounts that it provides for.
	provisionDelay    = 3 * time.Second
	provisionInterval = 5 * time.Second
	provisionDuration = time.Minute
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
	// Window is the length of the windows; zero if the bound has to hold in windows of any
	// length.
	Window time.Duration
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
	running.Go(func() {
		if err := bhtree.Guard(ctx, l.provision); err != nil {
			bhlog.Problem(l.config.Logger, "quota.unprovided", err)
		}
	})
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

// Decision is the outcome of Limiter.Take.
type Decision struct {
	Granted bool
	// RetryAfter is when a refused client should retry: when a token accrues for it
	// after those for the requests that were refused before, if that is known.
	RetryAfter time.Duration
	// Unknown reports that the request was refused because this gateway got no token,
	// though the account may be below its rate.
	Unknown bool
}

// Take spends one token of the account and reports whether it got one. If this
// gateway has none, it waits for the patience at most for one from the store or
// from another gateway.
func (l *Limiter) Take(ctx context.Context, account *bhpolicy.Account, patience time.Duration) Decision {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	s := l.syncerFor(ctx, account.Name)
	order := orderFor(l.config.Peers, account.Name)
	if s != nil && l.acquire(ctx, s, order, account, patience) {
		l.taken.Inc(1)
		return Decision{Granted: true}
	}
	l.refused.Inc(1)
	decision := l.refusal(s, order, account)
	if s != nil {
		s.logRefusal(account, decision)
	}
	return decision
}

// refusal returns the decision for a request that got no token. The syncer may be nil.
func (l *Limiter) refusal(s *syncer, order peerOrder, account *bhpolicy.Account) Decision {
	least := min(maxRetryAfter, max(minRetryAfter, time.Duration(float64(time.Second)/max(account.Rate, 0.001))))
	unclear := Decision{RetryAfter: least + rand.N(retrySpread), Unknown: true}
	switch {
	case s == nil:
		return unclear
	case !s.storeReached():
		unclear.RetryAfter = unreachableRetryAfter + rand.N(retrySpread)
		return unclear
	}
	wait, over := s.refuse(account.Rate, len(order.before) > 0)
	if !over {
		// Where several gateways keep tokens, none can tell.
		unclear.Unknown = order.central
		return unclear
	}
	return Decision{RetryAfter: max(least, wait) + rand.N(maxOverAge)}
}

// localDemand returns the demand from which on a gateway leases tokens of an
// account with the rate itself, both in tokens per second.
func localDemand(rate float64) float64 {
	return max(minLocalDemand, minLocalShare*rate)
}

// acquire spends a token of this gateway, of another one or of the store. With
// little demand, or if another gateway keeps the tokens for all, it draws from other
// gateways before it turns to the store. While the store can't be reached it tries
// more of them.
func (l *Limiter) acquire(ctx context.Context, s *syncer, order peerOrder, account *bhpolicy.Account, patience time.Duration) bool {
	peers := order.draw()
	elsewhere := order.central && len(peers) > 0
	if s.trySpend(!elsewhere) {
		return true
	}
	storeTimeout := min(storeWaitTimeout, time.Duration(storeWaitShare*float64(patience)))
	if elsewhere || s.currentDemand() < localDemand(account.Rate) && len(peers) > 0 {
		if outcome := l.draw(ctx, s, peers); outcome != drawOpen {
			return outcome == drawGranted
		}
		storeTimeout, peers = patience, nil
	}
	if s.storeReached() {
		storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if s.waitForToken(storeCtx) {
			return true
		}
	}
	if !s.storeReached() {
		s.requestRound()
		peers = order.outage()
	}
	return l.draw(ctx, s, peers) == drawGranted
}

// draw waits for a token of the peers.
func (l *Limiter) draw(ctx context.Context, s *syncer, peers []netip.AddrPort) drawOutcome {
	if len(peers) == 0 {
		return drawOpen
	}
	outcome := s.drawer.take(ctx, peers)
	if outcome == drawGranted {
		l.drawn.Inc(1)
	}
	return outcome
}

// provision finds the accounts that this gateway provides for, until ctx is done, and
// returns nil.
// In the first minute it leases tokens ahead of demand, so that accounts are served
// if the store can't be reached before they have sent much.
func (l *Limiter) provision(ctx context.Context) error {
	end := l.config.Clock.Now() + provisionDuration
	for delay := provisionDelay; bhtree.Sleep(ctx, delay); delay = provisionInterval {
		index := l.config.Index()
		if index == nil {
			continue
		}
		for i := range index.Policy.Accounts {
			account := &index.Policy.Accounts[i]
			expected := l.expectedDemand(account)
			l.mu.Lock()
			s := l.syncers[account.Name]
			l.mu.Unlock()
			if s == nil && expected > 0 && l.config.Clock.Now() < end {
				s = l.syncerFor(ctx, account.Name)
			}
			if s != nil {
				s.setProvider(expected, end)
			}
		}
	}
	return nil
}

// expectedDemand returns the demand in tokens per second that this gateway would
// see if the account used all of its rate: an equal share of it, or all of it if
// the others draw their tokens from this gateway.
func (l *Limiter) expectedDemand(account *bhpolicy.Account) float64 {
	if l.config.Peers == nil {
		return account.Rate
	}
	order := l.config.Peers.Order(account.Name)
	share := account.Rate / float64(max(1, len(order)))
	switch {
	case share >= localDemand(account.Rate):
		return share
	case len(order) == 0 || !order[0].IsValid():
		return account.Rate
	}
	return 0
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
