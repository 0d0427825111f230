package bhjob

import "time"

const (
	// minSuspicion is how long an engine is suspect after a reported fault. It
	// doubles with each fault that follows soon, up to maxSuspicion.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// suspicionReset is the time without faults after which minSuspicion applies
	// again.
	suspicionReset = 8 * time.Second
)

// suspicion remembers the faults of the engine that gateways reported: requests
// that failed there or got no first event in time. An engine may report a low load
// and a good health while it serves nothing, and each gateway sees too little of it
// to tell. Times are of the runner's clock.
type suspicion struct {
	until     time.Duration
	duration  time.Duration
	lastFault time.Duration
}

// fault adds a reported fault. Faults of requests that were sent before the engine
// became suspect don't prolong the suspicion.
func (s *suspicion) fault(now time.Duration) {
	switch {
	case now < s.until:
	case s.duration == 0 || now-s.lastFault > suspicionReset:
		s.duration = minSuspicion
		s.until = now + s.duration
	default:
		s.duration = min(maxSuspicion, 2*s.duration)
		s.until = now + s.duration
	}
	s.lastFault = now
}

// active reports whether the engine is suspect.
func (s *suspicion) active(now time.Duration) bool { return now < s.until }
