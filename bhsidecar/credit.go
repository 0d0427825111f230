package bhsidecar

import (
	"context"
	"sync"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// credit is the number of bytes that a stream may send before its entry has
// taken more of them off its hands.
type credit struct {
	mu    sync.Mutex
	bytes int
	more  chan struct{}
}

func newCredit(bytes int) *credit {
	return &credit{bytes: bytes, more: make(chan struct{}, 1)}
}

func (c *credit) add(bytes int) {
	if bytes <= 0 {
		return
	}
	c.mu.Lock()
	c.bytes += bytes
	c.mu.Unlock()
	select {
	case c.more <- struct{}{}:
	default:
	}
}

// take waits until at least one byte may be sent, and takes up to want.
func (c *credit) take(ctx context.Context, want int) (int, error) {
	for {
		if n := c.tryTake(want); n > 0 {
			return n, nil
		}
		select {
		case <-c.more:
		case <-ctx.Done():
			return 0, bhcode.Wrap(ctx.Err(), bhcode.RunTimeout, "waiting for credit")
		}
	}
}

func (c *credit) tryTake(want int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(want, c.bytes)
	c.bytes -= n
	return n
}
