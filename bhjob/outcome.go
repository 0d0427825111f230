package bhjob

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// refusedRetryDelay is the minimum pause after the engine refused an item,
	// and interruptedRetryDelay after a request was interrupted.
	refusedRetryDelay     = 200 * time.Millisecond
	interruptedRetryDelay = 400 * time.Millisecond
	// maxInterruptions is the number of interrupted requests after which the
	// claim is released, so that another engine can try the item.
	maxInterruptions = 3
	// storeRetryMin is the first delay between attempts to record a result or
	// to release a claim while the store fails. It doubles up to storeRetryMax.
	storeRetryMin = 250 * time.Millisecond
	storeRetryMax = time.Second
)

// handleOutcome decides what follows a request that ended with err, or with nil
// after the complete output.
func (ir *itemRun) handleOutcome(ctx context.Context, err error) {
	var limited *limitedError
	switch {
	case ir.onStopped != nil && err != nil:
		ir.phase = paused
		ir.onStopped()
	case err == nil:
		if !ir.resumed {
			ir.runner.runTimes.observe(ir.item.Tokens, ir.events, ir.runTime)
		}
		ir.recordResult(Result{ID: ir.item.ID, Status: Completed, Text: ir.output()}, "completed")
	case ctx.Err() != nil:
		ir.pauseFor(0)
	case bhcode.Is(err, bhcode.BadRequest) && ir.checkpoint.LastEvent != "":
		// The ID is an engine's, and may be all that can't be sent.
		ir.dropOutput()
		ir.interrupt(err)
	case errors.Is(err, errRejected), errors.Is(err, errNoRoute), bhcode.Is(err, bhcode.BadRequest):
		ir.recordResult(Result{ID: ir.item.ID, Status: Dead}, err.Error())
	case errors.Is(err, errFailed):
		ir.countFailure()
	case errors.Is(err, errRefused), errors.Is(err, errOtherEngine), errors.Is(err, errSuspectRuns), errors.Is(err, errRouteUnknown):
		ir.waitFor(refusedRetryDelay)
	case errors.As(err, &limited):
		ir.waitFor(limited.wait)
	case errors.Is(err, errNotServed):
		bhlog.Event(ir.runner.config.Logger, "item.released", "item", ir.item.ID, "job", ir.job.ID, "after", ir.checkpoint.LastEvent, "reason", err)
		ir.releaseClaim(false)
	case bhcode.Is(err, bhcode.Withheld):
		ir.holdBack(err)
	default:
		ir.interrupt(err)
	}
}

// interrupt counts a request that was interrupted, and pauses the run or releases the claim.
func (ir *itemRun) interrupt(err error) {
	ir.interruptions++
	bhlog.Problem(ir.runner.config.Logger, "item.broken", err, "item", ir.item.ID, "job", ir.job.ID, "after", ir.checkpoint.LastEvent, "breaks", ir.interruptions)
	if ir.interruptions >= maxInterruptions {
		ir.releaseClaim(false)
		return
	}
	ir.pauseFor(interruptedRetryDelay)
}

// pauseFor pauses the run for at least the delay.
func (ir *itemRun) pauseFor(delay time.Duration) {
	ir.pausedAt = time.Now()
	ir.waitFor(delay)
}

// waitFor is pauseFor after a request that the engine didn't take: the pause before it goes
// on, so that the run is released in time to engines that do.
func (ir *itemRun) waitFor(delay time.Duration) {
	ir.phase = paused
	ir.notBefore = time.Now().Add(delay)
}

// countFailure releases the claim and counts a failure, or records the item as
// dead if no attempt is left.
func (ir *itemRun) countFailure() {
	failures := 1
	if state := ir.job.item(ir.item.ID); state != nil {
		failures += state.Failures
	}
	attempts := ir.runner.attempts(ir.job)
	bhlog.Event(ir.runner.config.Logger, "item.failed", "item", ir.item.ID, "job", ir.job.ID, "failures", failures, "attempts", attempts)
	if failures >= attempts {
		ir.recordResult(Result{ID: ir.item.ID, Status: Dead}, fmt.Sprintf("failed %d times", failures))
		return
	}
	ir.releaseClaim(true)
}

