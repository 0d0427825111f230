package bhentry

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// silenceCheckInterval is the time between checks for silent sidecars.
const silenceCheckInterval = beatTimeout / 4

// watchSilence aborts the live sessions of silent sidecars until ctx is done.
// Their calls then end with an unknown outcome, so that idempotent requests are
// retried on other upstreams.
func (f *fleet) watchSilence(ctx context.Context) error {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	f.checkSilence(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		f.checkSilence(time.Now())
	}
}

// pausedBetween reports whether this process was paused between two checks.
// Heartbeats may then be waiting to be read, so silence is no sign of failure.
func pausedBetween(lastCheck, now time.Time) bool { return now.Sub(lastCheck) > 2*silenceCheckInterval }

// checkSilence aborts the live sessions that have open calls and whose sidecar has been
// silent for longer than beatTimeout.
func (f *fleet) checkSilence(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pausedBetween(f.checkedAt, now) {
		f.resumedAt = now
	}
	f.checkedAt = now
	for _, s := range f.sidecars {
		silence := f.silence(s, now)
		if s.link == nil || silence <= beatTimeout {
			continue
		}
		calls := s.link.openCalls()
		if calls == 0 {
			continue
		}
		bhlog.Decision(f.config.Logger, "abandon", s.host, "silent", calls, "silence", silence)
		s.link.session.Abort()
	}
}

// silence returns for how long the sidecar has sent no heartbeat. If this process was paused
// meanwhile, only the time since the end of the pause counts. The caller holds mu.
func (f *fleet) silence(s *sidecar, now time.Time) time.Duration {
	switch {
	case s.lastBeat.IsZero():
		return now.Sub(s.lastBeat)
	case !f.checkedAt.IsZero() && pausedBetween(f.checkedAt, now):
		return 0 // the pause has just ended, before a check
	case f.resumedAt.After(s.lastBeat):
		return now.Sub(f.resumedAt)
	}
	return now.Sub(s.lastBeat)
}
