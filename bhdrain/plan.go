package bhdrain

import "time"

const (
	// acceptTime is how long a process that stops still accepts connections: first two
	// readiness checks, a second apart, have to fail.
	acceptTime = 3500 * time.Millisecond
	// answerMargin is what remains to write answers after upstreams were last waited for.
	answerMargin = 500 * time.Millisecond
	// exitMargin is what remains of the drain time after connections are closed.
	exitMargin = 700 * time.Millisecond
	// marginPart bounds each margin to a part of a short drain time.
	marginPart = 8
)

// Plan is the timetable of a graceful stop, as times since its begin.
type Plan struct {
	// Accept is until when connections are accepted.
	Accept time.Duration
	// Work is until when requests are worked on. Those that aren't finished are answered
	// with a failure then.
	Work time.Duration
	// Close is when connections that are left are closed.
	Close time.Duration
}

// NewPlan returns the timetable of a stop within the drain time, which may be too short for
// any margin.
func NewPlan(drain time.Duration) Plan {
	drain = max(0, drain)
	closing := drain - min(exitMargin, drain/marginPart)
	return Plan{
		Accept: min(acceptTime, drain/2),
		Work:   closing - min(answerMargin, drain/marginPart),
		Close:  closing,
	}
}
