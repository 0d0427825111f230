// Package bhdrain counts work in flight, so that a graceful stop can wait for
// its end.
package bhdrain

import (
	"context"
	"sync"
)

// Inflight counts work in flight. Unlike sync.WaitGroup it allows new work
// while another goroutine waits. Its zero value is ready.
type Inflight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Add notes that one piece of work began.
func (i *Inflight) Add() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count++
}

// Done notes that one piece of work ended.
func (i *Inflight) Done() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count--
	if i.count == 0 && i.idle != nil {
		close(i.idle)
		i.idle = nil
	}
}

// Count returns the number of pieces of work in flight.
func (i *Inflight) Count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.count
}

// Wait waits until nothing is in flight. It reports false if ctx was done first.
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
