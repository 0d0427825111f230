package bhcrash

import "sync"

// Tracker tracks the requests that run on one upstream, to find those that a
// crash affected: the requests of one crash are told apart from requests that
// start after it. It is safe for concurrent use.
type Tracker[K comparable] struct {
	mutex   sync.Mutex
	running map[K]struct{}
	// othersAtCrash is, for each running request that was on the upstream when
	// it crashed, the number of other requests on it at that time.
	othersAtCrash map[K]int
}

// NewTracker returns a Tracker of an idle upstream.
func NewTracker[K comparable]() *Tracker[K] {
	return &Tracker[K]{running: make(map[K]struct{}), othersAtCrash: make(map[K]int)}
}

// Start records that a request is about to be sent to the upstream.
func (t *Tracker[K]) Start(id K) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running[id] = struct{}{}
}

// Finish records that a request has ended.
func (t *Tracker[K]) Finish(id K) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.running, id)
	delete(t.othersAtCrash, id)
}

// RecordFailure records that the upstream crashed while it ran the request, and
// returns the number of other requests on the upstream at the crash. All
// requests that run at the first call are counted in the same crash, so later
// calls for them return the same number although requests have ended since.
func (t *Tracker[K]) RecordFailure(id K) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if recorded, ok := t.othersAtCrash[id]; ok {
		return recorded
	}
	others := 0
	for runningID := range t.running {
		if runningID != id {
			others++
		}
	}
	for runningID := range t.running {
		t.othersAtCrash[runningID] = others
	}
	return others
}
