// Package bhdrain holds what graceful shutdowns decide by: the requests in flight, the
// timetable, and whether a request that arrives meanwhile can be finished. Packages bhentry,
// bhgate and bhsidecar use it. Gateways decide by how long requests of a route take (Plan,
// Durations); entries and sidecars, which don't know, by the part of the stop that is left
// (Departure).
package bhdrain

import (
	"context"
	"sync"
)

// Inflight counts requests or streams in flight. Unlike sync.WaitGroup, it allows
// Add while another goroutine waits. The zero value is ready for use.
type Inflight struct {
	mu    sync.Mutex
	count int
	// idle is created by Wait, and closed by Done when count drops to 0.
	idle chan struct{}
}

// Add records that a request has begun.
func (i *Inflight) Add() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count++
}

// Done records that a request has ended. It must follow one call of Add.
func (i *Inflight) Done() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count--
	if i.count == 0 && i.idle != nil {
		close(i.idle)
		i.idle = nil
	}
}

// Count returns the number of requests in flight.
func (i *Inflight) Count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.count
}

// Wait waits until no request is in flight. It returns false if ctx was done
// first.
func (i *Inflight) Wait(ctx context.Context) bool {
	i.mu.Lock()
	if i.count == 0 {
		i.mu.Unlock()
		return true
	}
	if i.idle == nil {
		i.idle = make(chan struct{})
	}
	idle := i.idle
	i.mu.Unlock()
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}
