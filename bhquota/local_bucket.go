package bhquota

import "time"

const (
	// prefetchDuration is how long prefetched tokens should last at the current
	// demand: as long as requests are expected to be served without the store.
	prefetchDuration = 3500 * time.Millisecond
	// peakPrefetchDuration is how long prefetched tokens should last at the peak of
	// the demand. Most tokens of a peak accrue by the leased rate.
	peakPrefetchDuration = 2 * time.Second
	// idleDemand is the demand in tokens per second up to which a gateway
	// prefetches none.
	idleDemand = 0.2
	// minSharePerRateLease and minPrefetchPerRateLease are the conditions for
	// leasing a part of the rate; one of them suffices. The first is an equal share
	// of the rate in tokens per second, the second the gateway's maxPrefetch in
	// tokens. With less of both, too much of the leased rate would stay unused.
	minSharePerRateLease    = 1.0
	minPrefetchPerRateLease = 2.0
	// demandWindow is the period over which demand is averaged.
	demandWindow = 3 * time.Second
	// sharedReserveTokens and sharedReserveShare set how much of a bucket isn't
	// prefetched but left for gateways without tokens: the lesser of this number of
	// tokens and this share of the capacity. All gateways together may prefetch the
	// rest.
	sharedReserveTokens = 18
	sharedReserveShare  = 0.3
	// peakWindow is the period over which a past peak of the demand is forgotten.
	// It covers several of the bursts that follow each other within seconds.
	peakWindow = 20 * time.Second
	// demandHeadroom is the target of the leased rate as a multiple of the demand.
	// It covers peaks of the demand.
	demandHeadroom = 1.3
	// maxRateShareFactor bounds the leased rate of a gateway, as a multiple of an
	// equal share of the account's rate.
	maxRateShareFactor = 2.5
)

// localBucket is this gateway's token bucket for one account, filled from its
// lease. Times are of the gateway's own clock.
type localBucket struct {
	// tokens is the number of tokens at updatedAt. From then on they accrue by
	// rate, in tokens per second, up to cap tokens.
	tokens    float64
	rate      float64
	cap       float64
	updatedAt time.Duration
	// expiresAt is when the lease expires: tokens and rate are zero from then on.
	expiresAt time.Duration
	// demand is the measured demand at demandUpdatedAt, in tokens per second.
	demand          float64
	demandUpdatedAt time.Duration
	// peakDemand is the highest demand of the past, in tokens per second, as of
	// peakUpdatedAt. It falls linearly to zero over a peakWindow.
	peakDemand    float64
	peakUpdatedAt time.Duration
	// provider reports that this gateway leases tokens for its past peak: other
	// gateways draw theirs from it, or it has a large part of the demand itself.
	// Until expectedUntil it does so without any demand.
	provider      bool
	expectedUntil time.Duration
	// central reports that one gateway keeps the account's tokens for all, and keeper
	// that this one is it.
	central bool
	keeper  bool
	// waiting is the number of requests that wait for a token.
	// unmetPeerRequests is the number of draws by other gateways that found no
	// token since the last round.
	waiting           int
	unmetPeerRequests int
	// promised is the number of tokens that the last round took for unmet draws. They
	// don't return to the shared bucket before promisedUntil, since the gateways that drew
	// ask again.
	promised      int
	promisedUntil time.Duration
	// refused reports that a request was refused since the last round because the
	// store couldn't be reached.
	refused bool
	// over reports that the last round left requests without a token, and that no other
	// gateway had any either. Until lossUntil that isn't known, because tokens were lost
	// with other leases.
	over      bool
	lossUntil time.Duration
	// line holds the refused requests, which come back for the tokens that accrue.
	line refusalLine
	// maxPrefetch is the most tokens to prefetch: this gateway's equal share of the
	// capacity less the shared reserve.
	maxPrefetch float64
}

// recordRequests adds requests to the measured demand.
func (b *localBucket) recordRequests(now time.Duration, count int) {
	b.decayDemand(now)
	b.demand += float64(count) / demandWindow.Seconds()
	if b.decayPeak(now) < b.demand {
		b.peakDemand = b.demand
	}
}

// decayPeak lowers the peak by the time since its last update and returns it.
func (b *localBucket) decayPeak(now time.Duration) float64 {
	elapsed := min(peakWindow, now-b.peakUpdatedAt)
	b.peakDemand *= 1 - float64(elapsed)/float64(peakWindow)
	b.peakUpdatedAt = now
	return b.peakDemand
}

// decayDemand lowers the measured demand by the time since its last update. It
// falls linearly to zero over a demandWindow without updates.
func (b *localBucket) decayDemand(now time.Duration) {
	elapsed := min(demandWindow, now-b.demandUpdatedAt)
	b.demand *= 1 - float64(elapsed)/float64(demandWindow)
	b.demandUpdatedAt = now
}

// advance adds the tokens that have accrued by now, empties the bucket if the
// lease has expired, and returns the number of tokens.
func (b *localBucket) advance(now time.Duration) float64 {
	if now >= b.expiresAt {
		b.tokens, b.rate, b.cap = 0, 0, 0
	}
	if now > b.updatedAt {
		b.tokens = max(b.tokens, min(b.cap, b.tokens+b.rate*(now-b.updatedAt).Seconds()))
		b.updatedAt = now
	}
	return b.tokens
}

// overAt reports whether the account has used up its tokens at all gateways.
func (b *localBucket) overAt(now time.Duration) bool {
	return b.over && now >= b.lossUntil && b.advance(now) < 1
}

// promisedAt returns how many of the bucket's tokens are promised to other gateways.
func (b *localBucket) promisedAt(now time.Duration) float64 {
	if now >= b.promisedUntil {
		return 0
	}
	return min(float64(b.promised), b.advance(now))
}

// target returns the lease that fits the demand. Nothing is prefetched if this
// gateway's share of the shared bucket is less than one token, since a fraction
// of a token would stay unused.
func (b *localBucket) target(now time.Duration, limit rateLimit, contenders int) leaseTarget {
	waiting := float64(b.waiting+b.unmetPeerRequests) + b.promisedAt(now)
	target := leaseTarget{tokens: waiting, waiting: waiting}
	peak := b.demand
	switch {
	case b.keeper && max(b.demand, b.peakDemand) > idleDemand:
		peak = max(peak, limit.rate)
	case b.provider:
		peak = max(peak, b.peakDemand)
	case !b.central && b.demand < localDemand(limit.rate):
		return target // this gateway draws its tokens from another one
	}
	if peak <= idleDemand || b.maxPrefetch < 1 {
		return target
	}
	prefetch := min(b.maxPrefetch, max(b.demand*prefetchDuration.Seconds(), peak*peakPrefetchDuration.Seconds())+1)
	target.tokens += prefetch
	if limit.rate >= minSharePerRateLease*float64(contenders) || b.maxPrefetch >= minPrefetchPerRateLease {
		target.cap = prefetch
		target.rate = min(peak*demandHeadroom, maxRateShareFactor*limit.rate/float64(contenders))
	}
	return target
}
