package bhquota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	quotaTable = "quota"
	// contenderPause spreads the rounds of an empty bucket's gateways: each waits
	// this long for every other, which makes 40 rounds a second of 200.
	contenderPause = 25 * time.Millisecond
	// roundPause is the least time between two rounds.
	roundPause = 10 * time.Millisecond
	// failedPause is the least time after a round that failed: most outages last
	// for seconds, and refused calls cost as much as others.
	failedPause = 100 * time.Millisecond
	// renewInterval is how often holdings are renewed, well within holdLimit.
	renewInterval = 1500 * time.Millisecond
	// basisLimit is how old the known record may be for a write on it; an older
	// one has mostly been changed by other gateways.
	basisLimit = 20 * time.Millisecond
	// roundLimit is the length of a round from which on the store counts as silent:
	// several times what a read and a write take.
	roundLimit = 150 * time.Millisecond
	// syncTries bounds the compare-and-set attempts of one round.
	syncTries = 8
)

// basis is the record as this gateway last saw it.
type basis struct {
	value   []byte
	version bhplatform.Version
	// now is the store's clock at a moment between sent and received.
	now      time.Duration
	sent     time.Duration
	received time.Duration
	valid    bool
}

// proposal is what a write would make of a purse.
type proposal struct {
	held  holding
	until time.Duration
	// grant is what the purse gains, forgone what it gave back before the write
	// was sent, and rate what accrued before.
	grant   float64
	forgone float64
	rate    float64
}

// syncer exchanges the tokens of one account with the store.
type syncer struct {
	config  Config
	account string
	key     bhplatform.Key
	// low asks for a round because tokens run low, need because requests wait.
	low  chan struct{}
	need chan struct{}

	mu    sync.Mutex
	purse purse
	// began is when the round in progress began, zero if there is none; failed
	// reports that the last one failed.
	began  time.Duration
	failed bool
	// changed is closed and replaced when tokens arrive.
	changed chan struct{}

	// The rest belongs to the goroutine of run.
	basis      basis
	serial     uint64
	pending    *proposal
	contenders int
	// short reports that the last round left requests without tokens.
	short bool

	// last is what the last round found, for the log.
	last atomic.Pointer[finding]
}

// finding is the bucket as a round found it.
type finding struct {
	at         time.Duration
	level      float64
	contenders int
	version    bhplatform.Version
}

func newSyncer(config Config, account string) *syncer {
	return &syncer{
		config:  config,
		account: account,
		// A partition of its own keeps a busy account's writes from delaying others.
		key:     bhplatform.Key{Table: quotaTable, Partition: account, Name: account},
		low:     make(chan struct{}, 1),
		need:    make(chan struct{}, 1),
		changed: make(chan struct{}),
		purse:   purse{asked: config.Clock.Now()},
	}
}

// spend notes a request and spends a token for it if there is one at hand.
func (s *syncer) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	s.purse.ask(now)
	return s.spendLocked(now)
}

func (s *syncer) spendLocked(now time.Duration) bool {
	p := &s.purse
	if p.advance(now) < 1 {
		return false
	}
	p.tokens--
	if p.demand > idleDemand && p.tokens < p.stock/2 {
		signal(s.low)
	}
	return true
}

// await spends a token, waiting for one until ctx is done.
func (s *syncer) await(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.purse
	p.waiting++
	defer func() { p.waiting-- }()
	for {
		if s.spendLocked(s.config.Clock.Now()) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		signal(s.need)
		s.wait(ctx)
	}
}

// lend spends a token for another gateway if there is one at hand.
func (s *syncer) lend() bhwire.Drawn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	p := &s.purse
	p.ask(now)
	if now+lendMargin < p.until && s.spendLocked(now) {
		return bhwire.Drawn{Granted: true, Reached: true}
	}
	p.owed++
	signal(s.need)
	silent := s.began > 0 && now-s.began > roundLimit
	return bhwire.Drawn{Reached: !s.failed && !silent}
}

// demand returns this gateway's demand in tokens a second.
func (s *syncer) demand() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purse.decay(s.config.Clock.Now())
	return s.purse.demand
}

