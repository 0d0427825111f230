// Package bhcache tracks the contents of engines' prefix caches, so that entries
// can route a request to an engine that has cached the start of its prompt. The
// sidecar (bhsidecar) follows its engines' events, and the entry (bhentry)
// samples the block hashes of requests.
package bhcache

import "sync"

const (
	// SampleEvery is the sampling ratio: one in SampleEvery block hashes is
	// reported. All processes select the same hashes, so that sampled hashes of
	// requests and caches can be compared.
	SampleEvery = 8
	// LogSize is the number of latest changes that a Log always keeps.
	LogSize = 4096
)

// Sample returns the sampled hashes among those given, in the same order.
func Sample(hashes []uint64) []uint64 {
	var sampled []uint64
	for _, hash := range hashes {
		if Sampled(hash) {
			sampled = append(sampled, hash)
		}
	}
	return sampled
}

// Sampled reports whether the hash belongs to the sample.
func Sampled(hash uint64) bool { return hash%SampleEvery == 0 }

// Change is a block that was stored in or evicted from a cache, or a gap where
// changes were lost.
type Change struct {
	Hash uint64
	// Stored is true for a stored block and false for an evicted one.
	Stored bool
	// Gap marks lost changes; the other fields are then zero.
	Gap bool
}

// Changes is the net effect of the changes in a Log after a cursor: the hashes of
// blocks now cached and of those now evicted.
type Changes struct {
	Cached  []uint64
	Evicted []uint64
	// Gap reports that some changes after the cursor were lost.
	Gap bool
}

// Empty reports whether there are no changes and no gap.
func (c Changes) Empty() bool { return len(c.Cached) == 0 && len(c.Evicted) == 0 && !c.Gap }

// Cursor is a reader's position in a Log: the number of changes before it. The
// zero Cursor is the start of the Log.
type Cursor uint64

// Log keeps the latest changes of one cache for independent readers, each with
// its own Cursor. The zero Log is empty and ready to use. It is safe for
// concurrent use.
type Log struct {
	mu      sync.Mutex
	changes []Change
	// dropped is the number of changes removed from the start of the log.
	dropped uint64
}

// Add appends a change. When the log reaches 2*LogSize changes, it drops the
// oldest LogSize.
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

// After returns the changes after the cursor, with only the last state of each
// block, and the cursor for the next call. It reads at most limit changes. It
// reports a gap if changes after the cursor have been dropped or if a change that
// it read is a gap.
func (l *Log) After(cursor Cursor, limit int) (Changes, Cursor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := max(uint64(cursor), l.dropped)
	changes := Changes{Gap: start > uint64(cursor)}
	lastStored := make(map[uint64]bool)
	var order []uint64
	unread := l.changes[start-l.dropped:]
	unread = unread[:min(limit, len(unread))]
	for _, change := range unread {
		if change.Gap {
			changes.Gap = true
			continue
		}
		if _, seen := lastStored[change.Hash]; !seen {
			order = append(order, change.Hash)
		}
		lastStored[change.Hash] = change.Stored
	}
	for _, hash := range order {
		if lastStored[hash] {
			changes.Cached = append(changes.Cached, hash)
		} else {
			changes.Evicted = append(changes.Evicted, hash)
		}
	}
	return changes, Cursor(start + uint64(len(unread)))
}
