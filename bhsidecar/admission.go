package bhsidecar

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhqueue"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// slotPollInterval bounds the delay until waiting batch work notices a free
// slot that no change signal announced.
const slotPollInterval = 50 * time.Millisecond

// admission applies the decisions of one upstream's queue: it starts and
// refuses live requests and preempts batch items. It is safe for concurrent
// use.
type admission struct {
	queue *bhqueue.Queue[uint64]

	mu     sync.Mutex
	lastID uint64
	// decisions holds the channel of each live request that waits for the
	// queue's decision: nil starts the request, an error refuses it.
	decisions map[uint64]chan error
	// queueSlots are the slots held by batch items, by ID.
	queueSlots map[uint64]*queueSlot
	// changed is closed when the queue's next decision is applied or the next
	// batch item releases its slot.
	changed chan struct{}
}

func newAdmission(slots int, weight func(account string) float64) *admission {
	return &admission{
		queue:      bhqueue.New[uint64](bhqueue.Config{Slots: max(slots, 1), Weight: weight}),
		decisions:  make(map[uint64]chan error),
		queueSlots: make(map[uint64]*queueSlot),
		changed:    make(chan struct{}),
	}
}

// admit waits for a slot and returns the function that frees the slot. The
// error is the queue's refusal, QueueTimeout at the deadline of ctx, Leaving, or
// Cancelled. It reports that the request did not run.
func (a *admission) admit(ctx context.Context, submit bhwire.Submit) (func(), error) {
	id, decision := a.addWaiter()
	defer a.removeWaiter(id)
	deadline, _ := ctx.Deadline()
	a.apply(a.queue.Admit(bhqueue.Entry[uint64]{
		ID:       id,
		Account:  submit.Account,
		Work:     submit.Work,
		Deadline: deadline,
		Suspect:  submit.Alone,
	}))
	for {
		expiry, _ := a.queue.NextExpiryCheck()
		select {
		case err := <-decision:
			if err != nil {
				return nil, err
			}
			return func() { a.apply(a.queue.Done(id, 0)) }, nil
		case <-ctx.Done():
			a.apply(a.queue.Cancel(id))
			return nil, queueWaitError(ctx)
		case <-time.After(time.Until(expiry)):
			a.apply(a.queue.Expire())
		}
	}
}

// queueWaitError returns the error of a request whose context ended in the
// queue: Leaving in a planned stop, QueueTimeout after the deadline, otherwise
// Cancelled.
func queueWaitError(ctx context.Context) error {
	if leaving := leavingCause(ctx); leaving != nil {
		return leaving
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bhcode.New(bhcode.QueueTimeout, "no slot became free before the deadline")
	}
	return bhcode.New(bhcode.Cancelled, "the caller left while the request was queued")
}

// addWaiter returns a new request ID and the channel that receives the decision
// on the request.
func (a *admission) addWaiter() (uint64, chan error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	decision := make(chan error, 1)
	a.decisions[a.lastID] = decision
	return a.lastID, decision
}

func (a *admission) removeWaiter(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.decisions, id)
}

// apply passes the queue's decisions on to the requests and batch items
// concerned, and signals the change.
func (a *admission) apply(update bhqueue.Update[uint64]) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range update.Start {
		a.notify(id, nil)
	}
	for _, refusal := range update.Refuse {
		a.notify(refusal.ID, refusal.Err)
	}
	for _, id := range update.Preempt {
		if slot := a.queueSlots[id]; slot != nil {
			close(slot.preempted)
			delete(a.queueSlots, id)
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// notify delivers the decision on a request: nil to start it, an error to
// refuse it. Each request gets at most one decision. The caller holds mu.
func (a *admission) notify(id uint64, err error) {
	if decision := a.decisions[id]; decision != nil {
		decision <- err
		delete(a.decisions, id)
	}
}

// acquireBatch waits for a slot that live requests leave free.
func (a *admission) acquireBatch(ctx context.Context) (*queueSlot, error) {
	for {
		slot, changed := a.tryAcquireBatch()
		if slot != nil {
			return slot, nil
		}
		select {
		case <-changed:
		case <-time.After(slotPollInterval):
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// tryAcquireBatch takes a free slot. If there is none, it returns a nil slot
// and the channel that is closed at the next change; see admission.changed.
func (a *admission) tryAcquireBatch() (*queueSlot, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	if !a.queue.TryAcquireBatch(a.lastID) {
		return nil, a.changed
	}
	slot := &queueSlot{admission: a, id: a.lastID, preempted: make(chan struct{})}
	a.queueSlots[slot.id] = slot
	return slot, nil
}

// queueSlot is a slot of an upstream's queue that a batch item holds until the
// slot is released or preempted.
type queueSlot struct {
	admission *admission
	id        uint64
	preempted chan struct{}
}

// Preempted returns a channel that is closed when the slot is taken back for a
// live request.
func (s *queueSlot) Preempted() <-chan struct{} { return s.preempted }

// preempt returns the slot to the queue at once and closes Preempted. It does
// nothing if the slot was already preempted or released.
func (s *queueSlot) preempt() {
	a := s.admission
	a.queue.ReleaseBatch(s.id)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queueSlots[s.id] == s {
		close(s.preempted)
		delete(a.queueSlots, s.id)
	}
}

// Release returns the slot to the queue and signals the change.
func (s *queueSlot) Release() {
	a := s.admission
	a.queue.ReleaseBatch(s.id)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.queueSlots, s.id)
	close(a.changed)
	a.changed = make(chan struct{})
}
