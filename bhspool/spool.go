// Package bhspool bounds what a process holds in memory for its clients: answers that
// they haven't read yet, and requests that wait for an upstream. It decides who may hold
// more and who has to yield, without sockets or goroutines. Gateways call it.
package bhspool

import (
	"sync"
	"time"
)

const (
	// Guaranteed is what each holding gets, in bytes, however full the budget is. It
	// takes the events that a stream produces in some seconds.
	Guaranteed = 16 << 10
	// maxShare is the part of the budget, as its inverse, that one holding may take.
	maxShare = 4
	// openShare is the part of the budget, as its inverse, that is open to holdings of more
	// than an equal share. The rest is for those whose clients keep up.
	openShare = 2
	// LeastProgress is what a client has to read in each StallTimeout, in bytes, or all
	// that is held for it if that is less. Clients that read more slowly are stalled.
	LeastProgress = 8 << 10
	// StallTimeout is longer than clients wait for an answer that is being produced.
	StallTimeout = 20 * time.Second
	// yieldAfter is the time without progress after which a holding yields to others
	// if the budget is full. Sound clients read something in each such time.
	yieldAfter = 2 * time.Second
)

// Outcome is the decision about more memory.
type Outcome int

// Outcomes of Holding.Grow.
const (
	// Granted allows the memory.
	Granted Outcome = iota
	// Wait denies it for now: the holding or the others have to shrink first.
	Wait
	// Yielded denies it for good: the holding gave way to others.
	Yielded
)

// Config configures a Budget.
type Config struct {
	// Total is what all holdings together may hold, in bytes, beyond Guaranteed each.
	Total int64
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Usage is what a Budget holds.
type Usage struct {
	Holdings int
	// Bytes is what all holdings hold, Shared the part of it that counts toward the total.
	Bytes  int64
	Shared int64
	// Yielded counts the holdings that gave way, Denied the requests for memory that were
	// denied.
	Yielded int64
	Denied  int64
}

// Budget is the memory that a process may hold for its clients. It is safe for concurrent
// use.
type Budget struct {
	config Config

	mu       sync.Mutex
	usage    Usage
	holdings map[*Holding]struct{}
}

// New returns a budget of which nothing is held.
func New(config Config) *Budget {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Budget{config: config, holdings: make(map[*Holding]struct{})}
}

// Usage returns what is held now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.usage
	usage.Holdings = len(b.holdings)
	return usage
}

// Full reports whether a new holding of the bytes would have to wait, unless others yield.
func (b *Budget) Full(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage.Shared+max(0, bytes-Guaranteed) > b.config.Total
}

// Open returns a holding without memory. The caller closes it. It calls yield, which must
// not block or call the budget, at most once, if the holding has to give way to others:
// its owner then drops what it holds and closes it.
func (b *Budget) Open(yield func()) *Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	h := &Holding{budget: b, yield: yield, progressAt: now, windowAt: now}
	b.holdings[h] = struct{}{}
	return h
}

// OpenBody returns a holding without memory for the body of a request, which may take all and
// doesn't yield. The caller closes it.
func (b *Budget) OpenBody() *Holding {
	h := b.Open(func() {})
	h.body = true
	return h
}

// makeRoom has the holding yield that kept most for the longest time without progress. It
// reports whether there was one besides asker. The caller holds b.mu.
func (b *Budget) makeRoom(asker *Holding, now time.Time) bool {
	var worst *Holding
	var most float64
	for h := range b.holdings {
		idle := now.Sub(h.progressAt)
		if h == asker || !h.reading || idle < yieldAfter || h.shared() == 0 {
			continue
		}
		if held := float64(h.bytes) * idle.Seconds(); held > most {
			worst, most = h, held
		}
	}
	if worst == nil {
		return false
	}
	b.usage.Yielded++
	b.release(worst)
	worst.yielded = true
	worst.yield()
	return true
}

// release takes what the holding holds off the budget. The caller holds b.mu.
func (b *Budget) release(h *Holding) {
	b.usage.Bytes -= h.bytes
	b.usage.Shared -= h.shared()
	h.bytes = 0
	delete(b.holdings, h)
}

// Holding is what a process holds for one client.
type Holding struct {
	budget *Budget
	yield  func()
	body   bool

	// The budget's mu guards the fields below.

	bytes   int64
	yielded bool
	// reading is set while a client has something to read.
	reading bool
	// progressAt is when the client last read something, or got something to read after
	// it had read all.
	progressAt time.Time
	// windowAt is when the present window of the least progress began, read what the
	// client has read in it, and due what it has to read in it, in bytes.
	windowAt time.Time
	read     int64
	due      int64
}

// shared returns the part of the holding that counts toward the budget's total.
func (h *Holding) shared() int64 { return max(0, h.bytes-Guaranteed) }

// limit returns up to which bytes of all holdings this one may grow to the shared bytes. A
// request's body, and what comes in one, may take all. The caller holds the budget's mu.
func (h *Holding) limit(shared int64) int64 {
	total := h.budget.config.Total
	switch {
	case h.body || h.bytes == 0:
		return total
	case shared > total/maxShare:
		return 0
	case shared <= total/int64(len(h.budget.holdings)):
		return total
	}
	return total / openShare
}

// Grow asks for more memory, in bytes. If the budget is full, holdings whose clients make
// no progress yield to those of less than an equal share and to new ones.
func (h *Holding) Grow(bytes int64) Outcome {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.yielded {
		return Yielded
	}
	more := max(0, h.bytes+bytes-Guaranteed) - h.shared()
	now := h.budget.config.Now()
	limit := h.limit(h.shared() + more)
	for more > 0 && h.budget.usage.Shared+more > limit {
		if limit < h.budget.config.Total || !h.budget.makeRoom(h, now) {
			h.budget.usage.Denied++
			return Wait
		}
	}
	h.bytes += bytes
	h.budget.usage.Bytes += bytes
	h.budget.usage.Shared += more
	return Granted
}

// Offer records that the client has what is held to read from now on.
func (h *Holding) Offer() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.reading {
		h.reading = true
		h.progressAt = h.budget.config.Now()
		h.startWindow(h.progressAt)
	}
}

// Read records that the client read bytes of what was held, which are freed.
func (h *Holding) Read(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.yielded {
		return
	}
	before := h.shared()
	h.bytes -= bytes
	h.budget.usage.Bytes -= bytes
	h.budget.usage.Shared -= before - h.shared()
	now := h.budget.config.Now()
	h.progressAt = now
	h.read += bytes
	h.reading = h.bytes > 0
	if h.read >= h.due {
		h.startWindow(now)
	}
}

// startWindow begins a window in which the client has to make the least progress. The
// caller holds the budget's mu.
func (h *Holding) startWindow(now time.Time) {
	h.windowAt, h.read = now, 0
	h.due = min(h.bytes, LeastProgress)
}

// Deadline returns when the client is stalled, unless it reads on.
func (h *Holding) Deadline() time.Time {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.windowAt.Add(StallTimeout)
}

// Yielded reports whether the holding gave way to others.
func (h *Holding) Yielded() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.yielded
}

// Close frees what is held. It may be called again.
func (h *Holding) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if _, open := h.budget.holdings[h]; open {
		h.budget.release(h)
	}
}
