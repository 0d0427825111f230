package bhjob

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// estimatedRunTime is the assumed run time of an item of average size until
	// items have completed at this engine.
	estimatedRunTime = 5 * time.Second
	// runTimeWeight is the weight of the newest completed item in the averages.
	runTimeWeight = 0.2
)

// runTimes estimates how long items run at this engine. Run times are in
// proportion to sizes in tokens.
type runTimes struct {
	// perToken is the average run time per token of completed items; zero if none
	// has completed.
	perToken time.Duration
	// eventsPerToken is the average number of events per token of size.
	eventsPerToken float64
	// meanTokens is the mean size of the open items. It scales estimatedRunTime.
	meanTokens float64
}

// observe adds an item of the size in tokens that produced the events in the run
// time. Items that were partly produced elsewhere must not be added.
func (t *runTimes) observe(tokens int64, events int, runTime time.Duration) {
	if tokens <= 0 || events <= 0 || runTime <= 0 {
		return
	}
	perToken, eventsPerToken := runTime/time.Duration(tokens), float64(events)/float64(tokens)
	if t.perToken == 0 {
		t.perToken, t.eventsPerToken = perToken, eventsPerToken
		return
	}
	t.perToken += time.Duration(runTimeWeight * float64(perToken-t.perToken))
	t.eventsPerToken += runTimeWeight * (eventsPerToken - t.eventsPerToken)
}

// setOpen sets the mean size from the open items of the jobs.
func (t *runTimes) setOpen(jobs []*Job) {
	sum, count := int64(0), 0
	for _, job := range jobs {
		for i := range job.Items {
			sum += job.Items[i].Tokens
			count++
		}
	}
	if count > 0 {
		t.meanTokens = float64(sum) / float64(count)
	}
}

// remaining estimates how long an item of the size still runs that has produced
// the events.
func (t *runTimes) remaining(tokens int64, events int) time.Duration {
	if t.perToken == 0 {
		if t.meanTokens <= 0 {
			return estimatedRunTime
		}
		return time.Duration(float64(estimatedRunTime) * float64(tokens) / t.meanTokens)
	}
	whole := float64(t.perToken) * float64(tokens)
	if expected := t.eventsPerToken * float64(tokens); expected > 0 {
		whole *= max(0, 1-float64(events)/expected)
	}
	return time.Duration(whole)
}

// urgency orders work on items.
type urgency struct {
	// late items can no longer finish in time. They come last, since they are worth
	// less and would make other items late as well.
	late bool
	// slack is the time that an item can still wait and be done in time.
	slack time.Duration
}

// newUrgency returns the urgency at now of an item that is due and still runs for
// the remaining time. Both times are of the store's clock.
func newUrgency(due, now, remaining time.Duration) urgency {
	slack := due - now - remaining
	return urgency{late: slack < 0, slack: slack}
}

// compare orders the more urgent first.
func (u urgency) compare(other urgency) int {
	if u.late != other.late {
		if u.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(u.slack, other.slack)
}

// rankedJob is a job with the urgency of the most urgent item to claim.
type rankedJob struct {
	job       *Job
	urgency   urgency
	claimable int
}

// rankJobs returns the jobs that have items to claim, the most urgent first.
func (t *runTimes) rankJobs(jobs []*Job, now time.Duration, request *ClaimRequest) []rankedJob {
	var ranked []rankedJob
	for _, job := range jobs {
		items := request.claimable(job)
		if job.Done() || len(items) == 0 {
			continue
		}
		rank := rankedJob{job: job, claimable: len(items), urgency: newUrgency(job.Due, now, t.remaining(items[0].Tokens, 0))}
		for _, item := range items[1:] {
			if u := newUrgency(job.Due, now, t.remaining(item.Tokens, 0)); u.compare(rank.urgency) < 0 {
				rank.urgency = u
			}
		}
		ranked = append(ranked, rank)
	}
	slices.SortFunc(ranked, func(a, b rankedJob) int {
		return cmp.Or(a.urgency.compare(b.urgency), cmp.Compare(a.job.ID, b.job.ID))
	})
	return ranked
}

// shareJobs returns the most urgent of the ranked jobs that together have at
// least the number of items to claim, so that the runners, which choose among
// them at random, don't all claim from the same record.
func shareJobs(ranked []rankedJob, items int) []rankedJob {
	sum := 0
	for i, rank := range ranked {
		if sum += rank.claimable; sum >= items {
			return ranked[:i+1]
		}
	}
	return ranked
}

// compareItems orders the items of a job that is due, the more urgent first.
func (t *runTimes) compareItems(due, now time.Duration) func(a, b *ItemState) int {
	return func(a, b *ItemState) int {
		return newUrgency(due, now, t.remaining(a.Tokens, 0)).compare(newUrgency(due, now, t.remaining(b.Tokens, 0)))
	}
}

// eventCount returns the number of events whose data the text holds. Events
// without line feeds in their data count once.
func eventCount(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, "\n") + 1
}
