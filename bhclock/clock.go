// Package bhclock provides the clock by which proofs and leases expire. It
// counts the time that a host was suspended, which Go's monotonic time doesn't.
package bhclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since a fixed moment in the past.
type Clock interface {
	Now() time.Duration
}

// Boot is CLOCK_BOOTTIME.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(now.Nano())
}

// Runtime is Go's own clock, for tests that pause it.
type Runtime struct{ start time.Time }

// NewRuntime returns a clock that starts at one hour.
func NewRuntime() *Runtime { return &Runtime{start: time.Now().Add(-time.Hour)} }

// Now implements Clock.
func (r *Runtime) Now() time.Duration { return time.Since(r.start) }
