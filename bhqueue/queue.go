// Package bhqueue decides at a sidecar which requests run on one upstream:
// live requests fairly between client accounts by work, batch requests in the
// slots that live ones leave free. It starts no goroutine and sends nothing;
// each call returns what the caller has to do.
package bhqueue

import (
	"slices"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Defaults of a Queue.
const (
	DefaultQueued        = 128
	DefaultAccountQueued = 32
	DefaultWait          = 5 * time.Second
)

const recheck = 250 * time.Millisecond

// Policy decides the order of queued live requests.
type Policy string

// Policies. FIFO ignores accounts and exists for comparison.
const (
	Fair Policy = "fair"
	FIFO Policy = "fifo"
)

// Config configures a Queue.
type Config struct {
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Queued bounds the queued requests; zero means DefaultQueued.
	Queued int
	// AccountQueued bounds the queued requests of one account; zero means
	// DefaultAccountQueued.
	AccountQueued int
	// Wait bounds the time in the queue; zero means DefaultWait.
	Wait time.Duration
	// Weight returns an account's weight, at least 0; nil means 1 for each.
	Weight func(account string) float64
	// Policy orders queued requests; empty means Fair.
	Policy Policy
}

// Entry is one request that asks to run.
type Entry[K comparable] struct {
	// ID names the request in updates.
	ID K
	// Account is the client account; empty on open routes.
	Account string
	// Work is the estimated work in tokens.
	Work int64
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// Alone says that the request must share the upstream with no other request
	// that has this set.
	Alone bool
}

// Refusal is the final answer to a request that won't run.
type Refusal[K comparable] struct {
	ID  K
	Err *bhcode.Error
}

// Update lists what the caller must do after a call.
type Update[K comparable] struct {
	// Start names live requests that run from now on.
	Start []K
	// Refuse names live requests that are refused and didn't run.
	Refuse []Refusal[K]
	// Preempt names batch requests to stop at once. They hold no slot any more.
	Preempt []K
}

// Load is the number of live requests and their estimated work in tokens.
type Load struct {
	Running int
	Queued  int
	Work    int64
	Batch   int
}

// Queue is the admission to one upstream. It is safe for concurrent use.
type Queue[K comparable] struct {
	mutex    sync.Mutex
	config   Config
	accounts map[string]*account[K]
	// order holds the accounts, the oldest first, so that sums and choices don't
	// depend on the order of a map.
	order   []*account[K]
	items   map[K]*item[K]
	running int
	queued  int
	batch   []K
	// solo is the running request that shares with no other of its kind.
	solo    *item[K]
	virtual float64
	arrival uint64
	pace    pace
}

// New returns an empty queue.
func New[K comparable](config Config) *Queue[K] {
	if config.Queued == 0 {
		config.Queued = DefaultQueued
	}
	if config.AccountQueued == 0 {
		config.AccountQueued = DefaultAccountQueued
	}
	if config.Wait == 0 {
		config.Wait = DefaultWait
	}
	if config.Policy == "" {
		config.Policy = Fair
	}
	return &Queue[K]{
		config:   config,
		accounts: make(map[string]*account[K]),
		items:    make(map[K]*item[K]),
	}
}

// Admit takes a live request. The update starts it, refuses it, or does neither
// if it was queued. An ID that is in use is refused.
func (q *Queue[K]) Admit(entry Entry[K]) Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	var update Update[K]
	if q.items[entry.ID] != nil {
		update.refuse(entry.ID, bhcode.New(bhcode.BadRequest, "request is admitted already"))
		return update
	}
	a := q.account(entry.Account, now)
	it := q.newItem(a, entry, now)
	q.enqueue(now, it)
	q.dispatch(now, &update)
	if it.queued {
		q.limit(now, it, &update)
	}
	return update
}

// Done records that a running request ended after the given work in tokens;
// zero means as estimated.
func (q *Queue[K]) Done(id K, work int64) Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	var update Update[K]
	it := q.items[id]
	if it == nil || it.queued {
		return update
	}
	if work > 0 {
		it.account.finish += float64(work-it.work) / it.account.weight
		it.work = work
	}
	q.pace.record(it.work, now.Sub(it.started))
	q.release(now, it)
	q.dispatch(now, &update)
	return update
}

// Cancel removes a request whose caller left, queued or running.
func (q *Queue[K]) Cancel(id K) Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	var update Update[K]
	it := q.items[id]
	if it == nil {
		return update
	}
	if it.queued {
		q.dequeue(it)
	} else {
		q.release(now, it)
	}
	q.dispatch(now, &update)
	return update
}

// Expire refuses queued requests that waited for as long as they may.
func (q *Queue[K]) Expire() Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	var update Update[K]
	for _, a := range q.order {
		for _, it := range slices.Clone(a.queue) {
			if !now.Before(it.expires) {
				retry := q.retry(a)
				q.dequeue(it)
				update.refuse(it.id, it.expired(now).WithRetryAfter(retry))
			}
		}
	}
	q.dispatch(now, &update)
	return update
}

// Next returns when Expire has to be called, and false if nothing is queued.
// While queued requests must leave slots free for other accounts that's soon,
// since nothing else may start them.
func (q *Queue[K]) Next() (time.Time, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var next time.Time
	for _, a := range q.order {
		for _, it := range a.queue {
			if next.IsZero() || it.expires.Before(next) {
				next = it.expires
			}
		}
	}
	if soon := time.Now().Add(recheck); q.queued > 0 && q.running < q.config.Slots && soon.Before(next) {
		next = soon
	}
	return next, !next.IsZero()
}

// Free returns the number of slots that batch requests may take now.
func (q *Queue[K]) Free() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.free()
}

// Offer takes a slot for a batch request, and reports whether there was one.
func (q *Queue[K]) Offer(id K) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.free() < 1 || slices.Contains(q.batch, id) {
		return false
	}
	q.batch = append(q.batch, id)
	return true
}

// Return gives back the slot of a batch request that ended. An ID that was
// preempted holds none.
func (q *Queue[K]) Return(id K) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.batch = slices.DeleteFunc(q.batch, func(other K) bool { return other == id })
}

// Resize changes the number of slots.
func (q *Queue[K]) Resize(slots int) Update[K] {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var update Update[K]
	q.config.Slots = slots
	q.dispatch(time.Now(), &update)
	q.preempt(&update)
	return update
}

// Load returns what runs and what waits.
func (q *Queue[K]) Load() Load {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	load := Load{Running: q.running, Queued: q.queued, Batch: len(q.batch)}
	for _, it := range q.items {
		load.Work += it.work
	}
	return load
}

func (q *Queue[K]) free() int {
	if q.queued > 0 {
		return 0
	}
	return max(q.config.Slots-q.running-len(q.batch), 0)
}

func (u *Update[K]) refuse(id K, err *bhcode.Error) {
	u.Refuse = append(u.Refuse, Refusal[K]{ID: id, Err: err})
}
