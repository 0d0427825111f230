package bhsidecar

import (
	"slices"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhpace"
)

// sendLimit is the time that passing a piece on may take for the next time
// between pieces to be the engine's.
const sendLimit = 5 * time.Millisecond

// aside makes batch items on one engine step aside for live requests.
type aside struct {
	pacer *bhpace.Pacer

	mu     sync.Mutex
	places []*batchPlace
	// changed is closed when another batch item may be allowed.
	changed chan struct{}
}

func newAside(slots int, rise float64) *aside {
	return &aside{pacer: bhpace.New(bhpace.Config{Slots: slots, Rise: rise}), changed: make(chan struct{})}
}

// wake makes those look again who wait for a place.
func (a *aside) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeLocked()
}

func (a *aside) wakeLocked() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// changes returns the channel that is closed at the next change.
func (a *aside) changes() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// start takes a place for a batch item from the upstream's queue, if the pacer
// allows one more.
func (a *aside) start(upstream *upstream) *batchPlace {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.pacer.MayStart(len(a.places)) {
		return nil
	}
	place, _ := upstream.admission.tryOffer()
	if place == nil {
		return nil
	}
	a.pacer.BatchStart()
	item := &batchPlace{place: place, upstream: upstream}
	a.places = append(a.places, item)
	return item
}

// begun notes the first token of a batch item, or its end without one.
func (a *aside) begun(item *batchPlace) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begunLocked(item)
}

func (a *aside) begunLocked(item *batchPlace) {
	if !item.first {
		item.first = true
		a.pacer.BatchFirst()
		a.wakeLocked()
	}
}

// end forgets a batch item.
func (a *aside) end(item *batchPlace) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begunLocked(item)
	a.places = slices.DeleteFunc(a.places, func(other *batchPlace) bool { return other == item })
	a.wakeLocked()
}

// arrive notes a live request and stops batch items that have no token yet, so
// that its prompt comes first, and the latest of those over the limit.
func (a *aside) arrive() *liveWatch {
	a.pacer.Arrive()
	a.mu.Lock()
	defer a.mu.Unlock()
	excess := len(a.places) - a.pacer.Limit()
	for _, item := range slices.Backward(a.places) {
		if !item.first || excess > 0 {
			item.preempt()
			excess--
		}
	}
	return &liveWatch{aside: a}
}

func (a *aside) batch() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.places)
}

// liveWatch reports the times between tokens of one live request.
type liveWatch struct {
	aside *aside
	first bool
	// last is when the latest piece came, sent when it was passed on.
	last, sent time.Time
}

// token notes a piece of the answer. The time since the piece before counts only
// if it was not spent on passing that one on.
func (w *liveWatch) token(now time.Time) {
	if !w.first {
		w.first = true
		w.aside.pacer.First()
		w.aside.wake()
	} else if w.sent.Sub(w.last) < sendLimit {
		w.aside.pacer.Observe(now.Sub(w.last), w.aside.batch())
	}
	w.last = now
}

// passed notes that the latest piece was passed on.
func (w *liveWatch) passed(now time.Time) { w.sent = now }

// end notes the end of the request.
func (w *liveWatch) end() {
	w.aside.pacer.Leave(w.first)
	w.aside.wake()
}
