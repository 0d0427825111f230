package bhkey

import (
	"sync"
)

// Revocations is the set of revoked key digests. Digests are only added, so hosts
// may merge their sets in any order. It is safe for concurrent use.
type Revocations struct {
	mu        sync.Mutex
	members   map[string]bool
	additions []string // the members in the order in which they were added
	checksum  uint64   // see Checksum
	changed   chan struct{}
}

// NewRevocations returns an empty set of revocations.
func NewRevocations() *Revocations {
	return &Revocations{members: make(map[string]bool), changed: make(chan struct{})}
}

// Revoke adds the digests and returns those that were new, in their order.
// Malformed digests are skipped.
func (r *Revocations) Revoke(digests ...string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []string
	for _, digest := range digests {
		sum, ok := parseDigest(digest)
		if !ok || r.members[digest] {
			continue
		}
		r.checksum ^= leadingUint64(sum)
		r.members[digest] = true
		added = append(added, digest)
	}
	if len(added) > 0 {
		r.additions = append(r.additions, added...)
		close(r.changed)
		r.changed = make(chan struct{})
	}
	return added
}

// Has reports whether the key with the digest is revoked.
func (r *Revocations) Has(digest string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[digest]
}

// Revoked returns all revoked digests in the order in which they were added.
func (r *Revocations) Revoked() []string { return r.AddedAfter(0) }

// AddedAfter returns the digests that were added after the first n digests, in
// the order in which they were added.
func (r *Revocations) AddedAfter(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n >= len(r.additions) {
		return nil
	}
	return append([]string(nil), r.additions[n:]...)
}

// Len returns the number of revoked digests.
func (r *Revocations) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.additions)
}

// Checksum returns the number of revoked digests and a checksum: the exclusive or
// of the first eight bytes of their SHA-256 values. Sets with the same count and
// checksum are taken to be equal.
func (r *Revocations) Checksum() (count int, checksum uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.additions), r.checksum
}

// Watch returns a channel that is closed when a digest is added next.
func (r *Revocations) Watch() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
