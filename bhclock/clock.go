// Package bhclock provides the clock by which cached policies, heartbeats and
// leases expire. Unlike Go's monotonic time it includes the time during which a
// host was suspended; the gateway command passes it to the packages that need it.
package bhclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a clock that isn't affected by changes of the wall-clock time.
type Clock interface {
	// Now returns the time since a fixed moment in the past.
	Now() time.Duration
}

// Boot is the kernel's CLOCK_BOOTTIME: the time since boot, including suspension.
type Boot struct{}

// Now implements Clock. It panics if the kernel doesn't provide CLOCK_BOOTTIME.
func (Boot) Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(now.Nano())
}

// Runtime is a Clock on Go's monotonic time, for tests that run under the fake
// clock of testing/synctest.
type Runtime struct{ start time.Time }

// NewRuntime returns a clock whose reading is one hour at the time of the call.
func NewRuntime() *Runtime { return &Runtime{start: time.Now().Add(-time.Hour)} }

// Now implements Clock.
func (r *Runtime) Now() time.Duration { return time.Since(r.start) }
