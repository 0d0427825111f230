package bhjob

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// checkpointInterval is the time between two checkpoints of running items.
// Items run for several seconds; a runner that dies loses the output since its
// last checkpoint.
const checkpointInterval = 2 * time.Second

// SaveCheckpoints periodically stores checkpoints of the running items until
// ctx is done.
func (r *Runner) SaveCheckpoints(ctx context.Context) error {
	for bhtree.Sleep(ctx, checkpointInterval) {
		items := r.unsavedItems()
		if len(items) == 0 {
			continue
		}
		if err := r.config.Jobs.SaveCheckpoints(ctx, items); err != nil && ctx.Err() == nil {
			bhlog.Problem(r.config.Logger, "items.unsaved", err, "items", len(items))
		}
	}
	return nil
}

// unsavedItems returns the checkpoints of the items that have produced output
// since the last call.
func (r *Runner) unsavedItems() []ItemCheckpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var items []ItemCheckpoint
	for _, run := range r.runs {
		if run.phase == ending || run.unplaced || run.checkpoint.LastEvent == run.savedEvent || run.textBytes > recordLimit {
			continue
		}
		run.savedEvent = run.checkpoint.LastEvent
		items = append(items, ItemCheckpoint{Job: run.job, ID: run.item.ID, Holder: r.config.Holder, Checkpoint: run.currentCheckpoint()})
	}
	return items
}
