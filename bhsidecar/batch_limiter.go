package bhsidecar

import (
	"slices"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhpace"
)

// slowForwardTime is the time spent on forwarding a chunk from which on the
// interval to the next chunk is not attributed to the engine.
const slowForwardTime = 5 * time.Millisecond

// batchLimiter limits the batch items on one engine and preempts them for live
// requests. It is safe for concurrent use.
type batchLimiter struct {
	pacer *bhpace.Pacer

	mu sync.Mutex
	// active are the slots of the batch items on the engine, oldest first.
	active []*batchSlot
	// changed is closed when the limiter may allow another batch item.
	changed chan struct{}
}

// newBatchLimiter returns the limiter of an engine with the given number of
// slots. rise is the allowed rise of the live token intervals; see
// bhpace.Config.
func newBatchLimiter(slots int, rise float64) *batchLimiter {
	return &batchLimiter{pacer: bhpace.New(bhpace.Config{Slots: slots, Rise: rise}), changed: make(chan struct{})}
}

// signalChange wakes the batch runners that wait for a slot, so that they try
// again.
func (l *batchLimiter) signalChange() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signalChangeLocked()
}

func (l *batchLimiter) signalChangeLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// nextChange returns a channel that is closed when the limiter may allow
// another batch item.
func (l *batchLimiter) nextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// tryStart takes a slot for a batch item from the upstream's queue. It returns
// nil if the pacer allows no further item or the queue has no free slot.
func (l *batchLimiter) tryStart(upstream *upstream) *batchSlot {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.pacer.MayStart(len(l.active)) {
		return nil
	}
	queueSlot, _ := upstream.admission.tryAcquireBatch()
	if queueSlot == nil {
		return nil
	}
	l.pacer.BatchStarted()
	slot := &batchSlot{queueSlot: queueSlot, upstream: upstream}
	l.active = append(l.active, slot)
	return slot
}

// finishPrefill records that the prompt of a batch item is no longer processed:
// the item has its first token, or ended without one. Later calls do nothing.
func (l *batchLimiter) finishPrefill(slot *batchSlot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishPrefillLocked(slot)
}

func (l *batchLimiter) finishPrefillLocked(slot *batchSlot) {
	if !slot.prefillDone {
		slot.prefillDone = true
		l.pacer.BatchPrefillEnded()
		l.signalChangeLocked()
	}
}

// remove ends the item's prefill, if it has not ended, and removes its slot.
func (l *batchLimiter) remove(slot *batchSlot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishPrefillLocked(slot)
	l.active = slices.DeleteFunc(l.active, func(candidate *batchSlot) bool { return candidate == slot })
	l.signalChangeLocked()
}

// beginLive records a live request and returns its monitor. It preempts the
// batch items without a first token, so that the engine processes the live
// prompt before theirs, and the most recent items in excess of the pacer's
// limit.
func (l *batchLimiter) beginLive() *liveMonitor {
	l.pacer.LiveStarted()
	l.mu.Lock()
	defer l.mu.Unlock()
	excess := len(l.active) - l.pacer.Limit()
	for _, slot := range slices.Backward(l.active) {
		if !slot.prefillDone || excess > 0 {
			slot.preempt()
			excess--
		}
	}
	return &liveMonitor{limiter: l}
}

func (l *batchLimiter) activeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.active)
}

// liveMonitor reports the token intervals of one live request to the pacer.
// Each chunk of the answer counts as one token.
type liveMonitor struct {
	limiter       *batchLimiter
	hasFirstToken bool
	// receivedAt and forwardedAt are when the latest chunk was received and
	// forwarded.
	receivedAt, forwardedAt time.Time
}

// chunkReceived records a chunk of the answer. The interval since the previous
// chunk is reported only if forwarding that chunk took less than
// maxForwardTime.
func (m *liveMonitor) chunkReceived(now time.Time) {
	if !m.hasFirstToken {
		m.hasFirstToken = true
		m.limiter.pacer.LiveFirstToken()
		m.limiter.signalChange()
	} else if m.forwardedAt.Sub(m.receivedAt) < slowForwardTime {
		m.limiter.pacer.ObserveTokenInterval(now.Sub(m.receivedAt), m.limiter.activeCount())
	}
	m.receivedAt = now
}

// chunkForwarded records that the latest chunk was forwarded.
func (m *liveMonitor) chunkForwarded(now time.Time) { m.forwardedAt = now }

// end records the end of the request.
func (m *liveMonitor) end() {
	m.limiter.pacer.LiveEnded(m.hasFirstToken)
	m.limiter.signalChange()
}
