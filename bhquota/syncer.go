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
	// emptyBucketDelay is multiplied by the number of contenders to give the delay
	// between a gateway's rounds while the bucket is empty. All contenders together
	// then make 40 rounds a second, out of 200 possible ones.
	emptyBucketDelay = 25 * time.Millisecond
	// minRoundDelay is the least delay between two rounds. A round renews the lease
	// in the store.
	minRoundDelay = 10 * time.Millisecond
	// failedRoundDelay is the least delay after a failed round. Most outages of the
	// store last seconds, and refused calls cost as much as others.
	failedRoundDelay = 100 * time.Millisecond
	// renewInterval is the period of lease renewal, well within leaseDuration.
	renewInterval = 2 * time.Second
	// maxSnapshotAge is the greatest age of a snapshot that a write may build on
	// without a new read. Other gateways have mostly changed the record by then.
	maxSnapshotAge = 20 * time.Millisecond
	// storeSilentAfter is the duration of a round beyond which the store counts as
	// unreachable. It is several times the duration of a read and a write.
	storeSilentAfter = 150 * time.Millisecond
	// maxWriteAttempts bounds the compare-and-set attempts of one round.
	maxWriteAttempts = 8
)

// snapshot is the shared bucket's record as this gateway last read or wrote it.
// requestedAt and receivedAt are of the gateway's own clock.
type snapshot struct {
	value   []byte
	version bhplatform.Version
	// storeTime is the store's clock at a moment between requestedAt and
	// receivedAt.
	storeTime   time.Duration
	requestedAt time.Duration
	receivedAt  time.Duration
	valid       bool
}

// syncer keeps one account's lease and local bucket in step with the shared
// bucket in the store.
type syncer struct {
	config  Config
	account string
	key     bhplatform.Key
	// tokensLow and requestsWaiting request a round: because few tokens are left,
	// or because requests wait for one.
	tokensLow       chan struct{}
	requestsWaiting chan struct{}

	// drawer draws tokens of other gateways.
	drawer *drawer

	mu    sync.Mutex
	local localBucket
	// roundStartedAt is when the round in progress started, zero if there is none.
	// lastRoundFailed reports whether the last finished round failed.
	roundStartedAt  time.Duration
	lastRoundFailed bool
	// leaseConfirmed is closed and replaced when a lease is known to be written.
	leaseConfirmed chan struct{}

	// Only the goroutine of syncLoop uses the fields from here to tokensShort.
	snapshot snapshot
	serial   uint64
	// pending is the proposal whose outcome is unknown, or nil.
	pending *proposal
	// contenders is the number of gateways with a lease, at least 1.
	contenders int
	// tokensShort reports that the last round left requests without tokens.
	tokensShort bool

	// lastObserved is the shared bucket as the last round found it, for the log.
	lastObserved atomic.Pointer[observation]
}

// observation describes the shared bucket at the time of a round. observedAt is
// of the gateway's own clock.
type observation struct {
	observedAt time.Duration
	level      float64
	contenders int
	version    bhplatform.Version
}

func newSyncer(config Config, account string) *syncer {
	return &syncer{
		config:  config,
		account: account,
		// Each account has its own partition, so that the writes of a busy account
		// don't delay those of others.
		key:             bhplatform.Key{Table: quotaTable, Partition: account, Name: account},
		tokensLow:       make(chan struct{}, 1),
		requestsWaiting: make(chan struct{}, 1),
		leaseConfirmed:  make(chan struct{}),
		drawer:          newDrawer(drawerConfig{Account: account, Peers: config.Peers, Clock: config.Clock}),
		local:           localBucket{demandUpdatedAt: config.Clock.Now(), peakUpdatedAt: config.Clock.Now()},
	}
}

// storeReached reports whether the last finished round reached the store and none
// in progress takes too long.
func (s *syncer) storeReached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeReachedLocked()
}

