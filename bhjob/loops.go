package bhjob

import (
	"context"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// ReadJobs reads the open jobs of one partition after another until ctx is done. Claims don't
// delay it: lists that are too old start nothing, and a dead runner is known by its record, which has
// to be read again and again.
func (r *Runner) ReadJobs(ctx context.Context) error {
	ticker := time.NewTicker(jobsReadInterval)
	defer ticker.Stop()
	parts := allPartitions()
	for i := 0; ; i++ {
		if err := r.readJobs(ctx, parts[i%len(parts)]); err != nil && ctx.Err() == nil {
			bhlog.Problem(r.config.Logger, "jobs.unread", err, "partition", parts[i%len(parts)])
			// Refused calls cost as much as others.
			bhtree.Sleep(ctx, jobsReadInterval)
		}
		if i < len(parts)-1 && ctx.Err() == nil {
			continue // the first reads of all partitions don't wait
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ClaimItems claims items whenever slots are free, until ctx is done.
func (r *Runner) ClaimItems(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.claimSignal:
			pause := claimInterval
			if err := r.claimFromJob(ctx); err != nil && ctx.Err() == nil {
				bhlog.Problem(r.config.Logger, "claim.failed", err)
				pause = failedClaimInterval
			}
			if !bhtree.Sleep(ctx, pause) {
				return nil
			}
		}
	}
}

// ObserveRunners reads the records of the other runners that hold claims on open jobs, until ctx is done.
func (r *Runner) ObserveRunners(ctx context.Context) error {
	for bhtree.Sleep(ctx, observeInterval) {
		if !r.othersHoldClaims() {
			continue
		}
		if err := r.heartbeats.observe(ctx, nil); err != nil && ctx.Err() == nil {
			bhlog.Problem(r.config.Logger, "runners.unread", err)
		}
	}
	return nil
}

// othersHoldClaims reports whether other runners hold claims on items of the known jobs.
func (r *Runner) othersHoldClaims() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := func(state ItemState) bool { return state.Status == Claimed && state.Holder != r.config.Holder }
	for _, list := range r.jobs {
		if slices.ContainsFunc(list.jobs, func(job *Job) bool { return slices.ContainsFunc(job.Items, held) }) {
			return true
		}
	}
	return false
}
