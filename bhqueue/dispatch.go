package bhqueue

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

func (q *Queue[K]) newItem(a *account[K], entry Entry[K], now time.Time) *item[K] {
	expires := now.Add(q.config.Wait)
	if !entry.Deadline.IsZero() && entry.Deadline.Before(expires) {
		expires = entry.Deadline
	}
	work := max(entry.Work, 1)
	start := max(q.virtual, a.finish)
	a.finish = start + float64(work)/a.weight
	q.arrival++
	return &item[K]{
		id: entry.ID, account: a, work: work, alone: entry.Alone,
		start: start, arrival: q.arrival, arrived: now, expires: expires,
	}
}

func (q *Queue[K]) enqueue(now time.Time, it *item[K]) {
	it.account.advance(now)
	it.queued = true
	q.items[it.id] = it
	it.account.queue = append(it.account.queue, it)
	q.queued++
}

// dequeue removes a queued item that won't run and gives its account the
// virtual time back.
func (q *Queue[K]) dequeue(it *item[K]) {
	q.unqueue(it)
	delete(q.items, it.id)
	back := float64(it.work) / it.account.weight
	it.account.finish -= back
	for _, later := range it.account.queue {
		if later.arrival > it.arrival {
			later.start -= back
		}
	}
}

func (q *Queue[K]) unqueue(it *item[K]) {
	a := it.account
	a.queue = slices.DeleteFunc(a.queue, func(other *item[K]) bool { return other == it })
	it.queued = false
	q.queued--
}

// release frees the slot of a running item.
func (q *Queue[K]) release(now time.Time, it *item[K]) {
	it.account.advance(now)
	it.account.running--
	it.account.seen = now
	q.running--
	delete(q.items, it.id)
	if q.solo == it {
		q.solo = nil
	}
}

// dispatch starts queued items while there is room.
func (q *Queue[K]) dispatch(now time.Time, update *Update[K]) {
	for q.running < q.config.Slots {
		it := q.first(now)
		if it == nil {
			break
		}
		q.start(now, it)
		update.Start = append(update.Start, it.id)
	}
	q.preempt(update)
}

func (q *Queue[K]) start(now time.Time, it *item[K]) {
	it.account.advance(now)
	q.unqueue(it)
	it.account.running++
	it.account.seen = now
	it.started = now
	q.running++
	q.virtual = max(q.virtual, it.start)
	if it.alone {
		q.solo = it
	}
}

// first returns the queued item whose turn it is, or nil if none may run.
func (q *Queue[K]) first(now time.Time) *item[K] {
	var best *item[K]
	for _, a := range q.order {
		head := q.head(a)
		if head == nil {
			continue
		}
		if q.restrained(now, a) {
			continue
		}
		if best == nil || q.before(head, best) {
			best = head
		}
	}
	return best
}

// head returns the account's first queued item that may run beside what runs.
func (q *Queue[K]) head(a *account[K]) *item[K] {
	for _, it := range a.queue {
		if !it.alone || q.solo == nil {
			return it
		}
	}
	return nil
}

func (q *Queue[K]) before(a, b *item[K]) bool {
	if q.config.Policy == Fair && a.start != b.start {
		return a.start < b.start
	}
	return a.arrival < b.arrival
}

// preempt stops the batch requests that started last until live ones fit.
func (q *Queue[K]) preempt(update *Update[K]) {
	room := max(q.config.Slots-q.running, 0)
	for len(q.batch) > room {
		last := len(q.batch) - 1
		update.Preempt = append(update.Preempt, q.batch[last])
		q.batch = q.batch[:last]
	}
}

// limit refuses the queued newcomer, or another item in its place, if the queue
// is over a bound or the newcomer can't start in time.
func (q *Queue[K]) limit(now time.Time, it *item[K], update *Update[K]) {
	a := it.account
	switch wait := q.estimate(now, it); {
	case len(a.queue) > q.config.AccountQueued:
		q.refuse(it, update, "queue of the account is full")
	case now.Add(wait).After(it.expires):
		q.refuse(it, update, "wait would be too long")
	case q.queued > q.config.Queued:
		q.refuse(q.last(it), update, "queue is full")
	}
}

func (q *Queue[K]) refuse(it *item[K], update *Update[K], reason string) {
	retry := q.retry(it.account)
	q.dequeue(it)
	update.refuse(it.id, bhcode.New(bhcode.Overloaded, "%s", reason).WithRetryAfter(retry))
}

// last returns the item to refuse when the queue is full: the newest of the
// account whose queued work goes furthest beyond its share.
func (q *Queue[K]) last(newcomer *item[K]) *item[K] {
	if q.config.Policy == FIFO {
		return newcomer
	}
	last := newcomer
	for _, a := range q.order {
		if n := len(a.queue); n > 0 && a.queue[n-1].start > last.start {
			last = a.queue[n-1]
		}
	}
	return last
}
