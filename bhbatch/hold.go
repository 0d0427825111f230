package bhbatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// join returns the part in memory, new if no lease is held in it.
func (r *Runner) join(lead Lead, number int) *partRun {
	id := partID{job: lead.Key(), part: number}
	r.mu.Lock()
	defer r.mu.Unlock()
	part, ok := r.parts[id]
	if !ok {
		part = &partRun{id: id, lead: lead, turn: make(chan struct{}, 1), chunks: map[int]*chunkRun{}}
		r.parts[id] = part
	}
	return part
}

// change writes the part: it completes finished chunks, renews the leases held
// and claims new ones. Lost chunks are dropped.
func (r *Runner) change(ctx context.Context, part *partRun, finish []Finished, claim int) ([]*chunkRun, error) {
	select {
	case part.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, bhcode.Wrap(ctx.Err(), bhcode.PlatformUnavailable, "stopping")
	}
	defer func() { <-part.turn }()
	granted, err := r.store.Change(ctx, part.lead, part.id.part, Change{
		Holder: r.holder, Finish: finish, Keep: r.keep(part, finish), Claim: claim,
		Lapsed: r.lapsedIf(claim > 0, part.lead),
	})
	if bhcode.Is(err, bhcode.BatchCancelled) {
		r.dropPart(part, "job ended")
	}
	if err != nil {
		r.forget(part)
		return nil, err
	}
	return r.settlePart(part, finish, granted), nil
}

// lapsedIf returns the test for lapsed leases when it is needed. Only the
// feeder claims, and it alone uses the watch.
func (r *Runner) lapsedIf(needed bool, lead Lead) func(int, Chunk) bool {
	if !needed {
		return nil
	}
	return r.lapsed(lead)
}

// keep lists the leases of the part that are not finished.
func (r *Runner) keep(part *partRun, finish []Finished) []Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keep []Grant
	for _, chunk := range part.chunks {
		finished := slices.ContainsFunc(finish, func(f Finished) bool { return f.Grant == chunk.grant })
		if !finished && !chunk.gone {
			keep = append(keep, chunk.grant)
		}
	}
	return keep
}

// settlePart brings the leases in memory in line with what was written.
func (r *Runner) settlePart(part *partRun, finish []Finished, granted Granted) []*chunkRun {
	for _, chunk := range r.heldIn(part) {
		if slices.Contains(granted.Lost, chunk.grant) {
			r.drop(chunk, "lease lost")
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, finished := range finish {
		delete(part.chunks, finished.Grant.Chunk)
	}
	for _, chunk := range part.chunks {
		chunk.sent = granted.Sent
	}
	chunks := make([]*chunkRun, 0, len(granted.Granted))
	for _, grant := range granted.Granted {
		chunk := newChunkRun(part, grant, granted.Sent)
		part.chunks[grant.Chunk] = chunk
		chunks = append(chunks, chunk)
	}
	_, done := granted.Part.Counts()
	part.full = done == len(granted.Part.Chunks)
	r.parts[part.id] = part
	r.forgetLocked(part)
	r.changed.Broadcast()
	return chunks
}

func (r *Runner) heldIn(part *partRun) []*chunkRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunks := make([]*chunkRun, 0, len(part.chunks))
	for _, chunk := range part.chunks {
		chunks = append(chunks, chunk)
	}
	return chunks
}

// renew renews leases before they end and stops the items of those that ended.
func (r *Runner) renew(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for bhtree.Sleep(ctx, renewTick) {
		for _, part := range r.snapshot() {
			if !r.due(part, time.Now()) {
				continue
			}
			group.Go(func() {
				if _, err := r.change(ctx, part, nil, 0); err != nil {
					bhlog.Trace(r.logger, "batch.renew", "batch", part.lead.ID, "err", err)
				}
			})
		}
	}
	return nil
}

// due reports whether the part's leases should be renewed now. It stops the
// items of leases that the holder may no longer act on; they go on if a later
// renewal finds the lease unchanged.
func (r *Runner) due(part *partRun, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := false
	for _, chunk := range part.chunks {
		if !chunk.held(now) {
			chunk.stop()
		}
		due = due || now.Sub(chunk.sent) >= renewInterval
	}
	return due && len(part.turn) == 0
}

// complete stores the results of a chunk whose items have all ended, then
// changes its part's row.
func (r *Runner) complete(ctx context.Context, chunk *chunkRun) {
	part := chunk.part
	data, err := encodeLines(chunk.lines)
	if err == nil {
		name := resultName(part.lead.Account, part.lead.ID, chunk.grant.Chunk, chunk.grant.Fence)
		err = r.store.putObject(ctx, name, data)
	}
	if err == nil {
		_, err = r.change(ctx, part, []Finished{{Grant: chunk.grant, Counts: chunk.counts}}, 0)
	}
	if err != nil {
		bhlog.Problem(r.logger, "batch.complete", err, "batch", part.lead.ID, "chunk", chunk.grant.Chunk)
		r.drop(chunk, "not completed")
		return
	}
	bhlog.Event(r.logger, "batch.chunk", "batch", part.lead.ID, "chunk", chunk.grant.Chunk,
		"fence", chunk.grant.Fence, "completed", chunk.counts.Completed, "failed", chunk.counts.Failed)
	if !r.isFull(part) {
		return
	}
	if _, err := r.store.finish(ctx, part.lead.Account, part.lead.ID); err != nil {
		bhlog.Trace(r.logger, "batch.finish", "batch", part.lead.ID, "err", err)
	}
}

func (r *Runner) isFull(part *partRun) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return part.full
}

// giveBack drops a chunk and returns its lease.
func (r *Runner) giveBack(ctx context.Context, chunk *chunkRun, reason string) {
	r.drop(chunk, reason)
	if _, err := r.change(ctx, chunk.part, nil, 0); err != nil {
		bhlog.Trace(r.logger, "batch.release", "batch", chunk.part.lead.ID, "err", err)
	}
}

// dropPart drops all chunks of the part.
func (r *Runner) dropPart(part *partRun, reason string) {
	for _, chunk := range r.heldIn(part) {
		r.drop(chunk, reason)
	}
}

// drop forgets a chunk: its items are stopped and its results are discarded.
func (r *Runner) drop(chunk *chunkRun, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if chunk.gone {
		return
	}
	chunk.gone = true
	chunk.stop()
	r.queue = slices.DeleteFunc(r.queue, func(i *itemRun) bool { return i.chunk == chunk })
	if chunk.part.chunks[chunk.grant.Chunk] == chunk {
		delete(chunk.part.chunks, chunk.grant.Chunk)
	}
	r.forgetLocked(chunk.part)
	r.changed.Broadcast()
	bhlog.Event(r.logger, "batch.drop", "batch", chunk.part.lead.ID, "chunk", chunk.grant.Chunk,
		"fence", chunk.grant.Fence, "reason", reason)
}

// forget removes the part from memory if no lease is held in it.
func (r *Runner) forget(part *partRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLocked(part)
}

func (r *Runner) forgetLocked(part *partRun) {
	if len(part.chunks) == 0 && r.parts[part.id] == part {
		delete(r.parts, part.id)
	}
}
