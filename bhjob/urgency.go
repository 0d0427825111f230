package bhjob

import (
	"cmp"
	"slices"
	"time"
)

// sortByUrgency sorts jobs by when they are due. Jobs that can no longer finish
// in time come last, since they are worth less and would make other jobs late
// as well.
func sortByUrgency(jobs []*Job, now time.Duration) {
	late := func(job *Job) int {
		if job.Due < now+estimatedRunTime {
			return 1
		}
		return 0
	}
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.Due, b.Due), cmp.Compare(a.ID, b.ID))
	})
}
