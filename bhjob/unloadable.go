package bhjob

import "time"

const (
	// minLoadBackoff is how long an item isn't claimed here after it couldn't be loaded. It doubles
	// with each failure in a row, up to maxLoadBackoff.
	minLoadBackoff = 500 * time.Millisecond
	maxLoadBackoff = 8 * time.Second
)

// loadFailure tells that an item couldn't be loaded at the last claims.
type loadFailure struct {
	count int
	until time.Time
}

// countLoadFailure keeps the item from being claimed here for a while, so that others are. The
// caller holds r.mu.
func (r *Runner) countLoadFailure(item itemRef) {
	if _, known := r.unloadable[item]; !known && len(r.unloadable) >= maxHeldItems {
		return
	}
	failure := r.unloadable[item]
	backoff := min(maxLoadBackoff, minLoadBackoff<<min(failure.count, 8))
	r.unloadable[item] = loadFailure{count: failure.count + 1, until: time.Now().Add(backoff)}
}

// isUnloadable reports whether the item may not be claimed yet, since it couldn't be loaded. One
// that may be given up is claimed for that. The caller holds r.mu.
func (r *Runner) isUnloadable(job *Job, item itemRef) bool {
	failure, ok := r.unloadable[item]
	return ok && time.Now().Before(failure.until) && !r.expired(job)
}

// returnUnloaded returns the claim of an item that couldn't be loaded, so that others can be
// claimed, or gives the item up if its time is over.
func (r *Runner) returnUnloaded(job *Job, id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &itemRun{runner: r, job: job, item: Item{ID: id}, claimedAt: r.config.Clock.Now(), phase: paused, pausedAt: time.Now()}
	if state := job.item(id); state != nil {
		run.item.Tokens = state.Tokens
	}
	r.runs[run.ref()] = run
	if r.expired(job) {
		run.expire(r.storeNow())
		return
	}
	r.countLoadFailure(run.ref())
	run.release("loading it failed: " + err.Error())
}
