package bhsidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	queuePerSlot  = 4
	overloadRetry = time.Second
)

// admission lets as many requests into an upstream as it has slots and queues
// a bounded number of others.
type admission struct {
	slots   chan struct{}
	queued  atomic.Int64
	mu      sync.Mutex
	running int
	work    int64
}

func newAdmission(slots int) *admission {
	return &admission{slots: make(chan struct{}, max(slots, 1))}
}

// admit waits for a slot and returns the function that frees it. The error
// says that the request did not run.
func (a *admission) admit(ctx context.Context, submit bhwire.Submit) (func(), error) {
	defer a.queued.Add(-1)
	if a.queued.Add(1) > int64(queuePerSlot*cap(a.slots)) {
		return nil, bhcode.New(bhcode.Overloaded, "the queue is full").WithRetryAfter(overloadRetry)
	}
	select {
	case a.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, bhcode.New(bhcode.QueueTimeout, "no slot became free in time").WithRetryAfter(overloadRetry)
	}
	a.change(1, submit.Work)
	return func() {
		a.change(-1, -submit.Work)
		<-a.slots
	}, nil
}

func (a *admission) change(running int, work int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running += running
	a.work += work
}

// others returns how many requests run beside the one that asks.
func (a *admission) others() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.running-1, 0)
}

func (a *admission) load() (running, queued int, work int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, int(a.queued.Load()), a.work
}
