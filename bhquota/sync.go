package bhquota

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// holderPause spreads the writes of the holders of one record: each waits
	// this long for every holder, which makes 40 writes a second of 200.
	holderPause = 25 * time.Millisecond
	// urgentPause is the least time between writes for requests that wait.
	urgentPause = 40 * time.Millisecond
	// renewInterval is how often holdings are renewed, well within holdLimit.
	renewInterval = time.Second
	// supply is how long the tokens at hand last at the present demand.
	supply = 1200 * time.Millisecond
	// idleDemand is the demand in tokens a second below which none is kept, so
	// that many gateways with little demand don't hold a small bucket's content.
	idleDemand = 0.8
	// demandMemory is the time over which demand is averaged.
	demandMemory = 1500 * time.Millisecond
	// syncTries bounds the compare-and-set attempts of one round.
	syncTries = 4
)

// purse is what this gateway holds of one account.
type purse struct {
	// ledger is the holding in the store, spent what was used of it since.
	ledger float64
	spent  float64
	// until is when the tokens lapse, by our clock.
	until  time.Duration
	demand float64
	asked  time.Duration
	// waiting is the number of requests that wait for a token.
	waiting int
}

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

// syncer exchanges tokens with one record of the store.
type syncer struct {
	config Config
	number int
	// low asks for a round because tokens run low, need because requests wait.
	low  chan struct{}
	need chan struct{}

	mu     sync.Mutex
	purses map[string]*purse
	// changed is closed and replaced when tokens arrive.
	changed chan struct{}

	// The rest belongs to the goroutine of run.
	basis   basis
	serial  uint64
	pending map[string]proposal
	holders int
	// short reports that the last round left requests without tokens.
	short bool
}

// proposal is what a write would make of a purse.
type proposal struct {
	held  holding
	spent float64
	until time.Duration
	// forgone is what the purse gave back before the write was sent.
	forgone float64
}

func newSyncer(config Config, number int) *syncer {
	return &syncer{
		config:  config,
		number:  number,
		low:     make(chan struct{}, 1),
		need:    make(chan struct{}, 1),
		purses:  make(map[string]*purse),
		changed: make(chan struct{}),
	}
}

// take spends a token of the account, waiting for one until ctx is done.
func (s *syncer) take(ctx context.Context, account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.purses[account]
	if p == nil {
		p = &purse{}
		s.purses[account] = p
	}
	now := s.config.Clock.Now()
	p.ask(now)
	p.waiting++
	defer func() { p.waiting-- }()
	for {
		if p.left(s.config.Clock.Now()) >= 1 {
			p.spent++
			if p.left(now) < p.wanted()/2 {
				signal(s.low)
			}
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		signal(s.need)
		s.wait(ctx)
	}
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

// ask notes the demand of one request.
func (p *purse) ask(now time.Duration) {
	p.decay(now)
	p.demand += 1 / demandMemory.Seconds()
}

func (p *purse) decay(now time.Duration) {
	passed := min(demandMemory, now-p.asked)
	p.demand *= 1 - float64(passed)/float64(demandMemory)
	p.asked = now
}

func (p *purse) left(now time.Duration) float64 {
	if now >= p.until {
		return 0
	}
	return p.ledger - p.spent
}

// settle returns the tokens that are left, after dropping lapsed ones and those
// beyond a limit that was lowered.
func (p *purse) settle(now time.Duration, capacity float64) float64 {
	if now >= p.until {
		p.ledger, p.spent = 0, 0
	}
	p.ledger = min(p.ledger, p.spent+capacity)
	return max(0, p.ledger-p.spent)
}

// wanted returns how many tokens should be at hand.
func (p *purse) wanted() float64 {
	wanted := float64(p.waiting)
	if p.demand > idleDemand {
		wanted += p.demand*supply.Seconds() + 1
	}
	return wanted
}

func (s *syncer) run(ctx context.Context) {
	for s.await(ctx) {
		if s.idle() {
			continue
		}
		if err := s.round(ctx, false); err != nil && ctx.Err() == nil {
			bhlog.Problem(s.config.Logger, "quota.unsynced", err, "shard", s.number, "version", s.basis.version)
		}
	}
	s.giveBack()
}

// await waits until the next round is due. It reports false if ctx is done.
func (s *syncer) await(ctx context.Context) bool {
	pause := max(urgentPause, time.Duration(s.holders)*holderPause)
	if s.short {
		// The last round found a bucket empty; asking sooner is in vain.
		if !sleep(ctx, pause) {
			return false
		}
	} else if !s.pauseUnlessNeeded(ctx, pause) {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.need:
	case <-s.low:
	case <-time.After(renewInterval - pause%renewInterval):
	}
	return true
}

// pauseUnlessNeeded waits for the pause, or until requests need tokens after
// urgentPause. It reports whether the whole pause passed.
func (s *syncer) pauseUnlessNeeded(ctx context.Context, pause time.Duration) bool {
	if !sleep(ctx, urgentPause) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.need:
		return false
	case <-time.After(pause - urgentPause):
		return true
	}
}

func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// idle reports whether no account of this record is in use.
func (s *syncer) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	for _, p := range s.purses {
		p.decay(now)
		if p.ledger > 0 || p.waiting > 0 || p.demand > idleDemand {
			return false
		}
	}
	return len(s.pending) == 0
}

