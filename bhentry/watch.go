package bhentry

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// watchInterval is how often silent sidecars are looked for.
const watchInterval = beatTimeout / 4

// watch gives up the live sessions of silent sidecars until ctx is done.
// Calls on them end with an unknown outcome, so that those that may run again
// go on elsewhere.
func (f *fleet) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if !pausedBetween(last, now) {
			f.abandonSilent(now)
		}
		last = now
	}
}

// pausedBetween reports whether this process stood still between two rounds.
// Heartbeats may then wait to be read, and silence means nothing.
func pausedBetween(last, now time.Time) bool { return now.Sub(last) > 2*watchInterval }

func (f *fleet) abandonSilent(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sidecars {
		if s.live == nil || now.Sub(s.heard) <= beatTimeout {
			continue
		}
		calls := s.live.total()
		if calls == 0 {
			continue
		}
		bhlog.Decision(f.config.Logger, "abandon", s.host, "silent", calls, "silence", now.Sub(s.heard))
		s.live.session.Abort()
	}
}