// explain logs why a request was refused.
func (s *syncer) explain(account *bhpolicy.Account) {
	s.mu.Lock()
	p := s.purse
	s.mu.Unlock()
	now := s.config.Clock.Now()
	pairs := []any{"account", s.account, "rate", account.Rate, "burst", account.Burst, "tokens", p.tokens, "lent_rate", p.rate,
		"demand", p.demand, "waiting", p.waiting, "lapses_in", max(0, p.until-now)}
	if last := s.last.Load(); last != nil {
		pairs = append(pairs, "bucket", last.level, "contenders", last.contenders, "version", last.version, "age", now-last.at)
	}
	bhlog.Event(s.config.Logger, "quota.refused", pairs...)
}

// wait waits for tokens or ctx, without the mutex.
func (s *syncer) wait(ctx context.Context) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// run exchanges tokens until ctx is done or the account has been idle for long.
func (s *syncer) run(ctx context.Context) error {
	for s.pause(ctx) {
		switch idle := s.idle(); {
		case idle > idleLimit:
			return nil
		case idle > 0:
			continue
		}
		if err := s.round(ctx, false); err != nil && ctx.Err() == nil {
			bhlog.Problem(s.config.Logger, "quota.unsynced", err, "account", s.account, "version", s.basis.version)
		}
	}
	s.giveBack()
	return nil
}

// pause waits until the next round is due. It reports false if ctx is done.
func (s *syncer) pause(ctx context.Context) bool {
	pause := roundPause
	if s.failed {
		pause = failedPause
	}
	if s.short {
		// The bucket is empty; asking sooner is in vain.
		pause = min(renewInterval, max(pause, time.Duration(s.contenders)*contenderPause))
	}
	if !bhtree.Sleep(ctx, pause) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.need:
	case <-s.low:
	case <-time.After(renewInterval):
	}
	return true
}

// idle returns for how long the account hasn't been in use; zero if it is, or
// if there are tokens to renew or to give back.
func (s *syncer) idle() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	p := &s.purse
	if p.advance(now) > 0 || p.rate > 0 || p.waiting+p.owed > 0 || s.pending != nil {
		return 0
	}
	return max(1, now-p.asked)
}

// round exchanges tokens once, and notes whether the store could be reached.
func (s *syncer) round(ctx context.Context, leave bool) error {
	note := func(began time.Duration, failed bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.began, s.failed = began, failed
	}
	note(s.config.Clock.Now(), s.failed)
	err := s.exchange(ctx, leave)
	note(0, err != nil)
	return err
}

func (s *syncer) exchange(ctx context.Context, leave bool) error {
	var last error
	for range syncTries {
		// Nobody else changes the record of an account with a single contender; if
		// one did, the conflict tells.
		old := s.contenders > 1 && s.config.Clock.Now()-s.basis.received > basisLimit
		if !s.basis.valid || old {
			if err := s.read(ctx); err != nil {
				return err
			}
		}
		err := s.write(ctx, leave)
		if err == nil {
			return nil
		}
		last = err
		if !bhplatform.IsConflict(err) {
			return err
		}
	}
	return errors.Wrapf(last, "%d writes conflicted", syncTries)
}

func (s *syncer) read(ctx context.Context) error {
	sent := s.config.Clock.Now()
	page, err := s.config.Store.Scan(ctx, s.key.Range())
	if err != nil {
		return err
	}
	s.learn(page.Records, page.Now, sent)
	return nil
}

// learn takes in the record that the store holds, and settles a pending write.
func (s *syncer) learn(records []bhplatform.Record, now, sent time.Duration) {
	s.basis = basis{now: now, sent: sent, received: s.config.Clock.Now(), valid: true}
	if len(records) > 0 {
		s.basis.value, s.basis.version = records[0].Value, records[0].Version
	}
	b, err := decodeBucket(s.basis.value)
	if err != nil {
		bhlog.Problem(s.config.Logger, "quota.invalid", err, "account", s.account, "version", s.basis.version)
		return
	}
	own, ok := b.Holdings[s.config.Holder]
	if ok && s.pending != nil && own.Serial == s.pending.held.Serial {
		s.confirm(*s.pending)
	}
	if !ok || now >= own.Until {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.purse.until = 0
	}
}

