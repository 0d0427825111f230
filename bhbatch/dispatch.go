package bhbatch

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// dispatch runs ready items as the gate gives places.
func (r *Runner) dispatch(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		place, err := r.gate.Acquire(ctx)
		if err != nil {
			return nil
		}
		item := r.next(ctx)
		if item == nil {
			place.Release()
			return nil
		}
		group.Go(func() { r.run(ctx, item, place) })
	}
}

// next waits for an item that may start, and notes that it runs.
func (r *Runner) next(ctx context.Context) *itemRun {
	var item *itemRun
	r.wait(ctx, func() bool {
		item = r.take(time.Now())
		return item != nil
	})
	return item
}

// take removes the first item that may start from the queue. While an item
// has to run alone nothing else is started.
func (r *Runner) take(now time.Time) *itemRun {
	if r.exclusive || now.Sub(r.fresh) > freshLimit {
		return nil
	}
	for i, item := range r.queue {
		if !item.chunk.held(now) {
			continue
		}
		if item.alone && r.running > 0 {
			return nil
		}
		r.queue = append(r.queue[:i], r.queue[i+1:]...)
		r.exclusive = item.alone
		r.running++
		r.changed.Broadcast()
		return item
	}
	return nil
}

// run runs an item once and acts on the outcome.
func (r *Runner) run(ctx context.Context, item *itemRun, place Place) {
	result, interrupted, err := r.attempt(ctx, item, place)
	place.Release()
	if interrupted {
		r.back(ctx, item)
		return
	}
	r.conclude(ctx, item, result, err)
}

// attempt runs an item until it ends or is interrupted.
func (r *Runner) attempt(ctx context.Context, item *itemRun, place Place) (result Result, interrupted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if isClosed(place.Preempted()) || !r.begin(item, cancel) {
		return Result{}, true, nil
	}
	stop := r.onPreempt(ctx, cancel, place)
	defer stop()
	result, err = place.Engine().Run(ctx, item.item, item.resume, func(text string, tokens int) {
		r.emit(item, text, tokens)
	})
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

// begin notes the cancel function of a run, unless the lease may no longer be
// acted on or the last look for cancels has become too old.
func (r *Runner) begin(item *itemRun, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !item.chunk.held(now) || now.Sub(r.fresh) > freshLimit {
		return false
	}
	item.chunk.cancels[item.number] = cancel
	r.totals.Started++
	return true
}

// onPreempt cancels the run when the place is preempted. The function returned
// ends the wait.
func (r *Runner) onPreempt(ctx context.Context, cancel context.CancelFunc, place Place) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-place.Preempted():
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

// emit adds a piece of the answer to what an interrupted run resumes from.
func (r *Runner) emit(item *itemRun, text string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Generated += tokens
	item.resume.Text += text
	item.resume.Tokens += tokens
}

// back puts an interrupted item first in the queue.
func (r *Runner) back(ctx context.Context, item *itemRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leave(item)
	if item.chunk.gone || ctx.Err() != nil {
		return
	}
	r.queue = append([]*itemRun{item}, r.queue...)
}

// leave notes that an item no longer runs.
func (r *Runner) leave(item *itemRun) {
	delete(item.chunk.cancels, item.number)
	r.running--
	if item.alone {
		r.exclusive = false
	}
	r.changed.Broadcast()
}

// conclude acts on the outcome of a run that was not interrupted.
func (r *Runner) conclude(ctx context.Context, item *itemRun, result Result, err error) {
	ruling := r.settleItem(item, result, err)
	switch ruling {
	case verdictAbandon:
		r.giveBack(ctx, item.chunk, "engine takes no items")
	case verdictLast:
		r.complete(ctx, item.chunk)
	}
}

// settleItem notes the outcome of a run.
func (r *Runner) settleItem(item *itemRun, result Result, err error) verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leave(item)
	if item.chunk.gone {
		return verdictAgain
	}
	ruling := item.judge(err, !item.alone)
	if err != nil {
		bhlog.Event(r.logger, "batch.item", "batch", item.chunk.part.lead.ID, "chunk", item.chunk.grant.Chunk,
			"item", item.number, "tries", item.tries, "crashes", item.crashes, "err", err)
	}
	last := false
	id := item.chunk.lineID(item.number)
	switch ruling {
	case verdictDone:
		last = r.end(item, completedLine(id, item.item, result.Body), result.Tokens)
	case verdictFailed:
		last = r.end(item, failedLine(id, item.item, item.failure(err)), 0)
	case verdictAlone:
		item.alone = true
		item.resume = Resume{}
		r.later(item)
	case verdictAgain:
		r.later(item)
	}
	if last {
		return verdictLast
	}
	return ruling
}

func (r *Runner) end(item *itemRun, line Line, tokens int) bool {
	r.totals.Ended++
	r.totals.Tokens += tokens
	return item.chunk.end(item.number, line, tokens)
}

// later puts an item last in the queue after a delay.
func (r *Runner) later(item *itemRun) {
	time.AfterFunc(againDelay<<min(item.refusals+item.tries, 4), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if item.chunk.gone {
			return
		}
		r.queue = append(r.queue, item)
		r.changed.Broadcast()
	})
}
