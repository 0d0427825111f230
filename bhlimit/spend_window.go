package bhlimit

import "time"

// spendWindow is the period during which a host may spend what it owns. It
// also sums up the length of all periods, because owned tokens accrue only
// then.
type spendWindow struct {
	start time.Time
	end   time.Time
	// accumulated is the total length of the periods before start.
	accumulated time.Duration
}

// active reports whether the host may spend at now.
func (w *spendWindow) active(now time.Time) bool { return now.Before(w.end) }

// extend moves the end of the period to end unless it is later already. If
// the period is over, a new one starts at now.
func (w *spendWindow) extend(now, end time.Time) {
	if !w.active(now) {
		w.accumulated = w.elapsed(now)
		w.start = now
		w.end = now
	}
	if end.After(w.end) {
		w.end = end
	}
}

// endBy ends the period at now unless it ended before.
func (w *spendWindow) endBy(now time.Time) {
	if w.active(now) {
		w.end = now
	}
}

// elapsed returns the total time up to now during which the host was allowed
// to spend what it owns.
func (w *spendWindow) elapsed(now time.Time) time.Duration {
	end := now
	if w.end.Before(end) {
		end = w.end
	}
	if end.Before(w.start) {
		return w.accumulated
	}
	return w.accumulated + end.Sub(w.start)
}