// recordResult records the result, and retries while the store fails. An output that the store
// still refuses when the item may be given up is dropped: it may refuse it for good.
func (ir *itemRun) recordResult(result Result, reason string) {
	ir.finish(func(ctx context.Context) error {
		for pause := storeRetryMin; ; pause = min(2*pause, storeRetryMax) {
			err := ir.tryRecord(ctx, result, reason)
			if err == nil || bhcode.Is(err, bhcode.NotFound) {
				return err
			}
			bhlog.Problem(ir.runner.config.Logger, "item.unlisted", err, "item", ir.item.ID, "job", ir.job.ID, "pause", pause)
			if result.Status == Completed && bhcode.Is(err, bhcode.PlatformUnavailable) && ir.mayBeGivenUp() &&
				ir.tryRecord(ctx, Result{ID: result.ID, Status: Dead}, "its output was not stored in time") == nil {
				return nil
			}
			time.Sleep(pause)
		}
	})
}

// tryRecord makes one attempt to record the result.
func (ir *itemRun) tryRecord(ctx context.Context, result Result, reason string) error {
	recorded, err := ir.runner.config.Jobs.RecordResult(ctx, ir.runner.newestRecord(ctx, ir.job), ir.runner.config.Holder, result)
	if err != nil {
		return err
	}
	ir.runner.metrics.countResult(result.Status)
	bhlog.Event(ir.runner.config.Logger, "item.ended", "item", ir.item.ID, "job", ir.job.ID, "status", result.Status, "reason", reason, "listed", recorded)
	return nil
}

// mayBeGivenUp reports whether the time is over until which the item's job keeps its items.
func (ir *itemRun) mayBeGivenUp() bool {
	ir.runner.mu.Lock()
	defer ir.runner.mu.Unlock()
	return ir.runner.expired(ir.job)
}

// finish executes the last step of the run in a goroutine and then removes the
// run. If the step fails, the next read of the jobs finds a claim without a
// run, which can be claimed again.
func (ir *itemRun) finish(step bhtree.Run) {
	ir.phase = ending
	ir.runner.tasks.Go(func() {
		if err := bhtree.Guard(context.Background(), step); err != nil {
			bhlog.Problem(ir.runner.config.Logger, "item.unended", err, "item", ir.item.ID, "job", ir.job.ID)
		}
		ir.runner.mu.Lock()
		defer ir.runner.mu.Unlock()
		ir.remove()
	})
}

// releaseClaim releases the claim and removes the run. It counts a failure if
// failed is true, and stores a checkpoint otherwise.
func (ir *itemRun) releaseClaim(failed bool) {
	release := ItemRelease{ID: ir.item.ID, Failed: failed}
	if !failed {
		release.Checkpoint = ir.currentCheckpoint()
	}
	ir.finish(func(context.Context) error { return ir.runner.releaseClaim(ir.job, release) })
}

// releaseClaim releases a claim in the job's record, with retries. A claim that
// can't be released is taken over once this runner's heartbeats stop, or found
// as a claim without a run by the next read of the jobs.
func (r *Runner) releaseClaim(job *Job, release ItemRelease) error {
	var lastErr error
	pause := storeRetryMin
	for range changeAttempts {
		if lastErr = r.config.Jobs.Release(context.Background(), r.newestRecord(context.Background(), job), r.config.Holder, []ItemRelease{release}); lastErr == nil {
			return nil
		}
		bhlog.Problem(r.config.Logger, "item.unreleased", lastErr, "item", release.ID, "job", job.ID, "pause", pause)
		time.Sleep(pause)
		pause = min(2*pause, storeRetryMax)
	}
	return errors.Wrapf(lastErr, "releasing the claim failed %d times", changeAttempts)
}
