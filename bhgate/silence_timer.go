package bhgate

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// silenceTimer cancels an attempt whose upstream has neither sent anything nor taken a part of the
// request for the timeout. A nil silenceTimer never fires.
type silenceTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// newSilenceTimer starts the timer of one attempt. It returns nil if no other
// upstream may be tried after this attempt, and for a trial, whose outcome would
// remain open.
func (c *call) newSilenceTimer(cancel context.CancelFunc) *silenceTimer {
	if c.permit != nil || !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts {
		return nil
	}
	timeout := streamSilenceTimeout
	if c.route.Kind == bhpolicy.Safe {
		timeout = max(minSilenceTimeout, silenceTargets*c.route.LatencyObjective)
		timeout = min(timeout, time.Until(c.deadline)/2)
	}
	return &silenceTimer{timer: time.AfterFunc(timeout, cancel), timeout: timeout}
}

// reset restarts the timeout after the upstream sent or took data.
func (s *silenceTimer) reset() {
	if s != nil {
		s.timer.Reset(s.timeout)
	}
}

func (s *silenceTimer) stop() {
	if s != nil {
		s.timer.Stop()
	}
}
