package bhjob

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
)

const (
	// explainAfter is how long after its acceptance an item without a result is explained in the
	// log, and explainInterval the time between two lines of the same runner about it.
	explainAfter    = 10 * time.Second
	explainInterval = 10 * time.Second
	// maxExplained bounds the lines about one partition's items for each read of it.
	maxExplained = 4
)

// lastRun is how the last run of an item here ended.
type lastRun struct {
	end string
	at  time.Time
}

// seenClaim is a claim of an item, and when this runner first saw it.
type seenClaim struct {
	holder string
	since  time.Time
}

// noteClaims remembers since when the items of the jobs have been claimed. The caller holds r.mu.
func (r *Runner) noteClaims(jobs []*Job) {
	for _, job := range jobs {
		for i := range job.Items {
			state := &job.Items[i]
			ref := refOf(job, state.ID)
			switch {
			case state.Status != Claimed:
				delete(r.seenClaims, ref)
			case r.seenClaims[ref].holder != state.Holder:
				r.seenClaims[ref] = seenClaim{holder: state.Holder, since: time.Now()}
			}
		}
	}
}

// note remembers how a run of the item ended. The caller holds r.mu.
func (r *Runner) note(item itemRef, end string) {
	if len(r.lastRuns) < maxHeldItems {
		r.lastRuns[item] = lastRun{end: end, at: time.Now()}
	}
}

// explainWaiting logs why items of the jobs have no result though they were accepted a while
// ago, the oldest first. Now is a reading of the store's clock. The caller holds r.mu.
func (r *Runner) explainWaiting(jobs []*Job, now time.Duration) {
	oldest := slices.SortedFunc(slices.Values(jobs), func(a, b *Job) int { return cmp.Compare(a.Accepted, b.Accepted) })
	count := 0
	for _, job := range oldest {
		if now < job.Accepted+explainAfter {
			return
		}
		for i := range job.Items {
			state := &job.Items[i]
			ref := refOf(job, state.ID)
			if !state.Unfinished() || time.Since(r.explained[ref]) < explainInterval {
				continue
			}
			if count++; count > maxExplained {
				return
			}
			r.explained[ref] = time.Now()
			last := r.lastRuns[ref]
			pairs := []any{"item", state.ID, "job", job.ID, "account", job.Account, "age", now - job.Accepted, "due", job.Due - now,
				"holder", state.Holder, "failures", state.Failures, "reason", r.whyWaiting(job, state)}
			if last.end != "" {
				pairs = append(pairs, "last", last.end, "ended", time.Since(last.at))
			}
			if state.Status == Claimed {
				pairs = append(pairs, "claimed", time.Since(r.seenClaims[ref].since))
			}
			if state.Status == Claimed && state.Holder != r.config.Holder {
				pairs = append(pairs, "heartbeat", r.heartbeats.age(state.Holder))
			}
			if err := r.withheld(ref); err != nil {
				pairs = append(pairs, "withheld", bhcode.From(err).RetryAfter)
			}
			bhlog.Event(r.config.Logger, "item.waiting", pairs...)
		}
	}
}

// whyWaiting returns why the item has no run here. The caller holds r.mu.
func (r *Runner) whyWaiting(job *Job, state *ItemState) string {
	ref := refOf(job, state.ID)
	instance, listed := r.engineInstance()
	view := r.config.Policies.View()
	run := r.runs[ref]
	switch {
	case run != nil:
		return run.phase.String() + " here"
	case state.Status == Claimed && !r.claimLost(job, state):
		return "claimed by another runner"
	case r.closed:
		return "the runner is stopping"
	case !r.fresh():
		return "the policy is too old"
	case !listed:
		return "the engine is not listed"
	case !runsAt(view.Index, job, instance.Service):
		return "its route does not lead to the engine"
	case r.takesNone(instance):
		return "the engine is leaving"
	case r.isHeld(ref):
		return "engines ended under it"
	case r.isUnloadable(job, ref):
		return "it could not be loaded"
	case !r.config.Limits.Look(bhcap.RunnersEngine, time.Now()).Granted:
		return "the engine's limit is reached"
	case r.freeSlots == 0:
		return "the engine has no free slot"
	}
	return "others are more urgent"
}

// forgetFinished forgets what is known of items of the partition's jobs that aren't open any
// more. The caller holds r.mu.
func (r *Runner) forgetFinished(part string, open map[string]*Job) {
	finished := func(item itemRef) bool {
		return partition(item.account) == part && open[jobName(item.account, item.job)] == nil
	}
	for item := range r.lastRuns {
		if finished(item) {
			delete(r.lastRuns, item)
		}
	}
	for item := range r.seenClaims {
		if finished(item) {
			delete(r.seenClaims, item)
		}
	}
	for item := range r.unloadable {
		if finished(item) {
			delete(r.unloadable, item)
		}
	}
	for item := range r.explained {
		if finished(item) {
			delete(r.explained, item)
		}
	}
}
