package bhcrash

import (
	"slices"
	"sync"
	"time"
)

const (
	// abandonedTime is how long a run counts after it was given up. It covers the time
	// until an upstream that has crashed is listed with a new start.
	abandonedTime = 6 * time.Second
	// maxAbandoned bounds the runs that are kept. The oldest one makes room.
	maxAbandoned = 4096
)

// AbandonedRun is a run of a request whose sender gave it up while the upstream may have gone
// on with it.
type AbandonedRun[T any] struct {
	Upstream    Source
	Address     string
	AbandonedAt time.Time
	// Traits are those of the request that no complete answer has cleared since.
	Traits Traits
	// Run is what the sender knows of the run.
	Run T
}

// Abandoned remembers the runs that were given up, since nothing tells their sender that the
// upstream ended under them. It is safe for concurrent use.
type Abandoned[T any] struct {
	mu sync.Mutex
	// runs is in the order of AbandonedAt, counts the number of them by digest.
	runs   []AbandonedRun[T]
	counts map[string]int
}

// Add remembers a run that was given up now.
func (a *Abandoned[T]) Add(run AbandonedRun[T]) {
	a.mu.Lock()
	defer a.mu.Unlock()
	run.AbandonedAt = time.Now()
	a.prune()
	if len(a.runs) >= maxAbandoned {
		a.forgetOldest()
	}
	a.runs = append(a.runs, run)
	a.count(run.Traits, 1)
}

// Whole clears the traits of a request that another upstream has answered completely.
func (a *Abandoned[T]) Whole(traits Traits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cleared := slices.DeleteFunc(traits.All(), func(digest string) bool { return a.counts[digest] == 0 })
	if len(cleared) == 0 {
		return
	}
	a.takeLocked(func(run *AbandonedRun[T]) bool {
		a.count(run.Traits, -1)
		run.Traits = run.Traits.without(cleared)
		a.count(run.Traits, 1)
		return len(run.Traits.All()) == 0
	})
}

// count adds the change to the counts of the digests. The caller holds a.mu.
func (a *Abandoned[T]) count(traits Traits, change int) {
	if a.counts == nil {
		a.counts = make(map[string]int)
	}
	for _, digest := range traits.All() {
		if a.counts[digest] += change; a.counts[digest] == 0 {
			delete(a.counts, digest)
		}
	}
}

// Ended returns the runs that the end of a start at the time may be due to, and forgets all
// that were given up there. What crashes upstreams does so soon.
func (a *Abandoned[T]) Ended(upstream Source, at time.Time) []AbandonedRun[T] {
	runs := a.take(func(run *AbandonedRun[T]) bool { return run.Upstream == upstream })
	return slices.DeleteFunc(runs, func(run AbandonedRun[T]) bool { return at.Sub(run.AbandonedAt) > soonTime })
}

// EndedBefore is Ended for a start that ended at an unknown time.
func (a *Abandoned[T]) EndedBefore(upstream Source) []AbandonedRun[T] {
	return a.take(func(run *AbandonedRun[T]) bool { return run.Upstream == upstream })
}

// Listed is what the list of upstreams says of an address: which start uses it, and whether
// that start is ready rather than leaving.
type Listed struct {
	Upstream Source
	Ready    bool
}

// Replaced returns the runs at starts whose address a later start uses, and forgets them and
// those at starts that are leaving, which end anyway. The function returns false for an
// address that isn't listed.
func (a *Abandoned[T]) Replaced(at func(address string) (Listed, bool)) []AbandonedRun[T] {
	leaving := make(map[Source]bool)
	replaced := a.take(func(run *AbandonedRun[T]) bool {
		listed, ok := at(run.Address)
		if ok && listed.Upstream == run.Upstream && !listed.Ready {
			leaving[run.Upstream] = true
		}
		return ok && listed.Upstream != run.Upstream && listed.Upstream.Incarnation > run.Upstream.Incarnation
	})
	a.take(func(run *AbandonedRun[T]) bool { return leaving[run.Upstream] })
	return replaced
}

// take returns the matching runs and forgets them, and those that are too old.
func (a *Abandoned[T]) take(matches func(run *AbandonedRun[T]) bool) []AbandonedRun[T] {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.takeLocked(matches)
}

// takeLocked is take for callers that hold a.mu.
func (a *Abandoned[T]) takeLocked(matches func(run *AbandonedRun[T]) bool) []AbandonedRun[T] {
	a.prune()
	var taken []AbandonedRun[T]
	kept := a.runs[:0]
	for _, run := range a.runs {
		if matches(&run) {
			a.count(run.Traits, -1)
			taken = append(taken, run)
			continue
		}
		kept = append(kept, run)
	}
	clear(a.runs[len(kept):])
	a.runs = kept
	return taken
}

// prune forgets the runs that were given up too long ago. The caller holds a.mu.
func (a *Abandoned[T]) prune() {
	for len(a.runs) > 0 && time.Since(a.runs[0].AbandonedAt) > abandonedTime {
		a.forgetOldest()
	}
}

func (a *Abandoned[T]) forgetOldest() {
	a.count(a.runs[0].Traits, -1)
	a.runs = a.runs[1:]
}
