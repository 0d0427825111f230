package bhcap

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// leastBurst is the number of requests that may be sent at once, and burstTime the time
	// in which as many arrive at a higher limit.
	leastBurst = 2
	burstTime  = time.Second
	// maxWait is the wait that is told where none is due, as with a limit of 0.
	maxWait = 5 * time.Second
	// maxUpstreams bounds the upstreams that a ledger remembers, forgetAfter the time for
	// which it remembers one that nobody asks for.
	maxUpstreams = 4096
	forgetAfter  = time.Minute
)

// ownerless is the part of a limit that all senders together take while they don't reach the
// owner, which grants the whole limit: it may be alive, and reach others.
const ownerless = 0.2

// Config configures a Ledger.
type Config struct {
	// LeastRate is granted in place of lower limits, so that an upstream whose limit is 0
	// is asked at all and can end it. Zero if something else tells of the end.
	LeastRate float64
}

// Ledger holds the limits that upstreams named, and grants requests within them. It is safe
// for concurrent use.
type Ledger struct {
	config Config

	mu        sync.Mutex
	upstreams map[Upstream]*limited
}

// limited is what is known of one upstream's limit.
type limited struct {
	named bool
	rate  float64
	// namedAt is when the last answer arrived that named a limit. heardAt is when the last one
	// that counted did, and sentAt when its request was sent. usedAt is when the upstream was
	// asked for.
	namedAt time.Time
	heardAt time.Time
	sentAt  time.Time
	usedAt  time.Time
	// owned holds the tokens that this process grants as the owner, share those of its
	// share without the owner; each is nil before its first use.
	owned *rate.Limiter
	share *rate.Limiter
}

// Decision says whether a request may be sent.
type Decision struct {
	Granted bool
	// Named is false if the upstream names no limit, as far as known. Rate is the limit.
	Named bool
	Rate  float64
	// Wait is the time until the next request may be granted.
	Wait time.Duration
}

// NewLedger returns a ledger that knows no limit.
func NewLedger(config Config) *Ledger {
	return &Ledger{config: config, upstreams: make(map[Upstream]*limited)}
}

// Observe adds what an answer of the upstream said. Answers may be reported in any order:
// the newest one that names a limit binds, and one that names none ends the limit if its
// request was sent after that.
func (l *Ledger) Observe(upstream Upstream, naming Naming) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.upstreams[upstream]
	switch {
	case known == nil && !naming.Named:
	case known == nil:
		if l.makeRoom(naming.At) {
			l.upstreams[upstream] = &limited{
				named: true, rate: naming.Rate, namedAt: naming.At, heardAt: naming.At, sentAt: naming.SentAt, usedAt: naming.At,
			}
		}
	case naming.At.Before(known.heardAt):
	case naming.Named:
		if !known.named {
			known.owned, known.share = nil, nil // a new limit begins without a burst
		}
		known.named, known.rate, known.namedAt, known.heardAt, known.sentAt = true, naming.Rate, naming.At, naming.At, naming.SentAt
	case naming.SentAt.After(known.namedAt):
		known.named, known.heardAt, known.sentAt = false, naming.At, naming.SentAt
	}
}

// Newest returns the naming that counts; it is empty if nothing is known.
func (l *Ledger) Newest(upstream Upstream) Naming {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.upstreams[upstream]
	if known == nil {
		return Naming{}
	}
	naming := Naming{Named: known.named, At: known.heardAt, SentAt: known.sentAt}
	if known.named {
		naming.Rate = known.rate
	}
	return naming
}

// makeRoom reports whether there is room for one more upstream. It drops those that
// nobody asked for in forgetAfter if there is none.
func (l *Ledger) makeRoom(now time.Time) bool {
	if len(l.upstreams) < maxUpstreams {
		return true
	}
	for upstream, known := range l.upstreams {
		if now.Sub(known.usedAt) > forgetAfter {
			delete(l.upstreams, upstream)
		}
	}
	return len(l.upstreams) < maxUpstreams
}

// Take takes the right to send one request to the upstream, as the owner of its limit.
func (l *Ledger) Take(upstream Upstream, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, bucket := l.ownedBucket(upstream, now)
	if known == nil {
		return Decision{Granted: true}
	}
	granted := bucket.AllowN(now, 1)
	return Decision{Named: true, Rate: known.rate, Granted: granted, Wait: waitOf(bucket, now)}
}

// Look returns what Take would, without taking.
func (l *Ledger) Look(upstream Upstream, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, bucket := l.ownedBucket(upstream, now)
	if known == nil {
		return Decision{Granted: true}
	}
	wait := waitOf(bucket, now)
	return Decision{Named: true, Rate: known.rate, Granted: wait == 0, Wait: wait}
}

// TakeShare takes the right to send one request while the owner can't be reached, which
// counts as one of so many senders. Their shares add up to a part of the limit.
func (l *Ledger) TakeShare(upstream Upstream, senders int, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.named(upstream, now)
	if known == nil {
		return Decision{Granted: true}
	}
	perSecond := rate.Limit(max(known.rate, l.config.LeastRate) * ownerless / float64(max(1, senders)))
	if known.share == nil {
		known.share = rate.NewLimiter(perSecond, 1)
		// Senders that lose the owner at the same time don't get their first tokens together.
		known.share.AllowN(now.Add(-time.Duration(rand.Float64()/max(float64(perSecond), 1e-3)*float64(time.Second))), 1)
	}
	known.share.SetLimitAt(now, perSecond)
	granted := known.share.AllowN(now, 1)
	return Decision{Named: true, Rate: known.rate, Granted: granted, Wait: waitOf(known.share, now)}
}

// named returns what is known of the upstream, or nil if no limit is. The caller holds l.mu.
func (l *Ledger) named(upstream Upstream, now time.Time) *limited {
	known := l.upstreams[upstream]
	if known == nil || !known.named {
		return nil
	}
	known.usedAt = now
	return known
}

// ownedBucket returns what is known of the upstream and the owner's bucket, which begins
// empty: this process may have started anew. Both are nil if no limit is known. The caller
// holds l.mu.
func (l *Ledger) ownedBucket(upstream Upstream, now time.Time) (*limited, *rate.Limiter) {
	known := l.named(upstream, now)
	if known == nil {
		return nil, nil
	}
	perSecond := rate.Limit(max(known.rate, l.config.LeastRate))
	burst := int(math.Ceil(max(leastBurst, float64(perSecond)*burstTime.Seconds())))
	if known.owned == nil {
		known.owned = rate.NewLimiter(perSecond, burst)
		known.owned.AllowN(now, burst)
	}
	if known.owned.Limit() != perSecond {
		known.owned.SetLimitAt(now, perSecond)
		known.owned.SetBurstAt(now, burst)
	}
	return known, known.owned
}

// waitOf returns the time until the bucket has a token.
func waitOf(bucket *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - bucket.TokensAt(now)
	switch {
	case missing <= 0:
		return 0
	case bucket.Limit() <= 0:
		return maxWait
	}
	return min(maxWait, time.Duration(missing/float64(bucket.Limit())*float64(time.Second))+time.Millisecond)
}
