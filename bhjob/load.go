package bhjob

import "time"

// arrivalTime is how long an announced request may be on its way to the engine:
// some round trips to connect and to be read.
const arrivalTime = 10 * time.Millisecond

// load is the engine's load by its last report and by what was announced since.
type load struct {
	report LoadReport
	// items is how many runs were at the engine when it was asked.
	items int
	sent  time.Duration
	// announced holds the times of requests that the report doesn't show yet.
	announced []time.Duration
}

// take takes in a report that was asked for at the time sent.
func (l *load) take(report LoadReport, items int, sent time.Duration) {
	l.report, l.items, l.sent = report, items, sent
	for len(l.announced) > 0 && l.announced[0] < sent-arrivalTime {
		l.announced = l.announced[1:]
	}
}

func (l *load) reserve(now time.Duration) { l.announced = append(l.announced, now) }

// reserved returns how many requests are on their way.
func (l *load) reserved() int { return len(l.announced) }

// live returns how many live requests run, wait or are on their way.
func (l *load) live() int {
	return max(0, l.report.Running+l.report.Waiting-l.items) + l.reserved()
}
