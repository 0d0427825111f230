package bhjob

import (
	"time"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// engineInstance returns the instance of the runner's engine, or false if the
// fleet doesn't list it.
func (r *Runner) engineInstance() (bhwatch.Instance, bool) {
	view := r.config.Policies.View()
	return view.At(r.config.Address())
}

// fresh reports whether the policy is recent enough for starting items.
func (r *Runner) fresh() bool {
	return r.config.Clock.Now()-r.config.Policies.View().ProvenAt < r.config.StaleAfter()
}

// recent reports whether jobs that were read at readAt may start items.
func (r *Runner) recent(readAt time.Duration) bool {
	return readAt > 0 && r.config.Clock.Now()-readAt < r.config.StaleAfter()
}

// startable reports whether the list that has the job is recent enough for
// starting an item of it. The caller holds r.mu.
func (r *Runner) startable(job *Job) bool {
	list := r.jobs[partition(job.Account)]
	return list != nil && r.recent(list.readAt)
}

// storeNow returns the reading of the store's clock, or a later one if the last read of it
// was slow. The caller holds r.mu.
func (r *Runner) storeNow() time.Duration { return r.config.Clock.Now() + r.clockOffset }

// expired reports whether items of the job aren't sent any more. The next read of the jobs
// gives them up. The caller holds r.mu.
func (r *Runner) expired(job *Job) bool { return r.storeNow() > r.expires(job) }

// expires returns when items of the job may be given up, by the store's clock. The gateway that
// took the job may have had an older policy than the present one: the later time holds.
func (r *Runner) expires(job *Job) time.Duration {
	if route := r.routeOf(job); route != nil {
		return max(job.Expires, job.Accepted+route.Retention)
	}
	return job.Expires
}

// attempts returns the number of failures after which an item of the job is given up: the larger
// one of its record and the present policy.
func (r *Runner) attempts(job *Job) int {
	if route := r.routeOf(job); route != nil {
		return max(job.Attempts, route.MaxAttempts)
	}
	return job.Attempts
}

// routeOf returns the route that took the job, or nil if the present policy doesn't have it.
func (r *Runner) routeOf(job *Job) *bhpolicy.Route {
	view := r.config.Policies.View()
	if view.Index == nil {
		return nil
	}
	return view.Index.RouteNamed(job.Route)
}
