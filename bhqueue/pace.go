package bhqueue

import "time"

// Bounds of the advised wait.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
	// paceSmoothing is the weight of the latest request in the average.
	paceSmoothing = 0.05
)

// pace is the average speed of one slot.
type pace struct {
	// rate is in tokens of estimated work per second; zero means unknown.
	rate float64
}

func (p *pace) record(work int64, took time.Duration) {
	if took <= 0 {
		return
	}
	rate := float64(work) / took.Seconds()
	if p.rate == 0 {
		p.rate = rate
		return
	}
	p.rate += paceSmoothing * (rate - p.rate)
}

// span returns how long the slots need for the work, zero if unknown.
func (p *pace) span(work int64, slots float64) time.Duration {
	if p.rate == 0 || slots <= 0 {
		return 0
	}
	return time.Duration(float64(work) / (p.rate * slots) * float64(time.Second))
}

// estimate returns how long a queued item will wait: until the work that is
// ordered before it has been started. Accounts that are restrained don't go
// before others.
func (q *Queue[K]) estimate(now time.Time, it *item[K]) time.Duration {
	var ahead int64
	for _, a := range q.order {
		if a != it.account && len(a.queue) > 0 && q.restrained(now, a) {
			continue
		}
		for _, other := range a.queue {
			if other != it && q.before(other, it) {
				ahead += other.work
			}
		}
	}
	return q.pace.span(ahead, float64(q.config.Slots))
}

// retry returns when a request of the account is likely to be admitted: when
// the account's share of the slots has drained what it has queued.
func (q *Queue[K]) retry(a *account[K]) time.Duration {
	var own int64
	for _, it := range a.queue {
		own += it.work
	}
	weights := 0.0
	for _, other := range q.order {
		if len(other.queue) > 0 || other.running > 0 {
			weights += other.weight
		}
	}
	share := 1.0
	if weights > 0 {
		share = min(a.weight/weights, 1)
	}
	wait := q.pace.span(own, share*float64(q.config.Slots))
	return min(max(wait, minRetry), maxRetry)
}
