package bhjob

import (
	"context"
	"math/rand/v2"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// refreshJob reads the job's record again, unless the list was just read. It
// returns nil if the job isn't open any more. A claim that starts from an old
// record mostly conflicts, which takes as much of the partition's time as a claim;
// a read takes none.
func (r *Runner) refreshJob(ctx context.Context, job *Job) (*Job, error) {
	r.mu.Lock()
	age := r.config.Clock.Now() - r.jobs[partition(job.Account)].readAt
	r.mu.Unlock()
	if age < listValidity {
		return job, nil
	}
	current, err := r.config.Jobs.OpenJob(ctx, job.Account, job.ID)
	if err != nil {
		return nil, err
	}
	r.replaceJob(job, current)
	return current, nil
}

// claimableCount returns the number of items that may be claimed now.
func (r *Runner) claimableCount() int {
	instance, ok := r.engineInstance()
	if !ok || r.takesNone(instance) || !r.fresh() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return 0
	}
	idle := 0
	for _, run := range r.runs {
		if run.phase == paused {
			idle++
		}
	}
	return max(0, r.freeSlots-idle)
}

// chooseJob returns one of the most urgent jobs that have items to claim, and a
// request that claims the most urgent of these. The job is nil if there is none.
func (r *Runner) chooseJob() (*Job, ClaimRequest) {
	request := ClaimRequest{Holder: r.config.Holder, Lost: r.claimLost, Held: r.claimHeld}
	view := r.config.Policies.View()
	instance, ok := r.engineInstance()
	if !ok {
		return nil, request
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.storeNow()
	var eligible []*Job
	for _, list := range r.jobs {
		if !r.recent(list.readAt) {
			continue
		}
		for _, job := range list.jobs {
			if runsAt(view.Index, job, instance.Service) {
				eligible = append(eligible, job)
			}
		}
	}
	ranked := r.runTimes.rankJobs(eligible, now, &request)
	if len(ranked) == 0 {
		return nil, request
	}
	// Each engine of the service may claim at the same time.
	shared := shareJobs(ranked, maxItemsPerClaim*len(view.Available(instance.Service)))
	job := shared[rand.IntN(len(shared))].job
	request.Lost, request.Held = locked(r, r.claimLost), locked(r, r.claimHeld)
	estimate := r.runTimes
	request.Compare = estimate.compareItems(job.Due, now)
	return job, request
}

// claimLost reports whether no runner runs a claimed item: its holder is dead,
// or the holder is this runner but has no run of the item, for example because
// the reply to the claim was lost. The caller holds r.mu.
func (r *Runner) claimLost(job *Job, state *ItemState) bool {
	if state.Holder == r.config.Holder {
		return r.runs[refOf(job, state.ID)] == nil
	}
	return r.heartbeats.dead(state.Holder)
}

// claimHeld reports whether this runner may not claim the item yet: engines ended under
// it, it couldn't be loaded, or an earlier run of it here hasn't ended. Until that run ends,
// its writes may be repeated, which would take the new claim for their own. The caller holds r.mu.
func (r *Runner) claimHeld(job *Job, state *ItemState) bool {
	ref := refOf(job, state.ID)
	return r.runs[ref] != nil || r.isHeld(ref) || r.isUnloadable(job, ref)
}

// locked returns the function for callers that don't hold r.mu.
func locked(r *Runner, decide func(job *Job, state *ItemState) bool) func(job *Job, state *ItemState) bool {
	return func(job *Job, state *ItemState) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return decide(job, state)
	}
}

// runsAt reports whether instances of the service may claim items of the job:
// its route leads to the service, or no longer exists. In the latter case any
// runner claims the items and gives them up.
func runsAt(index *bhpolicy.Index, job *Job, service string) bool {
	if index == nil {
		return false
	}
	route := index.RouteNamed(job.Route)
	return route == nil || route.Serves(service)
}
