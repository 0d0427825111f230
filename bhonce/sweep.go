package bhonce

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	sweepPageSize = 500
	sweepInterval = time.Hour
	// sweepPause is the pause after each removal.
	sweepPause = 20 * time.Millisecond
)

// SweepPeriodically removes expired claims every sweepInterval until ctx is
// done, and returns nil then. It logs the result of each sweep.
func (c *Claimer) SweepPeriodically(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		removed, err := c.Sweep(ctx)
		if err != nil {
			bhlog.Problem(c.config.Logger, "claim.sweep", err, "removed", removed)
			continue
		}
		bhlog.Event(c.config.Logger, "claim.sweep", "removed", removed)
	}
}

// Sweep removes the claims older than Retention with their answers, and returns
// the number of expired claims. Several hosts may sweep at once; a claim that
// another host removes at the same time is counted too. Sweep stops at the
// first platform error or row that can't be decoded.
func (c *Claimer) Sweep(ctx context.Context) (int, error) {
	removed := 0
	for after := ""; ; {
		rows, err := c.config.Table.List(ctx, Prefix, after, sweepPageSize)
		if err != nil || len(rows) == 0 {
			return removed, err
		}
		for _, tableRow := range rows {
			after = tableRow.Key
			expired, err := c.removeIfExpired(ctx, tableRow)
			if err != nil {
				return removed, err
			}
			if expired {
				removed++
			}
		}
	}
}

// removeIfExpired removes the claim if it is older than Retention, and reports
// whether it was. It deletes the claim's object before the row, so that a
// failure between the two leaves no object without a row.
func (c *Claimer) removeIfExpired(ctx context.Context, tableRow bhplatform.Row) (bool, error) {
	claim, err := decodeRow(tableRow)
	if err != nil {
		return false, err
	}
	if time.Since(claim.ClaimedAt) < Retention {
		return false, nil
	}
	if claim.BodyObject != "" {
		if err := c.config.Objects.Delete(ctx, claim.BodyObject); err != nil {
			return false, err
		}
	}
	write := bhplatform.Write{Key: tableRow.Key, Delete: true, Expect: tableRow.Version}
	if _, err := c.config.Table.Commit(ctx, write); err != nil && !bhcode.Is(err, bhcode.PlatformConflict) {
		return false, err
	}
	time.Sleep(sweepPause)
	return true, nil
}
