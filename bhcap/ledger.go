package bhcap

import (
	"math"
	"sync"
	"time"
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
	// Cold is how far upstreams that are cold may get more requests than their rate.
	Cold Tolerance
}

// Ledger holds the limits that upstreams named or have while they are cold, and grants
// requests within them. It is safe for concurrent use.
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
	cold    Cold
	// limit holds the tokens of the limit that the upstream names, warmUp those that it gets
	// while it is cold.
	limit  tokens
	warmUp tokens
}

// Decision says whether a request may be sent.
type Decision struct {
	Granted bool
	// Limited is false if nothing limits requests to the upstream, as far as known. Rate is
	// the lowest limit.
	Limited bool
	Rate    float64
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
			known.limit = tokens{} // a new limit begins without a burst
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

// ObserveCold adds that the upstream is cold. Of several reports the one binds by which it
// is for longest.
func (l *Ledger) ObserveCold(upstream Upstream, cold Cold, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if perSecond, ok := CheckRate(cold.Rate); !ok || perSecond == 0 || !now.Before(cold.Until) {
		return
	}
	known := l.upstreams[upstream]
	if known == nil {
		if !l.makeRoom(now) {
			return
		}
		known = &limited{usedAt: now}
		l.upstreams[upstream] = known
	}
	if !now.Before(known.cold.Until) {
		known.warmUp = tokens{}
	}
	if cold.Until.After(known.cold.Until) {
		known.cold = cold
	}
}

// Cold returns what is known of the upstream's being cold; it is empty if it is warm.
func (l *Ledger) Cold(upstream Upstream, now time.Time) Cold {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.upstreams[upstream]; known != nil && now.Before(known.cold.Until) {
		return known.cold
	}
	return Cold{}
}

// Take takes the right to send one request to the upstream, as the owner of its limits.
func (l *Ledger) Take(upstream Upstream, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, limits := l.limits(upstream, now)
	if known == nil {
		return Decision{Granted: true}
	}
	decision := look(known, limits, now)
	if decision.Granted {
		for _, limit := range limits {
			limit.ownedBucket(now).AllowN(now, 1)
		}
		decision = look(known, limits, now)
		decision.Granted = true
	}
	return decision
}

// Look returns what Take would, without taking.
func (l *Ledger) Look(upstream Upstream, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, limits := l.limits(upstream, now)
	if known == nil {
		return Decision{Granted: true}
	}
	return look(known, limits, now)
}

// look decides on one request as the owner.
func look(known *limited, limits []*tokens, now time.Time) Decision {
	decision := Decision{Limited: true, Rate: known.lowest(now)}
	for _, limit := range limits {
		decision.Wait = max(decision.Wait, waitOf(limit.ownedBucket(now), now))
	}
	decision.Granted = decision.Wait == 0
	return decision
}

// TakeShare takes the right to send one request while the owner can't be reached, which
// counts as one of so many senders. Their shares add up to a part of the limits.
func (l *Ledger) TakeShare(upstream Upstream, senders int, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, limits := l.limits(upstream, now)
	if known == nil {
		return Decision{Granted: true}
	}
	decision := Decision{Limited: true, Granted: true, Rate: known.lowest(now)}
	for _, limit := range limits {
		wait := waitOf(limit.shareBucket(senders, now), now)
		decision.Wait, decision.Granted = max(decision.Wait, wait), decision.Granted && wait == 0
	}
	for _, limit := range limits {
		if decision.Granted {
			limit.share.AllowN(now, 1)
			decision.Wait = max(decision.Wait, waitOf(limit.share, now))
		}
	}
	return decision
}

// limits returns what is known of the upstream and the tokens of the limits that bind, or nil
// if none does. The caller holds l.mu.
func (l *Ledger) limits(upstream Upstream, now time.Time) (*limited, []*tokens) {
	known := l.upstreams[upstream]
	if known == nil {
		return nil, nil
	}
	var limits []*tokens
	if known.named {
		perSecond := max(known.rate, l.config.LeastRate)
		known.limit.set(perSecond, int(math.Ceil(max(leastBurst, perSecond*burstTime.Seconds()))))
		limits = append(limits, &known.limit)
	}
	if now.Before(known.cold.Until) {
		known.warmUp.set(coldGrants(known.cold.Rate, l.config.Cold))
		limits = append(limits, &known.warmUp)
	}
	if len(limits) == 0 {
		return nil, nil
	}
	known.usedAt = now
	return known, limits
}

// lowest returns the lowest limit that binds.
func (k *limited) lowest(now time.Time) float64 {
	lowest := maxRate
	if k.named {
		lowest = k.rate
	}
	if now.Before(k.cold.Until) {
		lowest = min(lowest, k.cold.Rate)
	}
	return lowest
}
