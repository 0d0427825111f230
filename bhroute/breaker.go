package bhroute

import "time"

// Defaults of a Breaker.
const (
	BreakerFailureThreshold = 5
	InitialBreakerOpen     = time.Second
	maxBreakerOpen         = 30 * time.Second
)

// BreakerState is the state of a circuit breaker.
type BreakerState string

// States of a circuit breaker.
const (
	BreakerClosed   BreakerState = "closed"
	BreakerOpen     BreakerState = "open"
	BreakerHalfOpen BreakerState = "half-open"
)

// Breaker is the circuit breaker of one upstream. After consecutive failures it
// opens for a while, then lets one probe through; a failed probe opens it for
// twice as long. The zero value is closed.
type Breaker struct {
	failures int
	open     time.Duration
	until    time.Time
	probing  bool
	probe    time.Time
}

// State returns the state at now.
func (b *Breaker) State(now time.Time) BreakerState {
	switch {
	case b.until.IsZero():
		return BreakerClosed
	case now.Before(b.until):
		return BreakerOpen
	}
	return BreakerHalfOpen
}

// Allows reports whether a request may be sent at now. A probe whose outcome
// stays unknown blocks others for as long as the breaker was open.
func (b *Breaker) Allows(now time.Time) bool {
	switch b.State(now) {
	case BreakerClosed:
		return true
	case BreakerOpen:
		return false
	}
	return !b.probing || now.Sub(b.probe) >= b.open
}

// Sent records that a request was sent at now.
func (b *Breaker) Sent(now time.Time) {
	if b.State(now) == BreakerHalfOpen {
		b.probing = true
		b.probe = now
	}
}

// Succeeded closes the breaker.
func (b *Breaker) Succeeded() { *b = Breaker{} }

// Failed records a failure at now. Failures of requests that were sent before
// the breaker opened don't open it for longer.
func (b *Breaker) Failed(now time.Time) {
	switch b.State(now) {
	case BreakerOpen:
		return
	case BreakerHalfOpen:
		b.trip(now, min(2*b.open, maxBreakerOpen))
		return
	}
	b.failures++
	if b.failures >= BreakerFailureThreshold {
		b.trip(now, InitialBreakerOpen)
	}
}

// ReleaseProbe records that a request ended without saying anything of the upstream's
// health, such as one that its caller cancelled.
func (b *Breaker) ReleaseProbe() { b.probing = false }

func (b *Breaker) trip(now time.Time, open time.Duration) {
	b.open = open
	b.until = now.Add(open)
	b.probing = false
}
