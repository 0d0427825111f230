package bhquota

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// proposal is a change of the lease that is written to the store but not yet
// known to have succeeded.
type proposal struct {
	newLease lease
	// expiresAt is when the lease expires, by the gateway's own clock.
	expiresAt time.Duration
	// granted is the number of tokens that the local bucket gains if the write
	// succeeds.
	granted float64
	// returned is the number of tokens taken out of the local bucket before the
	// write was sent, and previousRate the local bucket's rate before it. Both are
	// restored if the write certainly failed.
	returned     float64
	previousRate float64
	// over reports that the lease leaves requests without a token, and that no other
	// gateway has any.
	over bool
	// lossUntil is until when the account may be below its rate, because tokens were lost
	// with other leases.
	lossUntil time.Duration
	// unmet is the number of unmet requests of other gateways that the lease counts.
	unmet int
}

// proposeLease updates this gateway's lease in the shared bucket, or removes it
// if release is set, and returns the change as a proposal. Tokens and rate that
// the new lease lacks are taken out of the local bucket at once.
func (s *syncer) proposeLease(b *sharedBucket, storeTime time.Duration, release bool) proposal {
	order := orderFor(s.config.Peers, s.account)
	// Credits are due to the smaller limit, whatever this gateway takes the fleet for.
	reserved := order.central || len(b.Credits) > 0 && storeTime-b.Credits[len(b.Credits)-1].At < creditDelay
	var limit rateLimit
	if index := s.config.Index(); index != nil {
		limit = effectiveLimit(index.AccountNamed(s.account), s.config.Tolerance(), reserved)
	}
	lost := b.advance(limit, storeTime)
	lost += b.dropEarlierProcessLeases(s.config.Holder)
	b.reserve(reserved, storeTime)
	s.contenders = max(1, len(b.Leases))
	s.serial++
	s.mu.Lock()
	defer s.mu.Unlock()
	local := &s.local
	local.decayDemand(s.config.Clock.Now())
	local.decayPeak(s.config.Clock.Now())
	remaining := min(local.advance(s.config.Clock.Now()), limit.capacity)
	local.line.rate = limit.rate
	local.maxPrefetch = (limit.capacity - limit.sharedReserve()) / float64(s.contenders)
	local.central = order.central
	local.keeper = local.central && len(order.before) == 0
	if local.central {
		local.maxPrefetch = min(local.maxPrefetch, maxCentralShare*limit.capacity)
	}
	target := local.target(s.config.Clock.Now(), limit, s.contenders)
	if release {
		target = leaseTarget{}
	}
	s.lastObserved.Store(&observation{observedAt: s.config.Clock.Now(), level: b.Level, contenders: s.contenders, version: s.snapshot.version})
	if missing := target.waiting - remaining - b.Level; reserved && missing > 0 {
		b.addCredit(s.config.Holder, missing, remaining, limit, storeTime)
	}
	newLease := b.updateLease(s.config.Holder, limit, remaining, target)
	newLease.ExpiresAt, newLease.Serial = storeTime+leaseDuration, s.serial
	b.Leases[s.config.Holder] = newLease
	if release {
		delete(b.Leases, s.config.Holder)
	}
	unmet := local.unmetPeerRequests
	s.tokensShort = newLease.Tokens < target.waiting
	local.unmetPeerRequests, local.refused = 0, false
	_, otherTokens := b.leasedByOthers(s.config.Holder)
	// Returned tokens may be used again only if the write certainly failed.
	proposed := proposal{newLease: newLease, granted: max(0, newLease.Tokens-remaining), returned: max(0, local.tokens-newLease.Tokens), previousRate: local.rate, unmet: unmet,
		over: s.tokensShort && otherTokens <= max(1, maxStrayShare*limit.capacity),
	}
	if lost >= 1 {
		proposed.lossUntil = s.config.Clock.Now() + leaseDuration
	}
	local.tokens -= proposed.returned
	local.rate = min(local.rate, newLease.Rate)
	return proposed
}

// confirmProposal applies a lease that is known to be written to the local bucket
// and wakes the waiting requests.
func (s *syncer) confirmProposal(proposed proposal) {
	s.pending = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	local := &s.local
	local.advance(s.config.Clock.Now())
	local.tokens += proposed.granted
	local.rate, local.cap, local.expiresAt = proposed.newLease.Rate, proposed.newLease.Cap, proposed.expiresAt
	if proposed.unmet > 0 {
		local.promised, local.promisedUntil = proposed.unmet, s.config.Clock.Now()+promiseDuration
	}
	local.over, local.lossUntil = proposed.over, max(local.lossUntil, proposed.lossUntil)
	close(s.leaseConfirmed)
	s.leaseConfirmed = make(chan struct{})
}

// revertProposal restores the local bucket after a write that certainly failed.
func (s *syncer) revertProposal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.tokens += s.pending.returned
	s.local.rate = s.pending.previousRate
	s.local.unmetPeerRequests += s.pending.unmet
	s.pending = nil
}

// releaseLease removes the lease and returns its tokens to the shared bucket when
// the gateway stops.
func (s *syncer) releaseLease() {
	if s.idleTime() > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	if err := s.syncRound(ctx, true); err != nil {
		bhlog.Problem(s.config.Logger, "quota.kept", err, "account", s.account)
	}
}
