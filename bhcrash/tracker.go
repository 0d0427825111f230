package bhcrash

import "sync"

// Tracker tracks the requests that run on one upstream, to find those that a crash
// affected: the requests of one crash are told apart from requests that start
// after it. It is safe for concurrent use.
type Tracker[K comparable] struct {
	mutex   sync.Mutex
	running map[K]struct{}
	// othersAtCrash is, for each running request that was on the upstream when
	// it crashed, the number of other requests on it at that time.
	othersAtCrash map[K]int
}

// NewTracker returns a Watch of an idle upstream.
func NewTracker[K comparable]() *Tracker[K] {
	return &Tracker[K]{running: make(map[K]struct{}), othersAtCrash: make(map[K]int)}
}

// Start records that a request is about to be sent to the upstream.
func (w *Tracker[K]) Start(id K) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running[id] = struct{}{}
}

// Finish records that a request has ended.
func (w *Tracker[K]) Finish(id K) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.running, id)
	delete(w.othersAtCrash, id)
}

// RecordFailure records that the upstream crashed while it ran the request, and returns
// the number of other requests on the upstream at the crash. All requests that
// run at the first call are counted in the same crash, so later calls for them
// return the same number although requests have ended since.
func (w *Tracker[K]) RecordFailure(id K) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if recorded, ok := w.othersAtCrash[id]; ok {
		return recorded
	}
	others := 0
	for runningID := range w.running {
		if runningID != id {
			others++
		}
	}
	for runningID := range w.running {
		w.othersAtCrash[runningID] = others
	}
	return others
}