// storeReachedLocked is storeReached for callers that hold s.mu.
func (s *syncer) storeReachedLocked() bool {
	silent := s.roundStartedAt > 0 && s.config.Clock.Now()-s.roundStartedAt > storeSilentAfter
	return !s.lastRoundFailed && !silent
}

// trySpend spends a token for a request of this gateway if the local bucket has one.
// It records the request as demand for that bucket if own is set.
func (s *syncer) trySpend(own bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	if own {
		s.local.recordRequests(now, 1)
	}
	return s.trySpendLocked(now)
}

// trySpendLocked spends a token if the local bucket has one, and requests a
// round if few are left. The caller holds s.mu.
func (s *syncer) trySpendLocked(now time.Duration) bool {
	local := &s.local
	if local.advance(now) < 1 {
		return false
	}
	local.tokens--
	if local.demand > idleDemand && local.tokens < local.maxPrefetch/2 {
		notify(s.tokensLow)
	}
	return true
}

// waitForToken waits for a token until ctx is done and spends it. It reports
// false if there was none.
func (s *syncer) waitForToken(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	local := &s.local
	local.waiting++
	defer func() { local.waiting-- }()
	for {
		now := s.config.Clock.Now()
		if s.trySpendLocked(now) {
			return true
		}
		if ctx.Err() != nil || local.overAt(now) && local.line.wait(now) > storeWaitTimeout {
			return false
		}
		notify(s.requestsWaiting)
		s.waitForLease(ctx)
	}
}

// lend records requests of another gateway and spends tokens for them if the local
// bucket has some that are valid for lentTokenValidity.
func (s *syncer) lend(draw bhwire.Draw) bhwire.Drawn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	local := &s.local
	local.recordRequests(now, draw.Count)
	local.line.add(now, draw.Refused)
	drawn := bhwire.Drawn{Reached: s.storeReachedLocked()}
	if now+lentTokenValidity < local.expiresAt {
		for drawn.Tokens < draw.Count && s.trySpendLocked(now) {
			drawn.Tokens++
		}
	}
	if drawn.Tokens < draw.Count {
		s.requestTokensLocked(draw.Count - drawn.Tokens)
		drawn.Over, drawn.Wait = local.overAt(now) && drawn.Reached, local.line.wait(now)
	}
	return drawn
}

// requestTokens requests a round for requests of other gateways that found no token.
func (s *syncer) requestTokens(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.recordRequests(s.config.Clock.Now(), count)
	s.requestTokensLocked(count)
}

// requestTokensLocked is requestTokens without recording demand, for callers that hold
// s.mu.
func (s *syncer) requestTokensLocked(count int) {
	s.local.unmetPeerRequests += count
	notify(s.requestsWaiting)
}

// refuse records a refused request of this gateway, which may have drawn from others. It
// returns when a token accrues for it, and whether the account has used up its tokens, as
// far as this gateway or the one that it draws from knows. The rate is in tokens per
// second.
func (s *syncer) refuse(rate float64, draws bool) (wait time.Duration, over bool) {
	if draws {
		if wait, over := s.drawer.refuse(rate); over {
			return wait, true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	if !s.local.overAt(now) {
		return 0, false
	}
	s.local.line.add(now, 1)
	return s.local.line.wait(now), true
}

// setProvider says whether this gateway leases tokens for others, or for a large
// part of the account's demand, which is so if the expected demand, in tokens per
// second, is positive. It leases tokens for at least that demand until the time.
func (s *syncer) setProvider(expected float64, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.provider = expected > 0
	if !s.local.provider {
		s.local.expectedUntil = 0
		return
	}
	if now := s.config.Clock.Now(); now < until && s.local.decayPeak(now) < expected {
		s.local.peakDemand, s.local.expectedUntil = expected, until
		notify(s.tokensLow)
	}
}

// requestRound requests a round, which shows whether the store can be reached
// again.
func (s *syncer) requestRound() {
	s.mu.Lock()
	s.local.refused = true
	s.mu.Unlock()
	notify(s.requestsWaiting)
}

// currentDemand returns the measured demand in tokens per second.
func (s *syncer) currentDemand() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.decayDemand(s.config.Clock.Now())
	return s.local.demand
}

// logRefusal logs a refused request with the state of both buckets.
func (s *syncer) logRefusal(account *bhpolicy.Account, decision Decision) {
	s.mu.Lock()
	local := s.local
	s.mu.Unlock()
	now := s.config.Clock.Now()
	pairs := []any{"account", s.account, "rate", account.Rate, "burst", account.Burst, "tokens", local.tokens, "lent_rate", local.rate,
		"demand", local.demand, "waiting", local.waiting, "peak", local.peakDemand, "lapses_in", max(0, local.expiresAt-now),
		"rate_unknown", decision.Unknown, "retry_after", decision.RetryAfter}
	if observed := s.lastObserved.Load(); observed != nil {
		pairs = append(pairs, "bucket", observed.level, "contenders", observed.contenders, "version", observed.version, "age", now-observed.observedAt)
	}
	bhlog.Event(s.config.Logger, "quota.refused", pairs...)
}

// waitForLease waits until a lease is confirmed or ctx is done. The caller holds
// s.mu, which is released while waiting.
func (s *syncer) waitForLease(ctx context.Context) {
	confirmed := s.leaseConfirmed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-ctx.Done():
	case <-confirmed:
	}
}

