// Package bhcache follows the prefix caches of engines, so that entries can
// send a request to an engine that holds the start of its prompt.
package bhcache

import "sync"

const (
	// SampleEvery is the part of block hashes that are reported: one in this
	// many. All processes sample alike, so sampled hashes match.
	SampleEvery = 8
	// LogSize is the number of changes that a Log keeps.
	LogSize = 4096
)

// Sample returns those of the hashes that are reported, in their order.
func Sample(hashes []uint64) []uint64 {
	var sampled []uint64
	for _, hash := range hashes {
		if Sampled(hash) {
			sampled = append(sampled, hash)
		}
	}
	return sampled
}

// Sampled reports whether the block with this hash is reported.
func Sampled(hash uint64) bool { return hash%SampleEvery == 0 }

// Change is a block that entered or left a cache, or a place where changes were
// lost.
type Change struct {
	Hash   uint64
	Stored bool
	Gap    bool
}

// Changes are what happened in a cache since a cursor.
type Changes struct {
	Cached  []uint64
	Evicted []uint64
	// Gap says that changes were lost in between.
	Gap bool
}

// Empty reports whether nothing happened.
func (c Changes) Empty() bool { return len(c.Cached) == 0 && len(c.Evicted) == 0 && !c.Gap }

// Cursor is a reader's place in a Log: the number of changes it has read.
type Cursor uint64

// Log keeps the latest changes of one cache for readers that come at their own
// pace. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	changes []Change
	// dropped is the number of changes that are no longer kept.
	dropped uint64
}

// Add appends a change.
func (l *Log) Add(change Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change)
	if len(l.changes) < 2*LogSize {
		return
	}
	l.dropped += LogSize
	l.changes = append([]Change(nil), l.changes[LogSize:]...)
}

// After returns what happened since the cursor, for each block its last state
// only, and the cursor to go on from. It reads at most limit changes. A reader
// that is too late sees a gap.
func (l *Log) After(cursor Cursor, limit int) (Changes, Cursor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := max(uint64(cursor), l.dropped)
	changes := Changes{Gap: from > uint64(cursor)}
	last := make(map[uint64]bool)
	var order []uint64
	unread := l.changes[from-l.dropped:]
	unread = unread[:min(limit, len(unread))]
	for _, change := range unread {
		if change.Gap {
			changes.Gap = true
			continue
		}
		if _, seen := last[change.Hash]; !seen {
			order = append(order, change.Hash)
		}
		last[change.Hash] = change.Stored
	}
	for _, hash := range order {
		if last[hash] {
			changes.Cached = append(changes.Cached, hash)
		} else {
			changes.Evicted = append(changes.Evicted, hash)
		}
	}
	return changes, Cursor(from + uint64(len(unread)))
}
