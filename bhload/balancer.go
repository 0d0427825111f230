package bhload

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	checkInterval = 200 * time.Millisecond
	checkTimeout  = time.Second
)

// Target is an entry that requests are sent to.
type Target struct {
	// URL is the base URL for callers.
	URL string
	// Ready is the URL that answers 200 while the entry should get requests;
	// empty means always.
	Ready string
}

// balancer spreads requests over entries, as the platform's balancer does: it
// learns a little late which of them are ready.
type balancer struct {
	transport http.RoundTripper
	targets   []Target

	mu    sync.Mutex
	ready []bool
	next  int
}

func newBalancer(targets []Target, transport http.RoundTripper) *balancer {
	b := &balancer{transport: transport, targets: targets, ready: make([]bool, len(targets))}
	for i := range targets {
		b.ready[i] = true
	}
	return b
}

// watch checks the targets' readiness until ctx is done.
func (b *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for i := range b.targets {
			b.check(ctx, i)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) check(ctx context.Context, index int) {
	if b.targets[index].Ready == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.targets[index].Ready, nil)
	if err != nil {
		return
	}
	ready := false
	if response, err := b.transport.RoundTrip(request); err == nil {
		ready = response.StatusCode == http.StatusOK
		_ = response.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[index] = ready
}

// do sends the request that build makes for a base URL. It tries another target
// only if one refused the connection, so that nothing was sent.
func (b *balancer) do(build func(base string) (*http.Request, error)) (*http.Response, error) {
	var last error
	tried := make([]bool, len(b.targets))
	for range b.targets {
		index := b.pick(tried)
		tried[index] = true
		request, err := build(strings.TrimSuffix(b.targets[index].URL, "/"))
		if err != nil {
			return nil, err
		}
		response, err := b.transport.RoundTrip(request)
		if err == nil {
			return response, nil
		}
		if !isRefused(err) {
			return nil, errors.WithStack(err)
		}
		last = err
	}
	return nil, errors.WithStack(last)
}

// pick returns the next target that wasn't tried, one that is ready if there is
// any.
func (b *balancer) pick(tried []bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice := -1
	for offset := range b.targets {
		index := (b.next + 1 + offset) % len(b.targets)
		if tried[index] {
			continue
		}
		if choice < 0 {
			choice = index
		}
		if b.ready[index] {
			choice = index
			break
		}
	}
	b.next = choice
	return choice
}
