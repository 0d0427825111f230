package bhbatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhfair"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// claimLoop leases chunks so that enough items are ready to run.
func (r *Runner) claimLoop(ctx context.Context) error {
	for {
		if !r.waitUntil(ctx, r.needsChunk) {
			return nil
		}
		chunk, err := r.claimChunk(ctx)
		if err != nil {
			bhlog.Trace(r.logger, "batch.claim", "err", err)
		}
		if chunk == nil {
			bhtree.Sleep(ctx, jitter(idleClaimInterval))
			continue
		}
		r.loadItems(ctx, chunk)
	}
}

// needsChunk reports whether another chunk should be leased. The caller holds
// mu.
func (r *Runner) needsChunk() bool {
	return len(r.queue) < r.readyItems && r.heldChunkCount() < r.maxChunks
}

// heldChunkCount returns the number of held chunks. The caller holds mu.
func (r *Runner) heldChunkCount() int {
	held := 0
	for _, part := range r.parts {
		held += len(part.chunks)
	}
	return held
}

// claimChunk leases one chunk of the first job in the scheduler's order that
// has a claimable one. It returns nil if no job has.
func (r *Runner) claimChunk(ctx context.Context) (*heldChunk, error) {
	openJobs, err := r.listOpenJobs(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	byKey := make(map[string]OpenJob, len(openJobs))
	jobs := make([]bhfair.Job, 0, len(openJobs))
	for _, openJob := range openJobs {
		if !r.servesModel(openJob.Model) {
			continue
		}
		byKey[openJob.Key()] = openJob
		jobs = append(jobs, bhfair.Job{
			ID: openJob.Key(), Account: openJob.Account, Created: openJob.Created, Deadline: openJob.Deadline,
		})
	}
	for _, job := range r.scheduler.Order(now, jobs) {
		if now.Before(r.skipUntil[job.ID]) {
			continue
		}
		chunk, err := r.claimFromJob(ctx, byKey[job.ID])
		if err != nil && !bhcode.Is(err, bhcode.BatchCancelled) {
			return nil, err
		}
		if chunk != nil {
			r.scheduler.Charge(job.Account, job.ID, float64(meanChunkItems(byKey[job.ID])))
			bhlog.Decision(r.logger, "batch.claim", job.ID, "first by deadline and share with a claimable chunk", len(jobs),
				"chunk", chunk.grant.Chunk, "fence", chunk.grant.Fence)
			return chunk, nil
		}
		r.skipUntil[job.ID] = now.Add(jitter(noClaimableDelay))
	}
	return nil, nil
}

// meanChunkItems returns the mean number of items in a chunk of the job,
// rounded up.
func meanChunkItems(job OpenJob) int { return (job.Items + job.Chunks - 1) / job.Chunks }

// listOpenJobs returns the open jobs. The list is cached and read again at an
// age of up to openJobsMaxAge.
func (r *Runner) listOpenJobs(ctx context.Context) ([]OpenJob, error) {
	now := time.Now()
	if !r.openJobsReadAt.IsZero() && now.Sub(r.openJobsReadAt) < jitter(openJobsMaxAge) {
		return r.openJobs, nil
	}
	openJobs, err := r.store.OpenJobs(ctx)
	if err != nil {
		return nil, err
	}
	r.openJobs, r.openJobsReadAt = openJobs, now
	r.leaseMonitor.prune(now)
	for key, until := range r.skipUntil {
		if now.After(until) {
			delete(r.skipUntil, key)
		}
	}
	return openJobs, nil
}

// claimFromJob leases a chunk of the job, or returns nil if none is claimable.
// It ends a job whose chunks are all done.
func (r *Runner) claimFromJob(ctx context.Context, job OpenJob) (*heldChunk, error) {
	numbers, done, err := r.claimableParts(ctx, job)
	if err != nil {
		return nil, err
	}
	if done {
		_, err := r.store.endIfDone(ctx, job.Account, job.ID)
		return nil, err
	}
	if len(numbers) == 0 {
		return nil, nil
	}
	number := numbers[rand.IntN(len(numbers))]
	part := r.partFor(job, number)
	granted, err := r.changePart(ctx, part, nil, 1)
	if err != nil || len(granted) == 0 {
		return nil, err
	}
	return granted[0], nil
}

// claimableParts lists the numbers of the parts with a claimable chunk, and
// reports whether all chunks of the job are done. A part without a row has
// never been leased and is claimable.
func (r *Runner) claimableParts(ctx context.Context, job OpenJob) (numbers []int, done bool, err error) {
	jobRow := Job{ID: job.ID, Account: job.Account, Chunks: job.Chunks}
	hasRow := make([]bool, jobRow.Parts())
	doneChunks := 0
	err = r.store.parts(ctx, jobRow, func(first int, part Part) error {
		number := first / PartChunks
		hasRow[number] = true
		change := PartChange{Holder: r.holder, Expired: r.expiryCheck(job)}
		hasClaimable := false
		for i, chunk := range part.Chunks {
			hasClaimable = claimable(first+i, chunk, change) || hasClaimable
			if chunk.State == ChunkDone {
				doneChunks++
			}
		}
		if hasClaimable {
			numbers = append(numbers, number)
		}
		return nil
	})
	for number, ok := range hasRow {
		if !ok {
			numbers = append(numbers, number)
		}
	}
	return numbers, doneChunks == job.Chunks, err
}

// expiryCheck returns the check whether the lease of a chunk of the job has
// expired.
func (r *Runner) expiryCheck(job OpenJob) func(int, Chunk) bool {
	return func(number int, chunk Chunk) bool {
		key := fmt.Sprintf("%s/%d", job.Key(), number)
		return r.leaseMonitor.expired(key, chunk, time.Now())
	}
}

// loadItems reads the items of a leased chunk and queues them.
func (r *Runner) loadItems(ctx context.Context, chunk *heldChunk) {
	job := chunk.part.job
	items, err := r.store.items(ctx, job.Account, job.File, chunk.grant.Chunk)
	if err != nil {
		bhlog.Problem(r.logger, "batch.load", err, "batch", job.ID, "chunk", chunk.grant.Chunk)
		r.releaseChunk(ctx, chunk, "segment could not be read")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append(r.queue, chunk.setItems(items)...)
	r.changed.Broadcast()
}
