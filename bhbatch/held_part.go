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

// partFor returns the part of the job in memory, and adds it if the runner
// holds no lease in it.
func (r *Runner) partFor(job OpenJob, number int) *heldPart {
	id := partID{jobKey: job.Key(), part: number}
	r.mu.Lock()
	defer r.mu.Unlock()
	part, ok := r.parts[id]
	if !ok {
		part = &heldPart{id: id, job: job, writeLock: make(chan struct{}, 1), chunks: map[int]*heldChunk{}}
		r.parts[id] = part
	}
	return part
}

// changePart writes the part's row: it completes the finished chunks, renews
// the other held leases and claims new ones. Chunks whose lease was lost are
// dropped. It returns the claimed chunks.
func (r *Runner) changePart(ctx context.Context, part *heldPart, finish []FinishedChunk, claim int) ([]*heldChunk, error) {
	select {
	case part.writeLock <- struct{}{}:
	case <-ctx.Done():
		return nil, bhcode.Wrap(ctx.Err(), bhcode.PlatformUnavailable, "stopping")
	}
	defer func() { <-part.writeLock }()
	granted, err := r.store.ChangePart(ctx, part.job, part.id.part, PartChange{
		Holder: r.holder, Finish: finish, Renew: r.grantsToRenew(part, finish), Claim: claim,
		Expired: r.expiryCheckIf(claim > 0, part.job),
	})
	if bhcode.Is(err, bhcode.BatchCancelled) {
		r.dropPart(part, "job ended")
	}
	if err != nil {
		r.removeIfEmpty(part)
		return nil, err
	}
	return r.applyResult(part, finish, granted), nil
}

// expiryCheckIf returns the check for expired leases if needed is set, and nil
// otherwise. Only claimLoop claims chunks, and it alone may use leaseMonitor.
func (r *Runner) expiryCheckIf(needed bool, job OpenJob) func(int, Chunk) bool {
	if !needed {
		return nil
	}
	return r.expiryCheck(job)
}

// grantsToRenew lists the held leases of the part whose chunks are not in
// finish.
func (r *Runner) grantsToRenew(part *heldPart, finish []FinishedChunk) []Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	var grants []Grant
	for _, chunk := range part.chunks {
		finished := slices.ContainsFunc(finish, func(f FinishedChunk) bool { return f.Grant == chunk.grant })
		if !finished && !chunk.dropped {
			grants = append(grants, chunk.grant)
		}
	}
	return grants
}

