package bhlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// demandAveragingTime is the time constant of the moving average of
	// demand.
	demandAveragingTime = time.Second
	// minRateLeaseDemand is the lowest demand, in tokens per second, at which
	// a host borrows rate. Below it, each request borrows only its tokens.
	minRateLeaseDemand = 4
	// headroomFactor is the rate that a host retains or requests, as a
	// multiple of its demand.
	headroomFactor = 1.1
	// reserveTime is how much future demand the retained tokens and burst
	// cover.
	reserveTime = 250 * time.Millisecond
	// negligibleRate is the rate in tokens per second below which a demand or
	// a missing rate counts as zero.
	negligibleRate = 0.01
	// roundingTolerance absorbs rounding errors when tokens are compared with
	// a cost.
	roundingTolerance = 1e-9
)

// lease is a part of an account's rate and burst that one host has lent to
// another until it expires. This host is its lender or its borrower.
type lease struct {
	// host is the other party.
	host string
	id   uint64
	Limit
	expires time.Time
	// shortTerm marks a lease of tokens only, which expires soon and isn't
	// renewed.
	shortTerm bool
	// seq is the sequence number of the last request for the lease.
	seq uint64
	// requestedAt is when the pending request was sent. It is zero if that
	// request was answered or has timed out.
	requestedAt time.Time
	// requestedTokens is the number of tokens asked for in the pending
	// request.
	requestedTokens float64
}

// bucket is the token bucket of one account on one host. It holds at most as
// many tokens as its burst. Its burst and rate are what the host owns, less
// what it has lent, plus what it has borrowed.
type bucket struct {
	account string
	// limit is the account's limit over all hosts.
	limit Limit
	// owners are the hosts that own the account in the current epoch.
	owners []string
	// owned is this host's part of limit.
	owned  Limit
	tokens float64
	// accruedAt is up to when borrowed rate has been added to tokens.
	accruedAt time.Time
	// spendTime is how long in total the host has been allowed to spend what
	// it owns, up to accruedAt. Owned rate accrues only during that time.
	spendTime time.Duration
	// started is set once the bucket has been assigned in an epoch.
	started bool
	// suspended is set while the host may not spend what it owns.
	suspended bool
	// suspendedTokens are the tokens that were set aside when suspended was
	// set.
	suspendedTokens float64
	lent            []*lease
	borrowed        []*lease

	// demand is the averaged rate of requested tokens, in tokens per second.
	demand float64
	// demandTokens is the number of tokens requested since demandMeasuredAt.
	demandTokens     float64
	demandMeasuredAt time.Time

	// tokenRoundOwners are the owners that were asked for tokens since
	// tokenRoundStart, except those that gave all that was requested.
	tokenRoundOwners []string
	tokenRoundStart  time.Time
	// nextTokenRound is the earliest time at which owners may be asked for
	// tokens again after all of them were asked without success.
	nextTokenRound time.Time
	// rateRoundOwners are the owners that were asked for rate since
	// rateRoundStart.
	rateRoundOwners []string
	rateRoundStart  time.Time
	// lenderTokens holds the tokens that each owner last reported, by host.
	lenderTokens map[string]tokenReport
}

// tokenReport is the number of tokens that a lender reported as left.
type tokenReport struct {
	tokens float64
	// at is when this host received the report.
	at time.Time
}

func newBucket(account string, now time.Time, spendTime time.Duration) *bucket {
	return &bucket{account: account, accruedAt: now, spendTime: spendTime, demandMeasuredAt: now, lenderTokens: map[string]tokenReport{}}
}

// advance accrues tokens up to now and drops expired leases. spendTime is how
// long in total the host has been allowed to spend what it owns.
func (b *bucket) advance(now time.Time, spendTime time.Duration) {
	b.tokens += max(0, b.owned.Rate-b.lentTotal().Rate) * (spendTime - b.spendTime).Seconds()
	b.spendTime = spendTime
	for _, l := range b.borrowed {
		end := now
		if l.expires.Before(end) {
			end = l.expires
		}
		if end.After(b.accruedAt) {
			b.tokens += l.Rate * end.Sub(b.accruedAt).Seconds()
		}
	}
	b.accruedAt = now
	b.lent = slices.DeleteFunc(b.lent, func(l *lease) bool { return !now.Before(l.expires) })
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l *lease) bool { return !now.Before(l.expires) && l.Rate+l.Burst > 0 })
	b.capTokens()
}