// write proposes a new holding on the basis and takes it in if it is accepted.
func (s *syncer) write(ctx context.Context, leave bool) error {
	b, err := decodeBucket(s.basis.value)
	if err != nil {
		b = &bucket{Holdings: make(map[string]holding)}
	}
	from := s.basis
	// The store's clock is at least this far.
	now := from.now + (s.config.Clock.Now() - from.received)
	proposed := s.propose(b, now, leave)
	// By our clock the store reaches Until at the earliest this long after the
	// basis was asked for.
	proposed.until = from.sent + (proposed.held.Until - from.now)
	s.pending = &proposed
	value, err := cbor.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encoding a quota")
	}
	sent := s.config.Clock.Now()
	receipt, err := s.config.Store.Apply(ctx, bhplatform.Transaction{
		Conditions: []bhplatform.Condition{{Key: s.key, Version: from.version}},
		Puts:       []bhplatform.Put{{Key: s.key, Value: value}},
	})
	var conflict *bhplatform.ConflictError
	switch {
	case err == nil:
		s.confirm(proposed)
		s.basis = basis{value: value, version: receipt.Version, now: receipt.Now, sent: sent, received: s.config.Clock.Now(), valid: true}
		return nil
	case errors.As(err, &conflict):
		s.withdraw()
		s.learn(conflict.Current, conflict.Now, sent)
		return err
	case bhcode.Is(err, bhcode.PlatformUnavailable):
		s.withdraw()
	}
	s.basis.valid = false
	return err
}

// propose changes the bucket to what this gateway wants of it.
func (s *syncer) propose(b *bucket, now time.Duration, leave bool) proposal {
	var bounds limit
	if index := s.config.Index(); index != nil {
		bounds = limitOf(index.AccountNamed(s.account), s.config.Tolerance())
	}
	b.advance(bounds, now)
	b.dropEarlier(s.config.Holder)
	s.contenders = max(1, len(b.Holdings))
	s.serial++
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.purse
	p.decay(s.config.Clock.Now())
	left := min(p.advance(s.config.Clock.Now()), bounds.capacity)
	p.stock = (bounds.capacity - min(commonStock, commonShare*bounds.capacity)) / float64(s.contenders)
	wanted := p.wish(bounds, s.contenders)
	if leave {
		wanted = wish{}
	}
	s.last.Store(&finding{at: s.config.Clock.Now(), level: b.Level, contenders: s.contenders, version: s.basis.version})
	held := b.draw(s.config.Holder, bounds, left, wanted)
	held.Until, held.Serial = now+holdLimit, s.serial
	b.Holdings[s.config.Holder] = held
	if leave {
		delete(b.Holdings, s.config.Holder)
	}
	s.short = held.Tokens < float64(p.waiting+p.owed)
	p.owed = 0
	// What is given back may not be used unless the write certainly failed.
	proposed := proposal{held: held, grant: max(0, held.Tokens-left), forgone: max(0, p.tokens-held.Tokens), rate: p.rate}
	p.tokens -= proposed.forgone
	p.rate = min(p.rate, held.Rate)
	return proposed
}

// confirm takes in what a write made of the purse and wakes requests.
func (s *syncer) confirm(proposed proposal) {
	s.pending = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.purse
	p.advance(s.config.Clock.Now())
	p.tokens += proposed.grant
	p.rate, p.cap, p.until = proposed.held.Rate, proposed.held.Cap, proposed.until
	close(s.changed)
	s.changed = make(chan struct{})
}

// withdraw forgets a write that certainly failed.
func (s *syncer) withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purse.tokens += s.pending.forgone
	s.purse.rate = s.pending.rate
	s.pending = nil
}

// giveBack returns all tokens when the gateway stops.
func (s *syncer) giveBack() {
	if s.idle() > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	if err := s.round(ctx, true); err != nil {
		bhlog.Problem(s.config.Logger, "quota.kept", err, "account", s.account)
	}
}