// applyResult updates the chunks in memory to match the written row and returns
// the newly leased ones.
func (r *Runner) applyResult(part *heldPart, finish []FinishedChunk, result ChangeResult) []*heldChunk {
	for _, chunk := range r.chunksIn(part) {
		if slices.Contains(result.Lost, chunk.grant) {
			r.dropChunk(chunk, "lease lost")
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, finished := range finish {
		delete(part.chunks, finished.Grant.Chunk)
	}
	for _, chunk := range part.chunks {
		chunk.leaseStart = result.SentAt
	}
	chunks := make([]*heldChunk, 0, len(result.Granted))
	for _, grant := range result.Granted {
		chunk := newHeldChunk(part, grant, result.SentAt)
		part.chunks[grant.Chunk] = chunk
		chunks = append(chunks, chunk)
	}
	_, done := result.Part.Counts()
	part.allDone = done == len(result.Part.Chunks)
	r.parts[part.id] = part
	r.removeIfEmptyLocked(part)
	r.changed.Broadcast()
	return chunks
}

// chunksIn returns the held chunks of the part.
func (r *Runner) chunksIn(part *heldPart) []*heldChunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunks := make([]*heldChunk, 0, len(part.chunks))
	for _, chunk := range part.chunks {
		chunks = append(chunks, chunk)
	}
	return chunks
}

// renewLoop renews leases before they expire and stops the items of expired
// ones.
func (r *Runner) renewLoop(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for bhtree.Sleep(ctx, renewCheckInterval) {
		for _, part := range r.heldParts() {
			if !r.checkLeases(part, time.Now()) {
				continue
			}
			group.Go(func() {
				if _, err := r.changePart(ctx, part, nil, 0); err != nil {
					bhlog.Trace(r.logger, "batch.renew", "batch", part.job.ID, "err", err)
				}
			})
		}
	}
	return nil
}

// checkLeases reports whether the part's leases should be renewed now. It stops
// the items of leases that the runner may no longer act on. These items resume
// if a later renewal finds the lease unchanged.
func (r *Runner) checkLeases(part *heldPart, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := false
	for _, chunk := range part.chunks {
		if !chunk.leaseValid(now) {
			chunk.cancelItems()
		}
		due = due || now.Sub(chunk.leaseStart) >= renewInterval
	}
	return due && len(part.writeLock) == 0
}

// completeChunk stores the results of a chunk whose items have all ended, then
// marks the chunk as done in its part's row. If that completes the part,
// completeChunk also ends the job if all its chunks are done.
func (r *Runner) completeChunk(ctx context.Context, chunk *heldChunk) {
	part := chunk.part
	data, err := encodeResults(chunk.lines)
	if err == nil {
		name := resultName(part.job.Account, part.job.ID, chunk.grant.Chunk, chunk.grant.Fence)
		err = r.store.putObject(ctx, name, data)
	}
	if err == nil {
		_, err = r.changePart(ctx, part, []FinishedChunk{{Grant: chunk.grant, Counts: chunk.counts}}, 0)
	}
	if err != nil {
		bhlog.Problem(r.logger, "batch.complete", err, "batch", part.job.ID, "chunk", chunk.grant.Chunk)
		r.dropChunk(chunk, "chunk could not be completed")
		return
	}
	bhlog.Event(r.logger, "batch.chunk", "batch", part.job.ID, "chunk", chunk.grant.Chunk,
		"fence", chunk.grant.Fence, "completed", chunk.counts.Completed, "failed", chunk.counts.Failed)
	if !r.allChunksDone(part) {
		return
	}
	if _, err := r.store.endIfDone(ctx, part.job.Account, part.job.ID); err != nil {
		bhlog.Trace(r.logger, "batch.finish", "batch", part.job.ID, "err", err)
	}
}

func (r *Runner) allChunksDone(part *heldPart) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return part.allDone
}

// releaseChunk drops a chunk and releases its lease.
func (r *Runner) releaseChunk(ctx context.Context, chunk *heldChunk, reason string) {
	r.dropChunk(chunk, reason)
	if _, err := r.changePart(ctx, chunk.part, nil, 0); err != nil {
		bhlog.Trace(r.logger, "batch.release", "batch", chunk.part.job.ID, "err", err)
	}
}

// dropPart drops all chunks of the part.
func (r *Runner) dropPart(part *heldPart, reason string) {
	for _, chunk := range r.chunksIn(part) {
		r.dropChunk(chunk, reason)
	}
}

// dropChunk discards a chunk: its items are stopped, its results are not stored
// and the runner no longer renews its lease.
func (r *Runner) dropChunk(chunk *heldChunk, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if chunk.dropped {
		return
	}
	chunk.dropped = true
	chunk.cancelItems()
	r.queue = slices.DeleteFunc(r.queue, func(i *heldItem) bool { return i.chunk == chunk })
	if chunk.part.chunks[chunk.grant.Chunk] == chunk {
		delete(chunk.part.chunks, chunk.grant.Chunk)
	}
	r.removeIfEmptyLocked(chunk.part)
	r.changed.Broadcast()
	bhlog.Event(r.logger, "batch.drop", "batch", chunk.part.job.ID, "chunk", chunk.grant.Chunk,
		"fence", chunk.grant.Fence, "reason", reason)
}

// removeIfEmpty removes the part from memory if the runner holds no lease in
// it.
func (r *Runner) removeIfEmpty(part *heldPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeIfEmptyLocked(part)
}

// removeIfEmptyLocked is removeIfEmpty for callers that hold mu.
func (r *Runner) removeIfEmptyLocked(part *heldPart) {
	if len(part.chunks) == 0 && r.parts[part.id] == part {
		delete(r.parts, part.id)
	}
}