// setSuspended sets aside the tokens that the host owns while it may not
// spend them, and restores them once it may.
func (b *bucket) setSuspended(suspended bool) {
	if suspended == b.suspended {
		return
	}
	b.suspended = suspended
	if suspended {
		b.suspendedTokens = max(0, b.tokens-b.burst())
		b.tokens -= b.suspendedTokens
		return
	}
	b.tokens += b.suspendedTokens
	b.suspendedTokens = 0
	b.capTokens()
}

// capTokens drops the tokens that exceed the burst.
func (b *bucket) capTokens() { b.tokens = min(b.tokens, b.burst()) }

// retained returns the part of what the host owns that it hasn't lent, or
// zero while it may not spend what it owns.
func (b *bucket) retained() Limit {
	if b.suspended {
		return Limit{}
	}
	lent := b.lentTotal()
	return Limit{Rate: max(0, b.owned.Rate-lent.Rate), Burst: max(0, b.owned.Burst-lent.Burst)}
}

// burst returns how many tokens the bucket may hold.
func (b *bucket) burst() float64 { return b.retained().Burst + b.borrowedTotal().Burst }

// rate returns the rate at which the bucket accrues, in tokens per second.
func (b *bucket) rate() float64 { return b.retained().Rate + b.borrowedTotal().Rate }

func (b *bucket) lentTotal() Limit { return sumLimits(b.lent) }

func (b *bucket) borrowedTotal() Limit { return sumLimits(b.borrowed) }

// spend removes cost tokens if the bucket has that many, else it changes
// nothing.
func (b *bucket) spend(cost float64) Verdict {
	if b.tokens+roundingTolerance < cost {
		return Verdict{RetryAfter: b.retryAfter(cost)}
	}
	b.tokens = max(0, b.tokens-cost)
	return Verdict{OK: true}
}

// updateDemand adds the tokens requested since the last call to the average.
// The demand is capped at the account's rate.
func (b *bucket) updateDemand(now time.Time) {
	elapsed := now.Sub(b.demandMeasuredAt)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / demandAveragingTime.Seconds())
	b.demand = decay*b.demand + (1-decay)*b.demandTokens/elapsed.Seconds()
	b.demand = min(b.demand, b.limit.Rate)
	if b.demand < negligibleRate {
		b.demand = 0
	}
	b.demandTokens = 0
	b.demandMeasuredAt = now
}

// neededRate returns the rate that this host's demand needs.
func (b *bucket) neededRate() float64 { return headroomFactor * b.demand }

// spareTokens returns the tokens that this host's demand doesn't need within
// reserveTime.
func (b *bucket) spareTokens() float64 {
	if b.demand < minRateLeaseDemand {
		return b.tokens
	}
	return max(0, b.tokens-b.demand*reserveTime.Seconds())
}

// neededBurst returns the burst that this host's demand needs.
func (b *bucket) neededBurst() float64 {
	if b.demand < minRateLeaseDemand {
		return 0
	}
	return 1 + b.demand*reserveTime.Seconds()
}

// idle reports whether the bucket has neither demand nor leases, so that
// ticks may skip it until the next request.
func (b *bucket) idle() bool {
	return b.demand == 0 && b.demandTokens == 0 && len(b.lent) == 0 && len(b.borrowed) == 0
}

// setLimits sets the account's limit, this host's part of it and the owners.
// It drops the tokens that were set aside, because another host may have
// spent them by now.
func (b *bucket) setLimits(limit, owned Limit, owners []string) {
	b.limit = limit
	b.owned = owned
	b.owners = owners
	b.suspendedTokens = 0
	b.capTokens()
}

// initTokens fills the bucket if firstEpoch, the first epoch of the fleet, is
// also the bucket's first: no host can have spent tokens before. In any other
// epoch a new bucket stays empty.
func (b *bucket) initTokens(firstEpoch bool) {
	fill := firstEpoch && !b.started
	b.started = true
	switch {
	case fill && b.suspended:
		b.suspendedTokens = b.owned.Burst
	case fill:
		b.tokens = b.owned.Burst
	}
}

// sumLimits returns the total rate and burst of the leases.
func sumLimits(leases []*lease) Limit {
	var sum Limit
	for _, l := range leases {
		sum.Rate += l.Rate
		sum.Burst += l.Burst
	}
	return sum
}

// Bounds of Verdict.RetryAfter.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
)

// retryAfter returns how long the account takes to accrue the tokens missing
// for cost, within minRetryAfter and maxRetryAfter. It returns maxRetryAfter
// if cost can never be met.
func (b *bucket) retryAfter(cost float64) time.Duration {
	if b.limit.Rate <= 0 || cost > b.limit.Burst {
		return maxRetryAfter
	}
	wait := time.Duration((cost - b.tokens) / b.limit.Rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
