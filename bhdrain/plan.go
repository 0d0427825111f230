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
	// leastExitMargin is what remains of it if answers had to be written late.
	leastExitMargin = 200 * time.Millisecond
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
	// Close is when connections that are left are closed, and Latest when they are at the
	// latest.
	Close, Latest time.Duration
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
		Latest: drain - min(leastExitMargin, drain/(2*marginPart)),
	}
}

// CloseAfter returns when connections that are left are closed if the work ended at the time:
// later than planned if the machine held the process up, so that answers are still written.
func (p Plan) CloseAfter(ended time.Duration) time.Duration {
	return min(max(p.Close, ended+p.Close-p.Work), p.Latest)
}
