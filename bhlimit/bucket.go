package bhlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// demandSpan is the time over which demand is averaged.
	demandSpan = time.Second
	// rateDemand is the demand in tokens per second from which on rate is
	// borrowed; below it each request borrows its tokens.
	rateDemand = 4
	// headroom is the rate that is kept or asked for, as a multiple of demand.
	headroom = 1.1
	// tokenSpan is the time of demand for which tokens and burst are kept.
	tokenSpan = 250 * time.Millisecond
	// quiet is the demand in tokens per second below which it counts as none.
	quiet = 0.01
	// tolerance absorbs rounding when tokens are compared with a cost.
	tolerance = 1e-9
)

// loan is a part of an account's rate and burst that another host has lent to
// this one, or this one to another.
type loan struct {
	host string
	id   uint64
	Limit
	until time.Time
	// brief loans are for tokens only: they end soon and are not renewed.
	brief bool
	// seq numbers the last ask; sent is when it was sent, or zero once it was
	// answered or given up on.
	seq  uint64
	sent time.Time
	// asked is the number of tokens that the ask awaits.
	asked float64
}

// bucket is the state of one account on one host. It holds at most as many
// tokens as its burst, which is what the host owns less what it has lent plus
// what it has borrowed.
type bucket struct {
	account string
	limit   Limit
	// owners are the hosts that own the account in the current epoch.
	owners []string
	// own is what this host owns.
	own      Limit
	tokens   float64
	last     time.Time
	grounded time.Duration
	// started is set once the first epoch of the bucket is known.
	started bool
	// lapsed is set while the host may not spend what it owns; stash holds the
	// tokens that it owned when that began.
	lapsed   bool
	stash    float64
	lent     []*loan
	borrowed []*loan

	// demand is the averaged rate of asked tokens; asked counts since counted.
	demand  float64
	asked   float64
	counted time.Time

	// tried are the owners asked in vain for tokens since began; dry is until
	// when no new round of asks begins.
	tried []string
	began time.Time
	dry   time.Time
	// sought are the owners asked for rate since the search began.
	sought []string
	search time.Time
	// hints are what the owners last said that they had left.
	hints map[string]hint
}

// hint is what a lender had left at a time.
type hint struct {
	tokens float64
	at     time.Time
}

func newBucket(account string, now time.Time, grounded time.Duration) *bucket {
	return &bucket{account: account, last: now, grounded: grounded, counted: now, hints: map[string]hint{}}
}

// advance accrues tokens up to now and drops loans that have ended. grounded
// is for how long in all the host was allowed to spend what it owns.
func (b *bucket) advance(now time.Time, grounded time.Duration) {
	b.tokens += max(0, b.own.Rate-b.lentOut().Rate) * (grounded - b.grounded).Seconds()
	b.grounded = grounded
	for _, l := range b.borrowed {
		end := now
		if l.until.Before(end) {
			end = l.until
		}
		if end.After(b.last) {
			b.tokens += l.Rate * end.Sub(b.last).Seconds()
		}
	}
	b.last = now
	b.lent = slices.DeleteFunc(b.lent, func(l *loan) bool { return !now.Before(l.until) })
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l *loan) bool { return !now.Before(l.until) && l.Rate+l.Burst > 0 })
	b.clamp()
}

// lapse sets aside the tokens of what the host owns while it may not spend
// them, and brings them back when it may again.
func (b *bucket) lapse(lapsed bool) {
	if lapsed == b.lapsed {
		return
	}
	b.lapsed = lapsed
	if lapsed {
		b.stash = max(0, b.tokens-b.burst())
		b.tokens -= b.stash
		return
	}
	b.tokens += b.stash
	b.stash = 0
	b.clamp()
}

// clamp drops the tokens that the bucket has no burst for.
func (b *bucket) clamp() { b.tokens = min(b.tokens, b.burst()) }

// kept returns what the host owns, has not lent and may spend.
func (b *bucket) kept() Limit {
	if b.lapsed {
		return Limit{}
	}
	out := b.lentOut()
	return Limit{Rate: max(0, b.own.Rate-out.Rate), Burst: max(0, b.own.Burst-out.Burst)}
}

// burst returns the most tokens that the bucket may hold.
func (b *bucket) burst() float64 { return b.kept().Burst + b.borrowedIn().Burst }

// rate returns the rate at which the bucket accrues.
func (b *bucket) rate() float64 { return b.kept().Rate + b.borrowedIn().Rate }

func (b *bucket) lentOut() Limit { return total(b.lent) }

func (b *bucket) borrowedIn() Limit { return total(b.borrowed) }

// take spends cost tokens if the bucket has them.
func (b *bucket) take(cost float64) Verdict {
	if b.tokens+tolerance < cost {
		return Verdict{RetryAfter: b.retryAfter(cost)}
	}
	b.tokens = max(0, b.tokens-cost)
	return Verdict{OK: true}
}

// measure updates the averaged demand.
func (b *bucket) measure(now time.Time) {
	span := now.Sub(b.counted)
	if span <= 0 {
		return
	}
	keep := math.Exp(-span.Seconds() / demandSpan.Seconds())
	b.demand = keep*b.demand + (1-keep)*b.asked/span.Seconds()
	b.demand = min(b.demand, b.limit.Rate)
	if b.demand < quiet {
		b.demand = 0
	}
	b.asked = 0
	b.counted = now
}

// wantRate returns the rate that the host's own demand needs.
func (b *bucket) wantRate() float64 { return headroom * b.demand }

// spare returns the tokens that the host's own demand doesn't need soon.
func (b *bucket) spare() float64 {
	if b.demand < rateDemand {
		return b.tokens
	}
	return max(0, b.tokens-b.demand*tokenSpan.Seconds())
}

// wantBurst returns the burst that the host's own demand needs.
func (b *bucket) wantBurst() float64 {
	if b.demand < rateDemand {
		return 0
	}
	return 1 + b.demand*tokenSpan.Seconds()
}

// idle reports whether nothing needs attention before the next request.
func (b *bucket) idle() bool {
	return b.demand == 0 && b.asked == 0 && len(b.lent) == 0 && len(b.borrowed) == 0
}

// reset sets what the host owns. Tokens that were set aside are dropped: by
// now another host may have spent them.
func (b *bucket) reset(limit, own Limit, owners []string) {
	b.limit = limit
	b.own = own
	b.owners = owners
	b.stash = 0
	b.clamp()
}

// start begins to count. In the first epoch of the fleet nobody can have spent
// tokens before, so the bucket starts full; in any other it starts empty.
func (b *bucket) start(first bool) {
	fill := first && !b.started
	b.started = true
	switch {
	case fill && b.lapsed:
		b.stash = b.own.Burst
	case fill:
		b.tokens = b.own.Burst
	}
}

func total(loans []*loan) Limit {
	var sum Limit
	for _, l := range loans {
		sum.Rate += l.Rate
		sum.Burst += l.Burst
	}
	return sum
}

const (
	minRetry = 50 * time.Millisecond
	maxRetry = time.Minute
)

// retryAfter returns how long the account takes to accrue what lacks of cost.
func (b *bucket) retryAfter(cost float64) time.Duration {
	if b.limit.Rate <= 0 || cost > b.limit.Burst {
		return maxRetry
	}
	wait := time.Duration((cost - b.tokens) / b.limit.Rate * float64(time.Second))
	return min(max(wait, minRetry), maxRetry)
}