// notify sends without blocking. The channel's buffer of one keeps the signal.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// syncLoop runs rounds until ctx is done, then releases the lease. It ends
// earlier once the account has been idle for idleTimeout.
func (s *syncer) syncLoop(ctx context.Context) error {
	for s.waitForNextRound(ctx) {
		switch idle := s.idleTime(); {
		case idle > idleTimeout:
			return nil
		case idle > 0:
			continue
		}
		if err := s.syncRound(ctx, false); err != nil && ctx.Err() == nil {
			bhlog.Problem(s.config.Logger, "quota.unsynced", err, "account", s.account, "version", s.snapshot.version)
		}
	}
	s.releaseLease()
	return nil
}

// waitForNextRound waits until the next round is due. It reports false if ctx
// was done first.
func (s *syncer) waitForNextRound(ctx context.Context) bool {
	delay := minRoundDelay
	switch {
	case s.lastRoundFailed:
		delay = failedRoundDelay
	case s.serial == 0:
		// Another gateway's request may have waited for a silent one before.
		delay = 0
	}
	if s.tokensShort {
		// The shared bucket is empty, so an earlier round would get nothing.
		delay = min(renewInterval, max(delay, time.Duration(s.contenders)*emptyBucketDelay))
	}
	if !bhtree.Sleep(ctx, delay) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.requestsWaiting:
	case <-s.tokensLow:
	case <-time.After(renewInterval):
	}
	return true
}

// idleTime returns how long the account has been out of use. It is zero while
// demand is expected, while requests wait, while there is a lease to renew or to release, and while the
// outcome of a write is unknown.
func (s *syncer) idleTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	local := &s.local
	if local.advance(now) > 0 || local.rate > 0 || local.waiting+local.unmetPeerRequests > 0 || local.refused || now < local.expectedUntil || s.pending != nil {
		return 0
	}
	return max(1, now-local.demandUpdatedAt)
}

// syncRound renews the lease once, or removes it if release is set, and records
// whether that failed.
func (s *syncer) syncRound(ctx context.Context, release bool) error {
	setRound := func(startedAt time.Duration, failed bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.roundStartedAt, s.lastRoundFailed = startedAt, failed
	}
	setRound(s.config.Clock.Now(), s.lastRoundFailed)
	err := s.writeWithRetries(ctx, release)
	setRound(0, err != nil)
	return err
}

