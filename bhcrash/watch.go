package bhcrash

import "sync"

// Watch knows what runs on one upstream, so that the requests of one crash are
// told apart from those that come after it. It is safe for concurrent use.
type Watch[K comparable] struct {
	mutex   sync.Mutex
	running map[K]struct{}
	shared  map[K]int
}

// NewWatch returns a watch of an idle upstream.
func NewWatch[K comparable]() *Watch[K] {
	return &Watch[K]{running: make(map[K]struct{}), shared: make(map[K]int)}
}

// Enter records that a request is about to be sent to the upstream.
func (w *Watch[K]) Enter(id K) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running[id] = struct{}{}
}

// Leave records the end of a request.
func (w *Watch[K]) Leave(id K) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.running, id)
	delete(w.shared, id)
}

// Failed records that the upstream broke off the request, and returns how many
// others were on it. All that run are taken to be in the same crash, so the
// number doesn't fall as they end one after another.
func (w *Watch[K]) Failed(id K) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if shared, ok := w.shared[id]; ok {
		return shared
	}
	others := 0
	for other := range w.running {
		if other != id {
			others++
		}
	}
	for other := range w.running {
		w.shared[other] = others
	}
	return others
}