// round exchanges tokens once.
func (s *syncer) round(ctx context.Context, leave bool) error {
	var last error
	for range syncTries {
		if !s.basis.valid {
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
	key := shardKey(s.number)
	sent := s.config.Clock.Now()
	page, err := s.config.Store.Scan(ctx, bhplatform.Range{
		Table: key.Table, Partition: key.Partition, From: key.Name, To: key.Name + "\x00",
	})
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
	state, err := decodeShard(s.basis.value)
	if err != nil {
		bhlog.Problem(s.config.Logger, "quota.invalid", err, "shard", s.number, "version", s.basis.version)
		return
	}
	for account, proposed := range s.pending {
		b := state.Buckets[account]
		if b != nil && b.Holdings[s.config.Holder].Serial == proposed.held.Serial && proposed.held.Tokens > 0 {
			s.confirm(account, proposed)
		}
	}
	s.drop(state, now)
}

// drop takes over the store's view of what this gateway holds where it lapsed there.
func (s *syncer) drop(state *shard, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, p := range s.purses {
		b := state.Buckets[account]
		if b == nil || b.Holdings[s.config.Holder].Serial == 0 || now >= b.Holdings[s.config.Holder].Until {
			p.ledger, p.spent = 0, 0
		}
	}
}

// write proposes new holdings on the basis and takes them in if they are accepted.
func (s *syncer) write(ctx context.Context, leave bool) error {
	state, err := decodeShard(s.basis.value)
	if err != nil {
		state = &shard{Buckets: make(map[string]*bucket)}
	}
	from := s.basis
	// The store's clock is at least this far.
	now := from.now + (s.config.Clock.Now() - from.received)
	s.serial++
	proposals := s.propose(state, now, leave)
	value, err := cbor.Marshal(state)
	if err != nil {
		return errors.Wrap(err, "encoding quotas")
	}
	for account, proposed := range proposals {
		// By our clock the store reaches Until at the earliest this long after
		// the basis was asked for.
		proposed.until = from.sent + (proposed.held.Until - from.now)
		proposals[account] = proposed
	}
	s.pending = proposals
	key := shardKey(s.number)
	sent := s.config.Clock.Now()
	receipt, err := s.config.Store.Apply(ctx, bhplatform.Transaction{
		Conditions: []bhplatform.Condition{{Key: key, Version: from.version}},
		Puts:       []bhplatform.Put{{Key: key, Value: value}},
	})
	var conflict *bhplatform.ConflictError
	switch {
	case err == nil:
		for account, proposed := range proposals {
			s.confirm(account, proposed)
		}
		s.pending = nil
		s.basis = basis{value: value, version: receipt.Version, now: receipt.Now, sent: sent, received: s.config.Clock.Now(), valid: true}
		s.announce()
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

// propose changes the state to what this gateway wants of it.
func (s *syncer) propose(state *shard, now time.Duration, leave bool) map[string]proposal {
	proposals := make(map[string]proposal)
	index, tolerance := s.config.Index(), s.config.Tolerance()
	holders := make(map[string]bool)
	s.short = false
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, p := range s.purses {
		var bounds limit
		if index != nil && index.AccountNamed(account) != nil {
			bounds = limitOf(index.AccountNamed(account), tolerance)
		}
		b := state.bucket(account, bounds, now)
		b.advance(bounds, now)
		p.decay(s.config.Clock.Now())
		wanted := p.wanted()
		if leave {
			wanted = 0
		}
		left := p.settle(s.config.Clock.Now(), bounds.capacity)
		held := b.draw(s.config.Holder, left, wanted, now+holdLimit, s.serial)
		// What is given back may not be used unless the write certainly failed.
		forgone := max(0, left-held.Tokens)
		p.ledger -= forgone
		proposals[account] = proposal{held: held, spent: p.spent, forgone: forgone}
		s.short = s.short || held.Tokens < float64(p.waiting)
		for holder := range b.Holdings {
			holders[holder] = true
		}
	}
	s.holders = len(holders)
	return proposals
}

// confirm takes in what a write made of a purse.
func (s *syncer) confirm(account string, proposed proposal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.purses[account]
	p.ledger = proposed.held.Tokens
	p.spent -= proposed.spent
	p.until = proposed.until
}

// withdraw forgets a write that certainly failed.
func (s *syncer) withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, proposed := range s.pending {
		s.purses[account].ledger += proposed.forgone
	}
	s.pending = nil
}

// announce wakes the requests that wait for tokens.
func (s *syncer) announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// giveBack returns all tokens when the gateway stops.
func (s *syncer) giveBack() {
	s.mu.Lock()
	for _, p := range s.purses {
		p.demand, p.waiting = 0, 0
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	if s.idle() {
		return
	}
	if err := s.round(ctx, true); err != nil {
		bhlog.Problem(s.config.Logger, "quota.kept", err, "shard", s.number)
	}
}
