package bhonce

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	sweepPage     = 500
	sweepInterval = time.Hour
	sweepPause    = 20 * time.Millisecond
)

// Run removes expired claims from time to time until ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		removed, err := k.Sweep(ctx)
		if err != nil {
			bhlog.Problem(k.config.Logger, "claim.sweep", err, "removed", removed)
			continue
		}
		bhlog.Event(k.config.Logger, "claim.sweep", "removed", removed)
	}
}

// Sweep removes claims older than Keep with their answers, and returns their
// number. Several hosts may sweep at once.
func (k *Keeper) Sweep(ctx context.Context) (int, error) {
	removed := 0
	for after := ""; ; {
		rows, err := k.config.Table.List(ctx, Prefix, after, sweepPage)
		if err != nil || len(rows) == 0 {
			return removed, err
		}
		for _, found := range rows {
			after = found.Key
			gone, err := k.expire(ctx, found)
			if err != nil {
				return removed, err
			}
			if gone {
				removed++
			}
		}
	}
}

// expire removes the claim if it is old enough. Its object goes first, so that
// none is left without a row.
func (k *Keeper) expire(ctx context.Context, found bhplatform.Row) (bool, error) {
	claim, err := decodeRow(found)
	if err != nil {
		return false, err
	}
	if time.Since(claim.Claimed) < Keep {
		return false, nil
	}
	if claim.Object != "" {
		if err := k.config.Objects.Delete(ctx, claim.Object); err != nil {
			return false, err
		}
	}
	write := bhplatform.Write{Key: found.Key, Delete: true, Expect: found.Version}
	if _, err := k.config.Table.Commit(ctx, write); err != nil && !bhcode.Is(err, bhcode.PlatformConflict) {
		return false, err
	}
	time.Sleep(sweepPause)
	return true, nil
}
