// Package bhqueue decides which requests run on one upstream: it shares the
// slots among client accounts by the work of their live requests and gives batch
// requests the slots that live requests leave free. The sidecar calls it and
// carries out the decisions that each call returns; the package starts no
// goroutine and does no I/O.
package bhqueue

import (
	"slices"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Defaults of the bounds in Config.
const (
	DefaultMaxQueued           = 128
	DefaultMaxQueuedPerAccount = 32
	DefaultMaxWait             = 5 * time.Second
)

// throttleRecheckInterval is the time after which a queue with free slots checks
// throttled accounts again.
const throttleRecheckInterval = 250 * time.Millisecond

// Policy decides the order of queued live requests.
type Policy string

const (
	// Fair orders requests by start-time fair queueing across accounts: each
	// account gets slots for work in proportion to its weight.
	Fair Policy = "fair"
	// FIFO orders requests by arrival and ignores accounts. It serves as the
	// baseline of comparisons.
	FIFO Policy = "fifo"
)

// Config configures a Queue.
type Config struct {
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// MaxQueued is the maximum number of queued live requests; zero means
	// DefaultMaxQueued.
	MaxQueued int
	// MaxQueuedPerAccount is the maximum number of queued live requests of one
	// account; zero means DefaultMaxQueuedPerAccount.
	MaxQueuedPerAccount int
	// MaxWait is the maximum time in the queue; zero means DefaultMaxWait.
	MaxWait time.Duration
	// Weight returns the weight of an account, at least 0; nil means weight 1 for
	// each account.
	Weight func(account string) float64
	// Policy orders the queued requests; empty means Fair.
	Policy Policy
}

// Entry describes a live request to admit.
type Entry[K comparable] struct {
	// ID identifies the request in updates and later calls.
	ID K
	// Account is the name of the client account; empty on open routes.
	Account string
	// Work is the estimated work in tokens; values below 1 count as 1.
	Work int64
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
	// Suspect marks a request that is suspected of crashing upstreams. At most one
	// such request runs at a time; other requests may run beside it.
	Suspect bool
}

// Refusal reports that a request won't run.
type Refusal[K comparable] struct {
	// ID is the ID of the request's Entry.
	ID K
	// Err is the error to answer with. It carries a Retry-After unless the ID was
	// already in use.
	Err *bhcode.Error
}

// Update lists what the caller must do after a call. The zero value means
// nothing.
type Update[K comparable] struct {
	// Start lists the IDs of live requests to start. They hold a slot from now
	// on.
	Start []K
	// Refuse lists live requests that were refused. They did not run.
	Refuse []Refusal[K]
	// Preempt lists the IDs of batch requests to stop at once. They no longer
	// hold a slot.
	Preempt []K
}

// Load is the current load of a queue.
type Load struct {
	// Running and Queued are the numbers of live requests.
	Running int
	Queued  int
	// Work is the estimated work of the running and queued live requests, in
	// tokens.
	Work int64
	// Batch is the number of batch requests that hold a slot.
	Batch int
}

// Queue controls the admission of requests to one upstream. It is safe for
// concurrent use.
type Queue[K comparable] struct {
	mutex    sync.Mutex
	config   Config
	accounts map[string]*account[K]
	// accountList holds the accounts in order of creation. Sums and choices
	// iterate over it, because the iteration order of a map is random.
	accountList []*account[K]
	requests    map[K]*liveRequest[K]
	running     int
	queued      int
	// batchIDs are the IDs of the batch requests that hold a slot, the oldest
	// first.
	batchIDs []K
	// runningSuspect is the suspect that is running, or nil.
	runningSuspect *liveRequest[K]
	// virtualTime is the highest start tag of the requests started so far.
	virtualTime    float64
	lastArrivalSeq uint64
	slotRate       slotRate
}

// New returns an empty queue. The defaults replace zero values in config, except
// that Slots has no default.
func New[K comparable](config Config) *Queue[K] {
	if config.MaxQueued == 0 {
		config.MaxQueued = DefaultMaxQueued
	}
	if config.MaxQueuedPerAccount == 0 {
		config.MaxQueuedPerAccount = DefaultMaxQueuedPerAccount
	}
	if config.MaxWait == 0 {
		config.MaxWait = DefaultMaxWait
	}
	if config.Policy == "" {
		config.Policy = Fair
	}
	return &Queue[K]{
		config:   config,
		accounts: make(map[string]*account[K]),
		requests: make(map[K]*liveRequest[K]),
	}
}

// Admit submits a live request. The update starts or refuses it, or does neither
// if the request was queued. The update may also refuse another queued request
// in its place. An ID that is in use is refused with BadRequest.
func (q *Queue[K]) Admit(entry Entry[K]) Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	var update Update[K]
	if q.requests[entry.ID] != nil {
		update.refuse(entry.ID, bhcode.New(bhcode.BadRequest, "request is admitted already"))
		return update
	}
	a := q.ensureAccount(entry.Account, now)
	req := q.newLiveRequest(a, entry, now)
	q.enqueue(now, req)
	q.dispatch(now, &update)
	if req.queued {
		q.enforceLimits(now, req, &update)
	}
	return update
}

