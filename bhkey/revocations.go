package bhkey

import (
	"sync"
)

// Revocations is the set of revoked key digests. It only grows, so hosts may
// merge their sets in any order.
type Revocations struct {
	mu      sync.Mutex
	known   map[string]bool
	ordered []string
	sum     uint64
	changed chan struct{}
}

// NewRevocations returns an empty set.
func NewRevocations() *Revocations {
	return &Revocations{known: make(map[string]bool), changed: make(chan struct{})}
}

// Revoke adds the digests and returns those that were new. Malformed digests
// are passed over.
func (r *Revocations) Revoke(digests ...string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []string
	for _, digest := range digests {
		parsed, ok := parseDigest(digest)
		if !ok || r.known[digest] {
			continue
		}
		r.sum ^= bucketOf(parsed)
		r.known[digest] = true
		added = append(added, digest)
	}
	if len(added) > 0 {
		r.ordered = append(r.ordered, added...)
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return added
}

// Has reports whether the digest is revoked.
func (r *Revocations) Has(digest string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[digest]
}

// Revoked returns all digests in the order in which they were added.
func (r *Revocations) Revoked() []string { return r.After(0) }

// After returns the digests added after the first n.
func (r *Revocations) After(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n >= len(r.ordered) {
		return nil
	}
	return append([]string(nil), r.ordered[n:]...)
}

// Len returns the number of digests.
func (r *Revocations) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ordered)
}

// Sum returns the number of digests and the exclusive or of their first eight
// bytes. Sets with the same sum are the same.
func (r *Revocations) Sum() (count int, sum uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ordered), r.sum
}

// Watch returns a channel that is closed at the next addition.
func (r *Revocations) Watch() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
