package bhsync

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhlog"
)

// Checks of running requests for revoked keys and lost contact.
const (
	contactCheckInterval = 500 * time.Millisecond
	// maxStaleChecks is the number of consecutive checks without contact after
	// which running requests are cancelled. Several are required so that a
	// process that was paused has time to regain contact.
	maxStaleChecks = 3
)

// RunningRequests cancels running requests whose key is no longer valid or can
// no longer be verified.
type RunningRequests struct {
	store *Store

	mu         sync.Mutex
	lastID     uint64
	requests   map[uint64]runningRequest
	staleCount int
}

type runningRequest struct {
	identity bhkey.Identity
	cancel   context.CancelCauseFunc
}

// NewRunningRequests returns a RunningRequests without requests that checks
// keys against store.
func NewRunningRequests(store *Store) *RunningRequests {
	return &RunningRequests{store: store, requests: make(map[uint64]runningRequest)}
}

// Add registers a request and returns a context for it. The context is
// cancelled with a cause that carries KeyRevoked when the key is no longer
// valid, or ConfigStale when the host has lost contact. The caller must call
// release when the request has ended.
func (r *RunningRequests) Add(ctx context.Context, identity bhkey.Identity) (requestCtx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	id := r.lastID
	r.requests[id] = runningRequest{identity: identity, cancel: cancel}
	if !r.store.IdentityValid(identity, time.Now()) {
		cancel(revokedError())
	}
	return ctx, func() { r.remove(id) }
}

// Len returns the number of running requests.
func (r *RunningRequests) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// Run checks the running requests at each new version, at each revocation and
// every contactCheckInterval, until ctx is done. It returns nil.
func (r *RunningRequests) Run(ctx context.Context) error {
	ticker := time.NewTicker(contactCheckInterval)
	defer ticker.Stop()
	for {
		configChanged, keysRevoked := r.store.Watch(), r.store.Revocations.Watch()
		r.cancelInvalid(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-configChanged:
		case <-keysRevoked:
		case <-ticker.C:
			r.cancelIfStale(time.Now())
		}
	}
}

func (r *RunningRequests) remove(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request, ok := r.requests[id]; ok {
		request.cancel(context.Canceled)
		delete(r.requests, id)
	}
}

// cancelInvalid cancels the requests whose key is no longer valid.
func (r *RunningRequests) cancelInvalid(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.requests {
		if !r.store.IdentityValid(request.identity, now) {
			request.cancel(revokedError())
		}
	}
}

// cancelIfStale cancels all requests at the check number maxStaleChecks in a
// row without contact.
func (r *RunningRequests) cancelIfStale(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.store.KeysTrusted(now) {
		r.staleCount = 0
		return
	}
	r.staleCount++
	if r.staleCount != maxStaleChecks {
		return
	}
	bhlog.Event(r.store.config.Logger, "keys.stale", "running", len(r.requests))
	for _, request := range r.requests {
		request.cancel(bhcode.New(bhcode.ConfigStale, "").WithRan(bhcode.RanUnknown))
	}
}

func revokedError() error {
	return bhcode.New(bhcode.KeyRevoked, "").WithRan(bhcode.RanUnknown)
}
