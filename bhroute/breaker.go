package bhroute

import "time"

const (
	// BreakerFailureThreshold is the number of consecutive failures that opens a
	// closed breaker.
	BreakerFailureThreshold = 5
	// InitialBreakerOpen is the first open period after a breaker was closed.
	InitialBreakerOpen = time.Second
	// maxBreakerOpen bounds the open period, which doubles with each failed probe.
	maxBreakerOpen = 30 * time.Second
)

// BreakerState is the state of a circuit breaker.
type BreakerState string

// States of a circuit breaker.
const (
	BreakerClosed   BreakerState = "closed"
	BreakerOpen     BreakerState = "open"
	BreakerHalfOpen BreakerState = "half-open"
)

// Breaker is the circuit breaker of one upstream. Consecutive failures open it.
// After the open period it is half-open and allows one request as a probe. A
// success closes it, a failed probe opens it for twice as long as before. The
// zero value is closed. A Breaker isn't safe for concurrent use.
type Breaker struct {
	// failures counts the consecutive failures since the breaker closed.
	failures  int
	openFor   time.Duration
	openUntil time.Time
	probing   bool
	probeSent time.Time
}

// State returns the state at time now.
func (b *Breaker) State(now time.Time) BreakerState {
	switch {
	case b.openUntil.IsZero():
		return BreakerClosed
	case now.Before(b.openUntil):
		return BreakerOpen
	}
	return BreakerHalfOpen
}

// Allows reports whether a request may be sent at time now. While a half-open
// breaker waits for the outcome of a probe, it allows no other request. If the
// outcome isn't known after as long as the breaker was open, it allows another
// probe.
func (b *Breaker) Allows(now time.Time) bool {
	switch b.State(now) {
	case BreakerClosed:
		return true
	case BreakerOpen:
		return false
	}
	return !b.probing || now.Sub(b.probeSent) >= b.openFor
}

// Sent records that a request was sent at time now. If the breaker is half-open,
// that request is the probe.
func (b *Breaker) Sent(now time.Time) {
	if b.State(now) == BreakerHalfOpen {
		b.probing = true
		b.probeSent = now
	}
}

// Succeeded closes the breaker.
func (b *Breaker) Succeeded() { *b = Breaker{} }

// Failed records a failed request at time now. A failure while the breaker is
// open is ignored: that request was sent before the breaker opened and must not
// extend the open period.
func (b *Breaker) Failed(now time.Time) {
	switch b.State(now) {
	case BreakerOpen:
		return
	case BreakerHalfOpen:
		b.trip(now, min(2*b.openFor, maxBreakerOpen))
		return
	}
	b.failures++
	if b.failures >= BreakerFailureThreshold {
		b.trip(now, InitialBreakerOpen)
	}
}

// ReleaseProbe records that a request ended without showing whether the
// upstream is healthy, such as a request that its caller cancelled. A half-open
// breaker then allows another probe.
func (b *Breaker) ReleaseProbe() { b.probing = false }

func (b *Breaker) trip(now time.Time, openFor time.Duration) {
	b.openFor = openFor
	b.openUntil = now.Add(openFor)
	b.probing = false
}
