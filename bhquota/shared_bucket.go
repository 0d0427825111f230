// Package bhquota limits the request rate of each client account over all
// gateways together. Each gateway creates one Limiter and calls Take before it
// forwards a request.
//
// The platform's store holds one token bucket for each account. A gateway
// leases tokens from it before requests need them, and leases a part of the
// rate, by which further tokens accrue at the gateway. Gateways therefore write
// to the store rarely and keep serving requests through short outages of it.
//
// The bucket's level plus the most tokens that all gateways can hold never
// exceeds the bucket's capacity, and the bucket's own rate plus all leased rates
// equals the account's rate. So in any window of length w at most
// capacity + rate x w requests pass, whether or not gateways fail.
//
// Where one gateway keeps an account's tokens for all, a part of the tolerance is kept as
// a credit for each window, for requests that wait while the bucket is empty, as it may be
// because what a process held that ended may have been used. Capacity and rate are smaller
// by it, so that the bound holds with the credits.
package bhquota

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhhost"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// leaseDuration is how long leased tokens may be used without renewal. With a
// renewal each renewInterval, at least 3.4 s are left when the store becomes
// unreachable: a gateway isn't expected to serve requests with API keys for longer
// than 3 s without the store.
const leaseDuration = 5400 * time.Millisecond

const (
	// toleranceReserve is the share of the tolerated excess that stays unused.
	toleranceReserve = 0.2
	// creditTolerance is the share of Tolerance.Over that is given to requests that wait
	// while the bucket is empty, in fleets in which one gateway keeps an account's tokens.
	creditTolerance = 0.6
	// creditMargin is the time by which a credit counts longer than the window that the
	// tolerance is for. It covers the time from a write to the use of its tokens.
	creditMargin = 500 * time.Millisecond
	// creditDelay is the time for which leases of a larger capacity may last, and the
	// windows in which their tokens were used.
	creditDelay = 2 * leaseDuration
)

// maxLeasedRateShare is the share of an account's rate that may be leased to
// gateways. The rest refills the bucket itself, for gateways without a leased
// rate.
const maxLeasedRateShare = 0.85

// maxCentralShare is the share of the capacity that a gateway prefetches at most if it
// keeps the tokens for all. The rest outlives it.
const maxCentralShare = 0.5

// maxStrayShare is the share of the capacity up to which tokens of other gateways don't
// matter for whether the account has used up its tokens.
const maxStrayShare = 0.1

// lease is the part of a sharedBucket that one gateway may use until it expires.
// A gateway that asked for tokens and got none has an empty lease, so that the
// number of contenders, the gateways that use the account, is known.
type lease struct {
	Tokens float64 `cbor:"1,keyasint"`
	// Rate is the leased rate in tokens per second. Tokens accrue at the holder
	// until it has Cap tokens.
	Rate float64 `cbor:"4,keyasint"`
	Cap  float64 `cbor:"5,keyasint"`
	// ExpiresAt is when the lease expires, by the store's clock.
	ExpiresAt time.Duration `cbor:"2,keyasint"`
	// Serial is the holder's sequence number of the write that set the lease.
	Serial uint64 `cbor:"3,keyasint"`
}

// sharedBucket is the token bucket of one account as the store holds it.
type sharedBucket struct {
	// Level is the number of tokens that are in no lease.
	Level float64 `cbor:"1,keyasint"`
	// UpdatedAt is the store's time as of which Level holds; zero in a bucket that
	// was never written.
	UpdatedAt time.Duration `cbor:"2,keyasint"`
	// Leases are keyed by holder.
	Leases map[string]lease `cbor:"3,keyasint"`
	// Credits were given within the last window, beyond what the bucket had.
	Credits []credit `cbor:"4,keyasint,omitempty"`
	// ReservedSince is since when all writes have left creditTolerance unused, by the
	// store's clock; zero if the last one didn't.
	ReservedSince time.Duration `cbor:"5,keyasint,omitempty"`
}

// credit is a number of tokens beyond those that accrue.
type credit struct {
	// At is of the store's clock.
	At     time.Duration `cbor:"1,keyasint"`
	Tokens float64       `cbor:"2,keyasint"`
}

// decodeSharedBucket decodes a stored record. An empty value gives a bucket that
// was never written.
func decodeSharedBucket(value []byte) (*sharedBucket, error) {
	b := &sharedBucket{}
	if len(value) > 0 {
		if err := cbor.Unmarshal(value, b); err != nil {
			return nil, errors.Wrap(err, "decoding the record of a shared token bucket")
		}
	}
	if b.Leases == nil {
		b.Leases = make(map[string]lease)
	}
	return b, nil
}

// rateLimit is the rate and the bucket capacity of an account.
type rateLimit struct {
	// rate is in tokens per second, capacity in tokens.
	rate     float64
	capacity float64
	// credit is the most tokens beyond those that accrue, in each creditPeriod.
	credit       float64
	creditPeriod time.Duration
}

// effectiveLimit returns the account's rate and burst plus the tolerance, of which
// the share toleranceReserve is left out, and creditTolerance kept for credits if
// reserved is set. It is zero for an account that no longer exists.
func effectiveLimit(account *bhpolicy.Account, tolerance Tolerance, reserved bool) rateLimit {
	if account == nil {
		return rateLimit{}
	}
	share, credits := 1-toleranceReserve, 0.0
	if reserved && tolerance.Window > 0 {
		share, credits = share-creditTolerance, creditTolerance
	}
	factor := 1 + share*tolerance.Over
	return rateLimit{
		rate:         account.Rate * factor,
		capacity:     account.Burst*factor + (1-toleranceReserve)*tolerance.Slack,
		credit:       credits * tolerance.Over * (account.Rate*tolerance.Window.Seconds() + account.Burst),
		creditPeriod: tolerance.Window + creditMargin,
	}
}

