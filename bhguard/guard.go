package bhguard

import (
	"container/list"
	"sync"
	"time"
)

const (
	// patience is how long a connection may bring nothing whole before it ends in favour of
	// others rather than one that has served a request and is idle.
	patience = time.Second
	// leastPatience is how long it may do so in any case, so that clients which connect at once,
	// as after an outage, don't end each other.
	leastPatience = 250 * time.Millisecond
)

// phase is what a connection does.
type phase int

const (
	// pending connections have brought no whole request yet.
	pending phase = iota
	// working connections have a request in flight.
	working
	// stalled ones have one too, whose caller doesn't read the answer.
	stalled
	// idle connections wait for the next request.
	idle
)

// Usage is what the connections of a pool hold.
type Usage struct {
	Connections int
	// Heads is the memory for heads that counts toward the total, in bytes.
	Heads int64
	// Ended counts the connections that ended in favour of others, Refused those that were not
	// accepted, Denied the requests for memory that were denied.
	Ended   int64
	Refused int64
	Denied  int64
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Heads bounds the memory for heads beyond GuaranteedHead each, in bytes; zero means no bound.
	Heads int64
}

// Pool is the memory that all ports of a process share for the heads of requests. It is safe for
// concurrent use, and so are its guards and their connections.
type Pool struct {
	config PoolConfig

	mu    sync.Mutex
	usage Usage
	// large has the pending connections that hold memory of the pool, the oldest request first.
	large list.List
}

// NewPool returns a pool of which nothing is held.
func NewPool(config PoolConfig) *Pool { return &Pool{config: config} }

// Usage returns what is held now.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage
}

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Connections bounds the number of open connections; zero means no bound.
	Connections int
	// EndWorking also ends connections with a request in flight in favour of others, and has none
	// wait, for ports whose requests take no time.
	EndWorking bool
}

// Guard decides about the connections of one port.
type Guard struct {
	pool   *Pool
	config GuardConfig

	// The pool's mu guards the fields below. Each list begins with the connection that has been
	// in its phase for the longest time.
	open   int
	phases [idle + 1]list.List
}

// NewGuard returns a guard without connections.
func (p *Pool) NewGuard(config GuardConfig) *Guard { return &Guard{pool: p, config: config} }

// Open returns a connection that was accepted, or nil if it has to be closed because all others
// have requests in flight and read their answers. To make room, Open ends another one. The
// connection is pending. Its owner calls Close once it is closed. The function end closes the
// connection and may be called at any time before.
func (g *Guard) Open(end func()) *Conn {
	g.pool.mu.Lock()
	now := time.Now()
	var victim *Conn
	if g.config.Connections > 0 && g.open >= g.config.Connections {
		victim = g.victim(now)
		if victim == nil {
			g.pool.usage.Refused++
			g.pool.mu.Unlock()
			return nil
		}
		victim.drop()
	}
	c := &Conn{guard: g, end: end}
	g.open++
	g.pool.usage.Connections++
	c.enter(pending, now)
	g.pool.mu.Unlock()
	if victim != nil {
		victim.end()
	}
	return c
}

// Full reports whether all connections that the port may have are open, so that each should end
// after its answer and give others their turn.
func (g *Guard) Full() bool {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	return g.config.Connections > 0 && g.open >= g.config.Connections
}

// Crowded reports whether a new connection has to wait, as Open would end one that hasn't had time
// to bring its request.
func (g *Guard) Crowded() bool {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	if g.config.EndWorking || g.config.Connections == 0 || g.open < g.config.Connections {
		return false
	}
	now := time.Now()
	victim := g.victim(now)
	return victim != nil && victim.phase == pending && now.Sub(victim.since) < leastPatience
}

// victim returns the connection that ends in favour of a new one, or nil. The caller holds the
// pool's mu.
func (g *Guard) victim(now time.Time) *Conn {
	first := func(phase phase) *Conn {
		if element := g.phases[phase].Front(); element != nil {
			return element.Value.(*Conn)
		}
		return nil
	}
	slow := first(pending)
	if slow != nil && now.Sub(slow.since) >= patience {
		return slow
	}
	for _, phase := range []phase{idle, stalled} {
		if other := first(phase); other != nil {
			return other
		}
	}
	if slow == nil && g.config.EndWorking {
		return first(working)
	}
	return slow
}

