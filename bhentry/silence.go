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
	lastCheck := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		checkedAt := time.Now()
		if !pausedBetween(lastCheck, checkedAt) {
			f.abortSilentLinks(checkedAt)
		}
		lastCheck = checkedAt
	}
}

// pausedBetween reports whether this process was paused between two checks.
// Heartbeats may then be waiting to be read, so silence is no sign of failure.
func pausedBetween(lastCheck, now time.Time) bool { return now.Sub(lastCheck) > 2*silenceCheckInterval }

// abortSilentLinks aborts the live sessions that have open calls and whose
// sidecar sent no heartbeat for beatTimeout.
func (f *fleet) abortSilentLinks(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sidecars {
		if s.link == nil || now.Sub(s.lastBeat) <= beatTimeout {
			continue
		}
		calls := s.link.openCalls()
		if calls == 0 {
			continue
		}
		bhlog.Decision(f.config.Logger, "abandon", s.host, "silent", calls, "silence", now.Sub(s.lastBeat))
		s.link.session.Abort()
	}
}
