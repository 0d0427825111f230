package bhsidecar

import (
	"context"
	"sync"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// credit is the flow control window of a stream: the number of bytes that it
// may send until its entry grants more.
type credit struct {
	mu    sync.Mutex
	bytes int
	// added holds a signal after credit was added.
	added chan struct{}
}

func newCredit(bytes int) *credit {
	return &credit{bytes: bytes, added: make(chan struct{}, 1)}
}

func (c *credit) add(bytes int) {
	if bytes <= 0 {
		return
	}
	c.mu.Lock()
	c.bytes += bytes
	c.mu.Unlock()
	select {
	case c.added <- struct{}{}:
	default:
	}
}

// acquire waits until at least one byte may be sent, and takes up to limit
// bytes. The error is RunTimeout if ctx ends first.
func (c *credit) acquire(ctx context.Context, limit int) (int, error) {
	for {
		if n := c.tryAcquire(limit); n > 0 {
			return n, nil
		}
		select {
		case <-c.added:
		case <-ctx.Done():
			return 0, bhcode.Wrap(ctx.Err(), bhcode.RunTimeout, "waiting for credit")
		}
	}
}

// tryAcquire takes up to limit bytes without waiting.
func (c *credit) tryAcquire(limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(limit, c.bytes)
	c.bytes -= n
	return n
}