// Done frees the slot of a running live request that ended. work is the actual
// work in tokens; zero means that it was as estimated. An ID that is not running
// is ignored.
func (q *Queue[K]) Done(id K, work int64) Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	var update Update[K]
	req := q.requests[id]
	if req == nil || req.queued {
		return update
	}
	if work > 0 {
		req.account.virtualFinish += float64(work-req.work) / req.account.weight
		req.work = work
	}
	q.slotRate.record(req.work, now.Sub(req.startedAt))
	q.release(now, req)
	q.dispatch(now, &update)
	return update
}

// Cancel removes a queued or running live request whose caller left. An unknown
// ID is ignored.
func (q *Queue[K]) Cancel(id K) Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	var update Update[K]
	req := q.requests[id]
	if req == nil {
		return update
	}
	if req.queued {
		q.discardQueued(req)
	} else {
		q.release(now, req)
	}
	q.dispatch(now, &update)
	return update
}

// Expire refuses the queued requests whose maximum wait or deadline has passed:
// suspects with Overloaded, others with QueueTimeout. It also starts requests of
// accounts that are no longer throttled.
func (q *Queue[K]) Expire() Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	var update Update[K]
	for _, a := range q.accountList {
		for _, req := range slices.Clone(a.queue) {
			if !now.Before(req.expiresAt) {
				retryAfter := q.retryAfter(a)
				q.discardQueued(req)
				update.refuse(req.id, req.expiryError(now).WithRetryAfter(retryAfter))
			}
		}
	}
	q.dispatch(now, &update)
	return update
}

// NextExpiryCheck returns when the caller must call Expire, or false if no live
// request is queued. While requests are queued although a slot is free, Expire is
// due within throttleRecheckInterval: a throttled account becomes eligible as the
// averages change, and without Expire no call may come that starts its requests.
func (q *Queue[K]) NextExpiryCheck() (time.Time, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var wakeup time.Time
	for _, a := range q.accountList {
		for _, req := range a.queue {
			if wakeup.IsZero() || req.expiresAt.Before(wakeup) {
				wakeup = req.expiresAt
			}
		}
	}
	if recheckAt := time.Now().Add(throttleRecheckInterval); q.queued > 0 && q.running < q.config.Slots && recheckAt.Before(wakeup) {
		wakeup = recheckAt
	}
	return wakeup, !wakeup.IsZero()
}

// FreeBatchSlots returns the number of slots that batch requests may take now. It
// is zero while a live request is queued.
func (q *Queue[K]) FreeBatchSlots() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.freeBatchSlots()
}

// TryAcquireBatch takes a slot for a batch request. It reports false if no slot is
// free or if the ID already holds a slot.
func (q *Queue[K]) TryAcquireBatch(id K) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.freeBatchSlots() < 1 || slices.Contains(q.batchIDs, id) {
		return false
	}
	q.batchIDs = append(q.batchIDs, id)
	return true
}

// ReleaseBatch frees the slot of a batch request that ended. It ignores an ID
// that holds no slot, such as that of a preempted request.
func (q *Queue[K]) ReleaseBatch(id K) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.batchIDs = slices.DeleteFunc(q.batchIDs, func(other K) bool { return other == id })
}

// Resize changes the number of slots. Queued requests start in added slots. If
// slots are removed, live requests in excess keep running, and batch requests in
// excess are preempted.
func (q *Queue[K]) Resize(slots int) Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var update Update[K]
	q.config.Slots = slots
	q.dispatch(time.Now(), &update)
	q.preemptBatch(&update)
	return update
}

// Load returns the current load.
func (q *Queue[K]) Load() Load {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	load := Load{Running: q.running, Queued: q.queued, Batch: len(q.batchIDs)}
	for _, req := range q.requests {
		load.Work += req.work
	}
	return load
}

func (q *Queue[K]) freeBatchSlots() int {
	if q.queued > 0 {
		return 0
	}
	return max(q.config.Slots-q.running-len(q.batchIDs), 0)
}

func (u *Update[K]) refuse(id K, err *bhcode.Error) {
	u.Refuse = append(u.Refuse, Refusal[K]{ID: id, Err: err})
}
