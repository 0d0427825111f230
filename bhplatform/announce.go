package bhplatform

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

const announceInterval = 5 * time.Second

// KeepAnnounced enters the host that self returns into the host list, again
// and again until ctx is done.
func KeepAnnounced(ctx context.Context, hosts Hosts, self func() Host, logger bhlog.Logger) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := hosts.Announce(ctx, self()); err != nil && ctx.Err() == nil {
			bhlog.Problem(logger, "announce.failed", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
