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

// feed leases chunks so that enough items are ready.
func (r *Runner) feed(ctx context.Context) error {
	for {
		if !r.wait(ctx, r.wants) {
			return nil
		}
		chunk, err := r.claim(ctx)
		if err != nil {
			bhlog.Trace(r.logger, "batch.claim", "err", err)
		}
		if chunk == nil {
			bhtree.Sleep(ctx, jitter(idleInterval))
			continue
		}
		r.load(ctx, chunk)
	}
}

// wants reports whether another chunk should be leased.
func (r *Runner) wants() bool {
	return len(r.queue) < r.ready && r.held() < r.maxHeld
}

// held returns the number of chunks held.
func (r *Runner) held() int {
	held := 0
	for _, part := range r.parts {
		held += len(part.chunks)
	}
	return held
}

// claim leases one chunk of the job that should go next, or returns nil.
func (r *Runner) claim(ctx context.Context) (*chunkRun, error) {
	leads, err := r.openLeads(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	byKey := make(map[string]Lead, len(leads))
	jobs := make([]bhfair.Job, 0, len(leads))
	for _, lead := range leads {
		if !r.serves(lead.Model) {
			continue
		}
		byKey[lead.Key()] = lead
		jobs = append(jobs, bhfair.Job{
			ID: lead.Key(), Account: lead.Account, Created: lead.Created, Deadline: lead.Deadline,
		})
	}
	for _, job := range r.scheduler.Order(now, jobs) {
		if now.Before(r.dry[job.ID]) {
			continue
		}
		chunk, err := r.claimFrom(ctx, byKey[job.ID])
		if err != nil && !bhcode.Is(err, bhcode.BatchCancelled) {
			return nil, err
		}
		if chunk != nil {
			r.scheduler.Charge(job.Account, job.ID, float64(chunkItems(byKey[job.ID])))
			bhlog.Decision(r.logger, "batch.claim", job.ID, "next by deadline and share", len(jobs),
				"chunk", chunk.grant.Chunk, "fence", chunk.grant.Fence)
			return chunk, nil
		}
		r.dry[job.ID] = now.Add(jitter(dryInterval))
	}
	return nil, nil
}

// chunkItems is the mean number of items in a chunk of the job.
func chunkItems(lead Lead) int { return (lead.Items + lead.Chunks - 1) / lead.Chunks }

// openLeads returns the open jobs from a list that is read again when it is old.
func (r *Runner) openLeads(ctx context.Context) ([]Lead, error) {
	now := time.Now()
	if !r.leadsRead.IsZero() && now.Sub(r.leadsRead) < jitter(leadsAge) {
		return r.leads, nil
	}
	leads, err := r.store.Leads(ctx)
	if err != nil {
		return nil, err
	}
	r.leads, r.leadsRead = leads, now
	r.watch.sweep(now)
	for key, until := range r.dry {
		if now.After(until) {
			delete(r.dry, key)
		}
	}
	return leads, nil
}

// claimFrom leases a chunk of the job, or returns nil if it has none open. A
// job whose chunks are all done is ended.
func (r *Runner) claimFrom(ctx context.Context, lead Lead) (*chunkRun, error) {
	candidates, done, err := r.candidates(ctx, lead)
	if err != nil {
		return nil, err
	}
	if done {
		_, err := r.store.finish(ctx, lead.Account, lead.ID)
		return nil, err
	}
	if len(candidates) == 0 {
		return nil, nil
	}
	number := candidates[rand.IntN(len(candidates))]
	part := r.join(lead, number)
	granted, err := r.change(ctx, part, nil, 1)
	if err != nil || len(granted) == 0 {
		return nil, err
	}
	return granted[0], nil
}

// candidates lists the parts of the job with a chunk to lease, and reports
// whether all chunks are done.
func (r *Runner) candidates(ctx context.Context, lead Lead) (numbers []int, done bool, err error) {
	job := Job{ID: lead.ID, Account: lead.Account, Chunks: lead.Chunks}
	seen := make([]bool, job.Parts())
	finished := 0
	err = r.store.parts(ctx, job, func(first int, part Part) error {
		number := first / PartChunks
		seen[number] = true
		change := Change{Holder: r.holder, Lapsed: r.lapsed(lead)}
		open := false
		for i, chunk := range part.Chunks {
			open = claimable(first+i, chunk, change) || open
			if chunk.State == ChunkDone {
				finished++
			}
		}
		if open {
			numbers = append(numbers, number)
		}
		return nil
	})
	for number, ok := range seen {
		if !ok {
			numbers = append(numbers, number)
		}
	}
	return numbers, finished == lead.Chunks, err
}

func (r *Runner) lapsed(lead Lead) func(int, Chunk) bool {
	return func(number int, chunk Chunk) bool {
		key := fmt.Sprintf("%s/%d", lead.Key(), number)
		return r.watch.lapsed(key, chunk, time.Now())
	}
}

// load reads the items of a leased chunk and makes them ready.
func (r *Runner) load(ctx context.Context, chunk *chunkRun) {
	lead := chunk.part.lead
	items, err := r.store.items(ctx, lead.Account, lead.File, chunk.grant.Chunk)
	if err != nil {
		bhlog.Problem(r.logger, "batch.load", err, "batch", lead.ID, "chunk", chunk.grant.Chunk)
		r.giveBack(ctx, chunk, "segment unreadable")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append(r.queue, chunk.load(items)...)
	r.changed.Broadcast()
}
