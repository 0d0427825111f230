package bhbatch

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// dispatchLoop runs ready items as the gate grants slots.
func (r *Runner) dispatchLoop(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		slot, err := r.gate.Acquire(ctx)
		if err != nil {
			return nil
		}
		item := r.nextItem(ctx)
		if item == nil {
			slot.Release()
			return nil
		}
		group.Go(func() { r.runItem(ctx, item, slot) })
	}
}

// nextItem waits for an item that may start and counts it as running. It
// returns nil once ctx is done.
func (r *Runner) nextItem(ctx context.Context) *heldItem {
	var item *heldItem
	r.waitUntil(ctx, func() bool {
		item = r.dequeue(time.Now())
		return item != nil
	})
	return item
}

// dequeue removes the first item that may start from the queue. While an item
// runs that must run alone, no other item is started; before such an item
// starts, the running ones must end. It returns nil if no item may start or the
// last check for cancelled jobs is too old.
func (r *Runner) dequeue(now time.Time) *heldItem {
	if r.runningAlone || now.Sub(r.cancelsCheckedAt) > maxCancelPollAge {
		return nil
	}
	for i, item := range r.queue {
		if !item.chunk.leaseValid(now) {
			continue
		}
		if item.alone && r.runningItems > 0 {
			return nil
		}
		r.queue = append(r.queue[:i], r.queue[i+1:]...)
		r.runningAlone = item.alone
		r.runningItems++
		r.changed.Broadcast()
		return item
	}
	return nil
}

// runItem runs an item once and handles the outcome. An interrupted item is
// queued again.
func (r *Runner) runItem(ctx context.Context, item *heldItem, slot Slot) {
	result, interrupted, err := r.attemptItem(ctx, item, slot)
	slot.Release()
	if interrupted {
		r.requeueFirst(ctx, item)
		return
	}
	r.handleOutcome(ctx, item, result, err)
}

// attemptItem runs an item until it ends or is interrupted, for example by
// preemption or an expired lease.
func (r *Runner) attemptItem(ctx context.Context, item *heldItem, slot Slot) (result Result, interrupted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if isClosed(slot.Preempted()) || !r.registerRun(item, cancel) {
		return Result{}, true, nil
	}
	stop := r.cancelOnPreempt(ctx, cancel, slot)
	defer stop()
	result, err = slot.Engine().Run(ctx, item.item, item.resume, func(piece Piece) { r.appendOutput(item, piece) })
	return result, err != nil && ctx.Err() != nil, err
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// registerRun stores the cancel function of a run. It returns false if the
// runner may no longer act on the lease or the last check for cancelled jobs is
// too old.
func (r *Runner) registerRun(item *heldItem, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !item.chunk.leaseValid(now) || now.Sub(r.cancelsCheckedAt) > maxCancelPollAge {
		return false
	}
	item.chunk.cancels[item.number] = cancel
	r.totals.Started++
	return true
}

// cancelOnPreempt cancels the run when the slot is preempted. The returned
// function cancels the run's context and waits until the goroutine ends.
func (r *Runner) cancelOnPreempt(ctx context.Context, cancel context.CancelFunc, slot Slot) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-slot.Preempted():
			r.mu.Lock()
			r.totals.Preempted++
			r.mu.Unlock()
			cancel()
		case <-ctx.Done():
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// appendOutput adds a piece of the answer to the output from which an
// interrupted run resumes.
func (r *Runner) appendOutput(item *heldItem, piece Piece) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Generated += piece.Tokens
	item.resume.Text += piece.Text
	item.resume.Tokens += piece.Tokens
	if piece.Version != "" {
		item.resume.Version = piece.Version
	}
}

// requeueFirst puts an interrupted item back at the head of the queue, unless
// its chunk was dropped or the runner stops.
func (r *Runner) requeueFirst(ctx context.Context, item *heldItem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unregisterRun(item)
	if item.chunk.dropped || ctx.Err() != nil {
		return
	}
	r.queue = append([]*heldItem{item}, r.queue...)
}

// unregisterRun records that an item no longer runs. The caller holds mu.
func (r *Runner) unregisterRun(item *heldItem) {
	delete(item.chunk.cancels, item.number)
	r.runningItems--
	if item.alone {
		r.runningAlone = false
	}
	r.changed.Broadcast()
}

// handleOutcome acts on the outcome of a run that was not interrupted.
func (r *Runner) handleOutcome(ctx context.Context, item *heldItem, result Result, err error) {
	action := r.recordOutcome(item, result, err)
	switch action {
	case actionReleaseChunk:
		r.releaseChunk(ctx, item.chunk, "engines refused an item too often")
	case actionCompleteChunk:
		r.completeChunk(ctx, item.chunk)
	}
}

// recordOutcome records the outcome of a run and queues the item again if it is
// to be retried. It returns the action taken or, for a chunk to release or
// complete, left to the caller.
func (r *Runner) recordOutcome(item *heldItem, result Result, err error) itemAction {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unregisterRun(item)
	if item.chunk.dropped {
		return actionRetry
	}
	action := item.decideAction(err, !item.alone)
	if err != nil {
		bhlog.Event(r.logger, "batch.item", "batch", item.chunk.part.job.ID, "chunk", item.chunk.grant.Chunk,
			"item", item.number, "tries", item.tries, "crashes", item.crashes, "err", err)
	}
	last := false
	id := item.chunk.resultID(item.number)
	switch action {
	case actionComplete:
		last = r.recordResult(item, completedLine(id, item.item, result.Body), result.Tokens)
	case actionFail:
		last = r.recordResult(item, failedLine(id, item.item, item.failure(err)), 0)
	case actionRetryAlone:
		item.alone = true
		item.resume = ResumePoint{}
		r.requeueLater(item)
	case actionRetry:
		r.requeueLater(item)
	}
	if last {
		return actionCompleteChunk
	}
	return action
}

// recordResult stores the result of an item and reports whether it was the last
// item of the chunk to end. The caller holds mu.
func (r *Runner) recordResult(item *heldItem, line ResultLine, tokens int) bool {
	r.totals.Ended++
	r.totals.Tokens += tokens
	return item.chunk.recordResult(item.number, line, tokens)
}

// requeueLater puts an item at the end of the queue after its delay.
func (r *Runner) requeueLater(item *heldItem) {
	time.AfterFunc(item.retryDelay(), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if item.chunk.dropped {
			return
		}
		r.queue = append(r.queue, item)
		r.changed.Broadcast()
	})
}
