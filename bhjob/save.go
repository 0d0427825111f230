package bhjob

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// saveInterval is how often the output of running items is stored. An item runs
// for some seconds; what it made since is lost with its runner.
const saveInterval = 2 * time.Second

// SaveCheckpoints stores the output of items now and then until ctx is done.
func (r *Runner) SaveCheckpoints(ctx context.Context) error {
	for bhtree.Sleep(ctx, saveInterval) {
		items := r.unsaved()
		if len(items) == 0 {
			continue
		}
		if err := r.config.Jobs.SaveCheckpoints(ctx, items); err != nil && ctx.Err() == nil {
			bhlog.Problem(r.config.Logger, "items.unsaved", err, "items", len(items))
		}
	}
	return nil
}

// unsaved returns the items whose output has grown since it was last returned.
func (r *Runner) unsaved() []ItemCheckpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var items []ItemCheckpoint
	for id, run := range r.runs {
		if run.phase == ending || run.saved.LastEvent == run.kept {
			continue
		}
		run.kept = run.saved.LastEvent
		items = append(items, ItemCheckpoint{Job: run.job, ID: id, Holder: r.config.Holder, Checkpoint: run.checkpoint()})
	}
	return items
}