// Conn is a connection of a caller.
type Conn struct {
	guard *Guard
	end   func()

	// The pool's mu guards the fields below.
	phase phase
	since time.Time
	// element is the connection's place in its phase; nil once it was dropped or closed.
	element *list.Element
	// large is its place in the pool's list of the same name, or nil.
	large *list.Element
	bytes int64
}

// Begin records that a request begins to arrive. It is called once for each request.
func (c *Conn) Begin() { c.change(pending) }

// Work records that the request has arrived.
func (c *Conn) Work() { c.change(working) }

// Stall records that the caller doesn't read the answer.
func (c *Conn) Stall() { c.change(stalled) }

// Rest records that the request was answered, and frees its memory.
func (c *Conn) Rest() { c.change(idle) }

func (c *Conn) change(phase phase) {
	c.guard.pool.mu.Lock()
	defer c.guard.pool.mu.Unlock()
	if c.element == nil || c.phase == phase && phase != pending {
		return
	}
	c.guard.phases[c.phase].Remove(c.element)
	if phase != pending {
		c.unlist()
	}
	if phase == idle {
		c.free()
	}
	c.enter(phase, time.Now())
}

// enter begins a phase. The caller holds the pool's mu.
func (c *Conn) enter(phase phase, now time.Time) {
	c.phase, c.since = phase, now
	c.element = c.guard.phases[phase].PushBack(c)
}

// Hold takes memory for the request's head, in bytes, and reports whether there is room. To make
// room, it ends connections whose heads have been arriving for longer.
func (c *Conn) Hold(bytes int64) bool {
	pool := c.guard.pool
	pool.mu.Lock()
	var ended []*Conn
	granted := c.hold(bytes, &ended)
	pool.mu.Unlock()
	for _, victim := range ended {
		victim.end()
	}
	return granted
}

// hold appends the connections that the caller, which holds the pool's mu, has to end.
func (c *Conn) hold(bytes int64, ended *[]*Conn) bool {
	pool := c.guard.pool
	if c.element == nil {
		return false
	}
	more := max(0, c.bytes+bytes-GuaranteedHead) - c.shared()
	for more > 0 && pool.config.Heads > 0 && pool.usage.Heads+more > pool.config.Heads {
		front := pool.large.Front()
		if front == nil {
			pool.usage.Denied++
			return false
		}
		oldest := front.Value.(*Conn)
		if oldest == c || c.phase == pending && c.since.Before(oldest.since) {
			pool.usage.Denied++
			return false
		}
		oldest.drop()
		*ended = append(*ended, oldest)
	}
	c.bytes += bytes
	pool.usage.Heads += more
	if more > 0 && c.phase == pending && c.large == nil {
		c.list()
	}
	return true
}

// list puts the connection into the pool's list of large ones by the age of its request. The
// caller holds the pool's mu.
func (c *Conn) list() {
	large := &c.guard.pool.large
	for other := large.Back(); other != nil; other = other.Prev() {
		if !c.since.Before(other.Value.(*Conn).since) {
			c.large = large.InsertAfter(c, other)
			return
		}
	}
	c.large = large.PushFront(c)
}

// unlist takes it from that list. The caller holds the pool's mu.
func (c *Conn) unlist() {
	if c.large != nil {
		c.guard.pool.large.Remove(c.large)
		c.large = nil
	}
}

// shared returns the part of the memory that counts toward the pool's.
func (c *Conn) shared() int64 { return max(0, c.bytes-GuaranteedHead) }

// free gives the memory back. The caller holds the pool's mu.
func (c *Conn) free() {
	c.guard.pool.usage.Heads -= c.shared()
	c.bytes = 0
}

// drop takes the connection out of all lists in favour of another one. The caller holds the
// pool's mu and calls end after it.
func (c *Conn) drop() {
	c.remove()
	c.guard.pool.usage.Ended++
}

func (c *Conn) remove() {
	c.unlist()
	c.free()
	c.guard.phases[c.phase].Remove(c.element)
	c.element = nil
	c.guard.open--
	c.guard.pool.usage.Connections--
}

// Close records that the connection is closed. It may be called again.
func (c *Conn) Close() {
	c.guard.pool.mu.Lock()
	defer c.guard.pool.mu.Unlock()
	if c.element != nil {
		c.remove()
	}
}
