package bhqueue

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// newLiveRequest returns the request for an entry and charges its estimated work
// to the account's virtual time (start-time fair queueing).
func (q *Queue[K]) newLiveRequest(a *account[K], entry Entry[K], now time.Time) *liveRequest[K] {
	expiresAt := now.Add(q.config.MaxWait)
	if !entry.Deadline.IsZero() && entry.Deadline.Before(expiresAt) {
		expiresAt = entry.Deadline
	}
	work := max(entry.Work, 1)
	virtualStart := max(q.virtualTime, a.virtualFinish)
	a.virtualFinish = virtualStart + float64(work)/a.weight
	q.lastArrivalSeq++
	return &liveRequest[K]{
		id: entry.ID, account: a, work: work, suspect: entry.Suspect,
		virtualStart: virtualStart, arrivalSeq: q.lastArrivalSeq, arrivedAt: now, expiresAt: expiresAt,
	}
}

func (q *Queue[K]) enqueue(now time.Time, req *liveRequest[K]) {
	req.account.updateAverages(now)
	req.queued = true
	q.requests[req.id] = req
	req.account.queue = append(req.account.queue, req)
	q.queued++
}

// discardQueued removes a queued request that won't run and refunds its virtual
// time to the account and the account's later requests.
func (q *Queue[K]) discardQueued(req *liveRequest[K]) {
	q.removeFromQueue(req)
	delete(q.requests, req.id)
	refund := float64(req.work) / req.account.weight
	req.account.virtualFinish -= refund
	for _, later := range req.account.queue {
		if later.arrivalSeq > req.arrivalSeq {
			later.virtualStart -= refund
		}
	}
}

// removeFromQueue removes a request from its account's queue only. The account
// keeps the charge for the request's work.
func (q *Queue[K]) removeFromQueue(req *liveRequest[K]) {
	a := req.account
	a.queue = slices.DeleteFunc(a.queue, func(queued *liveRequest[K]) bool { return queued == req })
	req.queued = false
	q.queued--
}

// release frees the slot of a running request.
func (q *Queue[K]) release(now time.Time, req *liveRequest[K]) {
	req.account.updateAverages(now)
	req.account.running--
	req.account.lastActive = now
	q.running--
	delete(q.requests, req.id)
	if q.runningSuspect == req {
		q.runningSuspect = nil
	}
}

// dispatch starts queued requests while slots are free of live requests, and
// preempts the batch requests in their slots.
func (q *Queue[K]) dispatch(now time.Time, update *Update[K]) {
	for q.running < q.config.Slots {
		req := q.nextToRun(now)
		if req == nil {
			break
		}
		q.start(now, req)
		update.Start = append(update.Start, req.id)
	}
	q.preemptBatch(update)
}

// start moves a queued request to a slot and advances the virtual time to its
// start tag.
func (q *Queue[K]) start(now time.Time, req *liveRequest[K]) {
	req.account.updateAverages(now)
	q.removeFromQueue(req)
	req.account.running++
	req.account.lastActive = now
	req.startedAt = now
	q.running++
	q.virtualTime = max(q.virtualTime, req.virtualStart)
	if req.suspect {
		q.runningSuspect = req
	}
}

// nextToRun returns the queued request to start next, or nil if none may start.
func (q *Queue[K]) nextToRun(now time.Time) *liveRequest[K] {
	var best *liveRequest[K]
	for _, a := range q.accountList {
		candidate := q.firstEligible(a)
		if candidate == nil {
			continue
		}
		if q.throttled(now, a) {
			continue
		}
		if best == nil || q.runsBefore(candidate, best) {
			best = candidate
		}
	}
	return best
}

// firstEligible returns the account's first queued request that may start, or
// nil. A suspect may not start while another suspect runs.
func (q *Queue[K]) firstEligible(a *account[K]) *liveRequest[K] {
	for _, req := range a.queue {
		if !req.suspect || q.runningSuspect == nil {
			return req
		}
	}
	return nil
}

// runsBefore reports whether the policy orders a before b.
func (q *Queue[K]) runsBefore(a, b *liveRequest[K]) bool {
	if q.config.Policy == Fair && a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.arrivalSeq < b.arrivalSeq
}

// preemptBatch preempts the batch requests that started last until the live and
// batch requests fit into the slots.
func (q *Queue[K]) preemptBatch(update *Update[K]) {
	available := max(q.config.Slots-q.running, 0)
	for len(q.batchIDs) > available {
		last := len(q.batchIDs) - 1
		update.Preempt = append(update.Preempt, q.batchIDs[last])
		q.batchIDs = q.batchIDs[:last]
	}
}

// enforceLimits refuses a request that was just queued if its account has too
// many queued requests or if it is not expected to start before it expires. If
// the whole queue is too long, it refuses the request that selectForRefusal
// returns, which may be another one.
func (q *Queue[K]) enforceLimits(now time.Time, req *liveRequest[K], update *Update[K]) {
	a := req.account
	switch wait := q.estimateWait(now, req); {
	case len(a.queue) > q.config.MaxQueuedPerAccount:
		q.refuse(req, update, "queue of the account is full")
	case now.Add(wait).After(req.expiresAt):
		q.refuse(req, update, "wait would be too long")
	case q.queued > q.config.MaxQueued:
		q.refuse(q.selectForRefusal(req), update, "queue is full")
	}
}

// refuse discards a queued request with Overloaded and an estimated
// Retry-After.
func (q *Queue[K]) refuse(req *liveRequest[K], update *Update[K], reason string) {
	retryAfter := q.retryAfter(req.account)
	q.discardQueued(req)
	update.refuse(req.id, bhcode.New(bhcode.Overloaded, "%s", reason).WithRetryAfter(retryAfter))
}

// selectForRefusal returns the request to refuse when the queue is full: under
// Fair the one with the latest start tag, which is the newest of the account
// whose queued work exceeds its share the most; under FIFO the newcomer.
func (q *Queue[K]) selectForRefusal(newcomer *liveRequest[K]) *liveRequest[K] {
	if q.config.Policy == FIFO {
		return newcomer
	}
	selected := newcomer
	for _, a := range q.accountList {
		if queued := len(a.queue); queued > 0 && a.queue[queued-1].virtualStart > selected.virtualStart {
			selected = a.queue[queued-1]
		}
	}
	return selected
}
