package bhlimit

import "time"

// ground is the time during which a host may spend what it owns. It also
// counts how long that was, so that tokens accrue only during it.
type ground struct {
	start time.Time
	end   time.Time
	past  time.Duration
}

// holds reports whether the host may spend at now.
func (g *ground) holds(now time.Time) bool { return now.Before(g.end) }

// extend moves the end of the ground; an end that has passed starts anew.
func (g *ground) extend(now, end time.Time) {
	if !g.holds(now) {
		g.past = g.elapsed(now)
		g.start = now
		g.end = now
	}
	if end.After(g.end) {
		g.end = end
	}
}

// stop ends the ground at now at the latest.
func (g *ground) stop(now time.Time) {
	if g.holds(now) {
		g.end = now
	}
}

// elapsed returns for how long the host was allowed to spend until now.
func (g *ground) elapsed(now time.Time) time.Duration {
	end := now
	if g.end.Before(end) {
		end = g.end
	}
	if end.Before(g.start) {
		return g.past
	}
	return g.past + end.Sub(g.start)
}
