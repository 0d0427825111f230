package bhqueue

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// rateSmoothing is the weight of the latest request in the average rate of a
	// slot.
	rateSmoothing = 0.05
)

// slotRate is the average rate at which one slot processes work.
type slotRate struct {
	// tokensPerSecond is an exponential average; zero means unknown.
	tokensPerSecond float64
}

// record adds a request that did the given work in tokens within duration.
func (r *slotRate) record(work int64, duration time.Duration) {
	if duration <= 0 {
		return
	}
	observed := float64(work) / duration.Seconds()
	if r.tokensPerSecond == 0 {
		r.tokensPerSecond = observed
		return
	}
	r.tokensPerSecond += rateSmoothing * (observed - r.tokensPerSecond)
}

// processingTime returns how long the given number of slots needs for work in
// tokens, or zero if the rate is unknown.
func (r *slotRate) processingTime(work int64, slots float64) time.Duration {
	if r.tokensPerSecond == 0 || slots <= 0 {
		return 0
	}
	return time.Duration(float64(work) / (r.tokensPerSecond * slots) * float64(time.Second))
}

// estimateWait estimates how long a queued request will wait: the time to
// process the queued work that runs before it. The work of other accounts that
// are throttled is not counted.
func (q *Queue[K]) estimateWait(now time.Time, req *liveRequest[K]) time.Duration {
	var ahead int64
	for _, a := range q.accountList {
		if a != req.account && len(a.queue) > 0 && q.throttled(now, a) {
			continue
		}
		for _, competitor := range a.queue {
			if competitor != req && q.runsBefore(competitor, req) {
				ahead += competitor.work
			}
		}
	}
	return q.slotRate.processingTime(ahead, float64(q.config.Slots))
}

// retryAfter estimates when a further request of the account will be admitted:
// the time in which the account's share of the slots processes its queued work.
// The share is the account's weight among the accounts with requests.
func (q *Queue[K]) retryAfter(a *account[K]) time.Duration {
	var queuedWork int64
	for _, req := range a.queue {
		queuedWork += req.work
	}
	activeWeight := 0.0
	for _, other := range q.accountList {
		if len(other.queue) > 0 || other.running > 0 {
			activeWeight += other.weight
		}
	}
	share := 1.0
	if activeWeight > 0 {
		share = min(a.weight/activeWeight, 1)
	}
	wait := q.slotRate.processingTime(queuedWork, share*float64(q.config.Slots))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
