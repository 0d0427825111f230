package bhforward

import "time"

const (
	// minForgottenRest is the rest below which a broken connection isn't taken for a
	// forgotten one.
	minForgottenRest = 20 * time.Millisecond
	// restRecovery is the time after which a lowered limit of the rest doubles.
	restRecovery = 10 * time.Second
)

// RestLimit is how long a connection may have been idle when it is reused. Some
// upstreams forget idle connections before any timeout that they declare, and break
// them when the next request arrives. The limit falls to half of the rest after which
// one broke, and doubles in each restRecovery without another. The zero value limits
// nothing.
type RestLimit struct {
	limit   time.Duration
	lowered time.Time
}

// Current returns the limit at the time.
func (r *RestLimit) Current(now time.Time) time.Duration {
	if r.limit == 0 {
		return AnyRest
	}
	doublings := int(now.Sub(r.lowered) / restRecovery)
	if limit := r.limit << min(doublings, 20); limit < maxDeclaredIdleTimeout {
		return limit
	}
	r.limit = 0
	return AnyRest
}

// Forgotten records that an upstream had forgotten a connection that rested for the
// time.
func (r *RestLimit) Forgotten(rested time.Duration, now time.Time) {
	if rested < minForgottenRest {
		return
	}
	r.limit = min(r.Current(now), rested/2)
	r.lowered = now
}
