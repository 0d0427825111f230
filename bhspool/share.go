package bhspool

import "golang.org/x/sync/semaphore"

// Pool is memory that several holders share: what each of them needs beyond its own part, which it
// has in any case. A nil one has any. It is safe for concurrent use.
type Pool struct{ shared *semaphore.Weighted }

// NewPool returns a pool of the bytes.
func NewPool(bytes int64) *Pool { return &Pool{shared: semaphore.NewWeighted(max(0, bytes))} }

// Open returns a share without memory, of which own bytes don't count toward the pool. The caller
// closes it.
func (p *Pool) Open(own int64) *Share {
	if p == nil {
		return nil
	}
	return &Share{pool: p, own: own}
}

// Share is what one holder has of a Pool; a nil one allows any. It is not safe for concurrent use.
type Share struct {
	pool *Pool
	own  int64
	// taken is what the holder has of the pool.
	taken int64
}

// Resize makes the share one of the bytes in all. It reports false, and changes nothing, if the
// pool lacks what the share is to grow by.
func (s *Share) Resize(bytes int64) bool {
	if s == nil {
		return true
	}
	needed := max(0, bytes-s.own)
	switch {
	case needed > s.taken && !s.pool.shared.TryAcquire(needed-s.taken):
		return false
	case needed < s.taken:
		s.pool.shared.Release(s.taken - needed)
	}
	s.taken = needed
	return true
}

// Close returns all that was taken. It may be called again.
func (s *Share) Close() { s.Resize(0) }
