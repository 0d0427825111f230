package bhplatform

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

const announceInterval = 5 * time.Second

// KeepAnnounced announces the host that currentHost returns to the host list
// every 5 s until ctx is done, and then returns nil. It logs a failed
// announcement and continues.
func KeepAnnounced(ctx context.Context, hosts Hosts, currentHost func() Host, logger bhlog.Logger) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := hosts.Announce(ctx, currentHost()); err != nil && ctx.Err() == nil {
			bhlog.Problem(logger, "announce.failed", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
