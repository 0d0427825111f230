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

// offerInterval bounds how late a free slot is noticed for batch work.
const offerInterval = 50 * time.Millisecond

// admission carries out what the queue of one upstream decides.
type admission struct {
	queue *bhqueue.Queue[uint64]

	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan error
	places  map[uint64]*place
	freed   chan struct{}
}

func newAdmission(slots int, weight func(account string) float64) *admission {
	return &admission{
		queue:   bhqueue.New[uint64](bhqueue.Config{Slots: max(slots, 1), Weight: weight}),
		waiting: make(map[uint64]chan error),
		places:  make(map[uint64]*place),
		freed:   make(chan struct{}),
	}
}

// admit waits for a slot and returns the function that frees it. The error
// says that the request did not run.
func (a *admission) admit(ctx context.Context, submit bhwire.Submit) (func(), error) {
	id, verdict := a.enter()
	defer a.forget(id)
	deadline, _ := ctx.Deadline()
	a.apply(a.queue.Admit(bhqueue.Entry[uint64]{
		ID:       id,
		Account:  submit.Account,
		Work:     submit.Work,
		Deadline: deadline,
		Alone:    submit.Alone,
	}))
	for {
		next, _ := a.queue.Next()
		select {
		case err := <-verdict:
			if err != nil {
				return nil, err
			}
			return func() { a.apply(a.queue.Done(id, 0)) }, nil
		case <-ctx.Done():
			a.apply(a.queue.Cancel(id))
			return nil, gaveUp(ctx)
		case <-time.After(time.Until(next)):
			a.apply(a.queue.Expire())
		}
	}
}

// gaveUp is the end of a request whose context ended in the queue.
func gaveUp(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bhcode.New(bhcode.QueueTimeout, "no slot became free before the deadline")
	}
	return bhcode.New(bhcode.Cancelled, "the caller left while the request was queued")
}

func (a *admission) enter() (uint64, chan error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	verdict := make(chan error, 1)
	a.waiting[a.last] = verdict
	return a.last, verdict
}

func (a *admission) forget(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
}

// apply tells requests and batch places what the queue decided.
func (a *admission) apply(update bhqueue.Update[uint64]) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range update.Start {
		a.tell(id, nil)
	}
	for _, refusal := range update.Refuse {
		a.tell(refusal.ID, refusal.Err)
	}
	for _, id := range update.Preempt {
		if place := a.places[id]; place != nil {
			close(place.preempted)
			delete(a.places, id)
		}
	}
	close(a.freed)
	a.freed = make(chan struct{})
}

// tell hands over the verdict on a request. Each request gets at most one.
func (a *admission) tell(id uint64, err error) {
	if verdict := a.waiting[id]; verdict != nil {
		verdict <- err
		delete(a.waiting, id)
	}
}

// place is a slot that a batch item holds until it is released or preempted.
type place struct {
	admission *admission
	id        uint64
	preempted chan struct{}
}

// offer waits for a slot that live requests leave free.
func (a *admission) offer(ctx context.Context) (*place, error) {
	for {
		place, freed := a.tryOffer()
		if place != nil {
			return place, nil
		}
		select {
		case <-freed:
		case <-time.After(offerInterval):
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// tryOffer takes a free slot, or returns the channel that is closed at the
// next change.
func (a *admission) tryOffer() (*place, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	if !a.queue.Offer(a.last) {
		return nil, a.freed
	}
	place := &place{admission: a, id: a.last, preempted: make(chan struct{})}
	a.places[place.id] = place
	return place, nil
}

// Preempted is closed when a live request took the slot.
func (p *place) Preempted() <-chan struct{} { return p.preempted }

// preempt takes the slot back at once, unless that has happened.
func (p *place) preempt() {
	a := p.admission
	a.queue.Return(p.id)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.places[p.id] == p {
		close(p.preempted)
		delete(a.places, p.id)
	}
}

// Release gives the slot back.
func (p *place) Release() {
	a := p.admission
	a.queue.Return(p.id)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.places, p.id)
	close(a.freed)
	a.freed = make(chan struct{})
}
