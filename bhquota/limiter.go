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
	// takeTimeout bounds the wait for tokens. A refusal within a quarter of a
	// latency objective of 300 ms lets the client come back in time.
	takeTimeout = 70 * time.Millisecond
	// ownTimeout is how much of it a gateway with tokens of its own waits for the
	// store before it asks others: a read and two writes.
	ownTimeout = 30 * time.Millisecond
	// holdDemand is the demand in tokens a second from which on a gateway keeps
	// tokens itself: with less, keeping them takes more calls to the store than
	// there are requests.
	holdDemand = 1.5
	// minRetry and maxRetry bound when a refused request may come back.
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
	// idleLimit is how long an account is followed after its last request.
	idleLimit = time.Minute
)

// Tolerance is by how much a window may exceed rate and burst.
type Tolerance struct {
	// Over is a share of rate x window + burst, Slack a number of requests.
	Over  float64
	Slack float64
}

// Config configures a Limiter.
type Config struct {
	Store bhplatform.Store
	// Holder names this process and start.
	Holder string
	// Index returns the policy in force, or nil.
	Index     func() *bhpolicy.Index
	Tolerance func() Tolerance
	// Peers are the other gateways; nil if none may be asked for tokens.
	Peers  Peers
	Clock  bhclock.Clock
	Logger bhlog.Logger
	Scope  tally.Scope
}

// Limiter spends the accounts' tokens for one gateway.
type Limiter struct {
	config  Config
	refused tally.Counter
	taken   tally.Counter
	// drawn counts tokens of other gateways, lent those given to them.
	drawn tally.Counter
	lent  tally.Counter
	// added wakes Run for accounts that it doesn't follow yet.
	added chan *syncer

	mu    sync.Mutex
	syncs map[string]*syncer
}

// New returns a limiter that holds no tokens.
func New(config Config) *Limiter {
	return &Limiter{
		config:  config,
		refused: config.Scope.Counter("quota_refused"),
		taken:   config.Scope.Counter("quota_taken"),
		drawn:   config.Scope.Counter("quota_drawn"),
		lent:    config.Scope.Counter("quota_lent"),
		added:   make(chan *syncer),
		syncs:   make(map[string]*syncer),
	}
}

// Run keeps tokens at hand until ctx is done, then gives them back.
func (l *Limiter) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-l.added:
			running.Go(func() {
				if err := bhtree.Guard(ctx, s.run); err != nil {
					bhlog.Problem(l.config.Logger, "quota.stopped", err, "account", s.account)
				}
				l.remove(s)
			})
		}
	}
}

// Take spends one token of the account. Without one at hand it waits a little
// for more; then it returns when to come back.
func (l *Limiter) Take(ctx context.Context, account *bhpolicy.Account) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	s := l.syncer(ctx, account.Name)
	if s != nil && l.spend(ctx, s) {
		l.taken.Inc(1)
		return 0, true
	}
	l.refused.Inc(1)
	if s != nil {
		s.explain(account)
	}
	wait := time.Duration(float64(time.Second) / max(account.Rate, 0.001))
	return min(maxRetry, max(minRetry, wait)), false
}

// spend spends a token at hand, one of another gateway or one of the store.
func (l *Limiter) spend(ctx context.Context, s *syncer) bool {
	if s.spend() {
		return true
	}
	order := l.order(s.account)
	if s.demand() < holdDemand && len(order) > 0 {
		if granted, settled := l.ask(ctx, order, s.account); settled {
			return granted
		}
		return s.await(ctx)
	}
	own, cancel := context.WithTimeout(ctx, ownTimeout)
	defer cancel()
	if s.await(own) {
		return true
	}
	granted, _ := l.ask(ctx, order, s.account)
	return granted
}

// syncer returns what follows the account, or nil if Run doesn't take it in time.
func (l *Limiter) syncer(ctx context.Context, account string) *syncer {
	l.mu.Lock()
	s, ok := l.syncs[account]
	if !ok {
		s = newSyncer(l.config, account)
		l.syncs[account] = s
	}
	l.mu.Unlock()
	if ok {
		return s
	}
	select {
	case l.added <- s:
		return s
	case <-ctx.Done():
		l.remove(s)
		return nil
	}
}

func (l *Limiter) remove(s *syncer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.syncs[s.account] == s {
		delete(l.syncs, s.account)
	}
}