// writeWithRetries writes the lease and retries after conflicts. It reads the
// record first if there is no valid snapshot or only a stale one.
func (s *syncer) writeWithRetries(ctx context.Context, release bool) error {
	var lastErr error
	for range maxWriteAttempts {
		// With a single contender, nobody else is expected to change the record, so
		// its snapshot doesn't go stale. A conflict shows if somebody did.
		stale := s.contenders > 1 && s.config.Clock.Now()-s.snapshot.receivedAt > maxSnapshotAge
		if !s.snapshot.valid || stale {
			if err := s.readBucket(ctx); err != nil {
				return err
			}
		}
		err := s.writeLease(ctx, release)
		if err == nil {
			return nil
		}
		lastErr = err
		if !bhplatform.IsConflict(err) {
			return err
		}
	}
	return errors.Wrapf(lastErr, "all %d attempts to write the shared token bucket conflicted", maxWriteAttempts)
}

// readBucket replaces the snapshot by the record in the store.
func (s *syncer) readBucket(ctx context.Context) error {
	requestedAt := s.config.Clock.Now()
	page, err := s.config.Store.Scan(ctx, s.key.Range())
	if err != nil {
		return err
	}
	s.observeRecord(page.Records, page.Now, requestedAt)
	return nil
}

// observeRecord replaces the snapshot by a record that the store returned. It
// confirms the pending proposal if the record contains it, and expires the local
// bucket if the record has no valid lease of this gateway.
func (s *syncer) observeRecord(records []bhplatform.Record, storeTime, requestedAt time.Duration) {
	s.snapshot = snapshot{storeTime: storeTime, requestedAt: requestedAt, receivedAt: s.config.Clock.Now(), valid: true}
	if len(records) > 0 {
		s.snapshot.value, s.snapshot.version = records[0].Value, records[0].Version
	}
	b, err := decodeSharedBucket(s.snapshot.value)
	if err != nil {
		bhlog.Problem(s.config.Logger, "quota.invalid", err, "account", s.account, "version", s.snapshot.version)
		return
	}
	ownLease, ok := b.Leases[s.config.Holder]
	if ok && s.pending != nil && ownLease.Serial == s.pending.newLease.Serial {
		s.confirmProposal(*s.pending)
	}
	if !ok || storeTime >= ownLease.ExpiresAt {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.local.expiresAt = 0
	}
}

// writeLease writes a new lease by compare-and-set on the snapshot. It reverts
// the proposal if the write certainly failed, and leaves it pending if the
// outcome is unknown.
func (s *syncer) writeLease(ctx context.Context, release bool) error {
	b, err := decodeSharedBucket(s.snapshot.value)
	if err != nil {
		b = &sharedBucket{Leases: make(map[string]lease)}
	}
	base := s.snapshot
	// The store's clock shows at least this time.
	storeTime := base.storeTime + (s.config.Clock.Now() - base.receivedAt)
	proposed := s.proposeLease(b, storeTime, release)
	// The store's clock showed base.storeTime no earlier than base.requestedAt, so
	// by this gateway's clock the lease doesn't expire in the store before this.
	proposed.expiresAt = base.requestedAt + (proposed.newLease.ExpiresAt - base.storeTime)
	s.pending = &proposed
	value, err := cbor.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encoding the record of a shared token bucket")
	}
	requestedAt := s.config.Clock.Now()
	receipt, err := s.config.Store.Apply(ctx, bhplatform.Transaction{
		Conditions: []bhplatform.Condition{{Key: s.key, Version: base.version}},
		Puts:       []bhplatform.Put{{Key: s.key, Value: value}},
	})
	var conflict *bhplatform.ConflictError
	switch {
	case err == nil:
		s.confirmProposal(proposed)
		s.snapshot = snapshot{value: value, version: receipt.Version, storeTime: receipt.Now, requestedAt: requestedAt, receivedAt: s.config.Clock.Now(), valid: true}
		return nil
	case errors.As(err, &conflict):
		s.revertProposal()
		s.observeRecord(conflict.Current, conflict.Now, requestedAt)
		return err
	case bhcode.Is(err, bhcode.PlatformUnavailable):
		s.revertProposal()
	}
	s.snapshot.valid = false
	return err
}