// sharedReserve returns how many tokens aren't prefetched but left for gateways
// without tokens.
func (l rateLimit) sharedReserve() float64 {
	return min(sharedReserveTokens, sharedReserveShare*l.capacity)
}

// maxTokens returns the most tokens that the holder can have at any time.
func (l lease) maxTokens() float64 { return max(l.Tokens, l.Cap) }

// advance removes expired leases and adds the tokens that have accrued in the
// bucket since the last update. It returns the most tokens that were lost with the
// leases. A lease's rate counts as leased up to its
// removal, since the holder may have used what accrued.
func (b *sharedBucket) advance(limit rateLimit, now time.Duration) (lost float64) {
	rate, held := limit.rate, 0.0
	for holder, l := range b.Leases {
		rate -= l.Rate
		if now >= l.ExpiresAt {
			delete(b.Leases, holder)
			lost += l.maxTokens()
			continue
		}
		held += l.maxTokens()
	}
	switch {
	case b.UpdatedAt == 0:
		b.Level, b.UpdatedAt = limit.capacity, now
	case now > b.UpdatedAt:
		b.Level += max(0, rate) * (now - b.UpdatedAt).Seconds()
		b.UpdatedAt = now
	}
	b.Level = max(0, min(b.Level, limit.capacity-held))
	return lost
}

// dropEarlierProcessLeases removes the leases of earlier processes on the
// holder's host, which have ended and can't use them any more. Their tokens may
// have been used, so they don't return to the bucket. It returns the most tokens that
// were lost.
func (b *sharedBucket) dropEarlierProcessLeases(holder string) (lost float64) {
	for otherHolder, l := range b.Leases {
		if otherHolder != holder && bhhost.HostOf(otherHolder) == bhhost.HostOf(holder) {
			delete(b.Leases, otherHolder)
			lost += l.maxTokens()
		}
	}
	return lost
}

// reserve records whether a write leaves creditTolerance unused.
func (b *sharedBucket) reserve(reserved bool, now time.Duration) {
	switch {
	case !reserved:
		b.ReservedSince = 0
	case b.ReservedSince == 0:
		b.ReservedSince = now
	}
}

// credited returns the credits that count still, and drops older ones.
func (b *sharedBucket) credited(period, now time.Duration) float64 {
	b.Credits = slices.DeleteFunc(b.Credits, func(c credit) bool { return now-c.At >= period })
	total := 0.0
	for _, c := range b.Credits {
		total += c.Tokens
	}
	return total
}

// addCredit adds up to the given number of tokens to the bucket, as far as the tolerance
// of the window allows and what the holder has left, remaining tokens, leaves room for.
// None are added until all writes of a creditDelay have left the tolerance for it.
func (b *sharedBucket) addCredit(holder string, tokens, remaining float64, limit rateLimit, now time.Duration) {
	_, otherTokens := b.leasedByOthers(holder)
	tokens = min(tokens, limit.credit-b.credited(limit.creditPeriod, now), limit.capacity-otherTokens-remaining-b.Level)
	if tokens <= 0 || b.ReservedSince == 0 || now-b.ReservedSince < creditDelay {
		return
	}
	b.Level += tokens
	b.Credits = append(b.Credits, credit{At: now, Tokens: tokens})
}

// leasedByOthers returns the sums of the leased rates and of maxTokens over all
// leases but the holder's.
func (b *sharedBucket) leasedByOthers(holder string) (rate, tokens float64) {
	for otherHolder, l := range b.Leases {
		if otherHolder != holder {
			rate += l.Rate
			tokens += l.maxTokens()
		}
	}
	return rate, tokens
}

const (
	// urgentFactor and urgentTokens give the tokens that a gateway takes from the
	// shared reserve for the requests that wait.
	urgentFactor = 2
	urgentTokens = 2
)

// leaseTarget is the lease that a gateway would like to have. The fields are
// those of lease.
type leaseTarget struct {
	// tokens includes waiting, the number of requests that wait for a token.
	tokens  float64
	waiting float64
	rate    float64
	cap     float64
}

// updateLease replaces the holder's lease, of which the given number of tokens
// remains. Missing tokens up to the target are taken from the bucket as far as
// it has them; the shared reserve only for requests that wait. If the holder has more than twice its target, the excess over the
// target goes back to the bucket. The caller sets ExpiresAt and Serial.
func (b *sharedBucket) updateLease(holder string, limit rateLimit, remaining float64, target leaseTarget) lease {
	switch {
	case remaining < target.tokens:
		// What is prefetched leaves the reserve to others. Requests that wait may use
		// it, with a few tokens for those that come while this lease is written.
		urgent := 0.0
		if target.waiting > remaining {
			urgent = min(b.Level, urgentFactor*target.waiting+urgentTokens-remaining)
		}
		available := max(b.Level-limit.sharedReserve(), urgent)
		grant := max(0, min(target.tokens-remaining, available))
		b.Level -= grant
		remaining += grant
	case remaining > 2*target.tokens:
		b.Level += remaining - target.tokens
		remaining = target.tokens
	}
	otherRate, otherTokens := b.leasedByOthers(holder)
	newLease := lease{
		Tokens: remaining,
		Rate:   max(0, min(target.rate, maxLeasedRateShare*limit.rate-otherRate)),
		// What the holder may accrue must not displace tokens of the bucket.
		Cap: max(0, min(target.cap, limit.capacity-otherTokens-b.Level)),
	}
	if newLease.Rate <= 0 {
		newLease.Cap = 0 // nothing accrues there, and the bucket needs the room
	}
	b.Level = max(0, min(b.Level, limit.capacity-otherTokens-newLease.maxTokens()))
	b.Leases[holder] = newLease
	return newLease
}
