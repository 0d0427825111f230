package bhsync

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhlog"
)

// Checks of running requests.
const (
	runningInterval = 500 * time.Millisecond
	// staleChecks is the number of checks in a row that must find the host out
	// of contact before running requests end. A process that was paused gets
	// time to make contact again.
	staleChecks = 3
)

// Running ends running requests whose key stopped working.
type Running struct {
	store *Store

	mu       sync.Mutex
	next     uint64
	requests map[uint64]runningRequest
	stale    int
}

type runningRequest struct {
	identity bhkey.Identity
	cancel   context.CancelCauseFunc
}

// NewRunning returns a Running without requests.
func NewRunning(store *Store) *Running {
	return &Running{store: store, requests: make(map[uint64]runningRequest)}
}

// Add returns a context that is cancelled when the key of the request stops
// working. Its cause is then an error with KeyRevoked or ConfigStale. The caller
// calls release when the request has ended.
func (r *Running) Add(ctx context.Context, identity bhkey.Identity) (running context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	id := r.next
	r.requests[id] = runningRequest{identity: identity, cancel: cancel}
	if !r.store.Valid(identity, time.Now()) {
		cancel(revoked())
	}
	return ctx, func() { r.remove(id) }
}

// Len returns the number of running requests.
func (r *Running) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// Run checks the running requests at each change, each revocation and at
// intervals, until ctx is done.
func (r *Running) Run(ctx context.Context) error {
	ticker := time.NewTicker(runningInterval)
	defer ticker.Stop()
	for {
		changed, revocation := r.store.Watch(), r.store.Revocations.Watch()
		r.check(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-revocation:
		case <-ticker.C:
			r.checkContact(time.Now())
		}
	}
}

func (r *Running) remove(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request, ok := r.requests[id]; ok {
		request.cancel(context.Canceled)
		delete(r.requests, id)
	}
}

func (r *Running) check(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.requests {
		if !r.store.Valid(request.identity, now) {
			request.cancel(revoked())
		}
	}
}

func (r *Running) checkContact(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.store.Trusted(now) {
		r.stale = 0
		return
	}
	r.stale++
	if r.stale != staleChecks {
		return
	}
	bhlog.Event(r.store.config.Logger, "keys.stale", "running", len(r.requests))
	for _, request := range r.requests {
		request.cancel(bhcode.New(bhcode.ConfigStale, "").WithRan(bhcode.RanUnknown))
	}
}

func revoked() error {
	return bhcode.New(bhcode.KeyRevoked, "").WithRan(bhcode.RanUnknown)
}
