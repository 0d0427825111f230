// Package bhorigin remembers which software version of a service began a stream of
// events, since what two versions write doesn't fit together. A gateway records each
// stream that it relays, here, at two other gateways and at two runners. The gateway
// to which a client comes back finds it there. Package bhgate calls it.
package bhorigin

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhclock"
)

const (
	// lifetime is how long a stream is remembered at least after it was last
	// recorded. Clients come back within their deadline, which is some seconds.
	lifetime = time.Minute
	// maxStreams bounds the memory: a gateway relays some ten streams a second and
	// holds copies for two others.
	maxStreams = 1 << 15
)

// Origin names the upstreams at which a stream may go on.
type Origin struct {
	Service string
	// Version is that of the software of the upstreams.
	Version string
}

// Key identifies a stream: a hash of the client account and of the ID of the attempt
// that brought the first event.
type Key [16]byte

// NewKey returns the key of the stream that the account's request began. The account
// is part of it so that no client can change the origin of another's stream.
func NewKey(account, request string) Key {
	sum := sha256.Sum256([]byte(account + "\x00" + request))
	return Key(sum[:len(Key{})])
}

// Table holds the origins of streams. It is safe for concurrent use.
type Table struct {
	clock bhclock.Clock

	mu      sync.Mutex
	origins generations[Key, Origin]
}

// NewTable returns an empty table.
func NewTable(clock bhclock.Clock) *Table {
	return &Table{clock: clock, origins: newGenerations[Key, Origin](lifetime, maxStreams)}
}

// Put records the origin of a stream.
func (t *Table) Put(key Key, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.origins.put(t.clock.Now(), key, origin)
}

// Get returns the origin of a stream that was recorded within the lifetime. It
// reports false for a stream that it doesn't know.
func (t *Table) Get(key Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.origins.get(t.clock.Now(), key)
}
