package bhjob

import "time"

// arrivalTime is how long an announced request may take to reach the engine: a
// few round trips to connect and to be read.
const arrivalTime = 10 * time.Millisecond

// engineLoad estimates the engine's load from its last report and the live
// requests announced since.
type engineLoad struct {
	report LoadReport
	// activeItems is the number of runs at the engine when the report was
	// requested.
	activeItems int
	requestedAt time.Duration
	// announced holds the times of the announcements that the report may not
	// include yet.
	announced []time.Duration
}

// update replaces the report by one that was requested at requestedAt, and
// drops the announced requests that it must include.
func (l *engineLoad) update(report LoadReport, activeItems int, requestedAt time.Duration) {
	l.report, l.activeItems, l.requestedAt = report, activeItems, requestedAt
	for len(l.announced) > 0 && l.announced[0] < requestedAt-arrivalTime {
		l.announced = l.announced[1:]
	}
}

// reserve adds a live request that was announced at now.
func (l *engineLoad) reserve(now time.Duration) { l.announced = append(l.announced, now) }

// reserved returns the number of announced requests that the report may not
// include.
func (l *engineLoad) reserved() int { return len(l.announced) }

// live returns the number of live requests that run, wait or are announced.
func (l *engineLoad) live() int {
	return max(0, l.report.Running+l.report.Waiting-l.activeItems) + l.reserved()
}
