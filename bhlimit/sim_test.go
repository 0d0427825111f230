package bhlimit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

const step = 10 * time.Millisecond

// policy is one way of holding limits, driven by a sim.
type policy interface {
	take(now time.Time, host int, account string) bool
}

// simMessage is a message in flight. It waits while its receiver is frozen.
type simMessage struct {
	at       time.Time
	from, to int
	start    uint64
	Message
}

// simOp is an operation of the table in flight.
type simOp struct {
	sent, reply time.Time
	host        int
	start       uint64
	effect      time.Time
	write       *Epoch
	expect      int64
	result      *Epoch
	lost        bool
}

type simRequest struct {
	retried  bool
	account  string
	deadline time.Time
}

type simHost struct {
	node    *Node
	start   uint64
	dead    bool
	frozen  time.Time
	cut     time.Time
	blind   time.Time
	version int
	busy    bool
	read    time.Time
	vote    time.Time
	tick    time.Time
	waiting []simRequest
}

// sim runs nodes in simulated time with a table and links that fail.
type sim struct {
	now     time.Time
	terms   Terms
	rand    *rand.Rand
	hosts   []*simHost
	limits  []map[string]Limit
	flight  []simMessage
	ops     []*simOp
	row     Epoch
	down    time.Time
	slow    time.Time
	loss    float64
	delay   time.Duration
	starts  uint64
	writes  int
	sent    int
	bytes   int
	weigh   bool
	checks  map[string]*checker
	refused map[string]int
	wrong   map[string]int
	asked   map[string]int
	pairs   map[[2]int]time.Time
	held    []time.Time
	decide  policy
}

func newSim(size int, terms Terms, limits map[string]Limit, seed uint64) *sim {
	s := &sim{
		now: time.Unix(1_000_000, 0), terms: terms, rand: rand.New(rand.NewPCG(seed, 1)),
		limits: []map[string]Limit{limits}, delay: time.Millisecond, starts: 1000,
		checks: map[string]*checker{}, refused: map[string]int{}, wrong: map[string]int{},
		asked: map[string]int{}, pairs: map[[2]int]time.Time{}, held: make([]time.Time, 1),
	}
	for account := range limits {
		s.checks[account] = &checker{last: s.now}
	}
	for range size {
		s.hosts = append(s.hosts, &simHost{dead: true})
	}
	for i := range size {
		s.restart(i)
	}
	return s
}

func (s *sim) name(i int) string { return string(rune('a' + i)) }

func (s *sim) restart(i int) {
	s.starts++
	latest := len(s.limits) - 1
	node := NewNode(NodeConfig{Self: Member{Host: s.name(i), Start: s.starts}, Terms: s.terms})
	node.Configure(s.now, s.limits[latest])
	s.hosts[i] = &simHost{node: node, start: s.starts, version: latest}
}

func (s *sim) kill(i int) { s.hosts[i].dead = true }

// running reports whether the host executes now.
func (s *sim) running(i int) bool {
	h := s.hosts[i]
	return !h.dead && !s.now.Before(h.frozen)
}

func (s *sim) send(from int, out []Message) {
	for _, m := range out {
		s.sent++
		if s.weigh {
			s.bytes += size(m)
		}
		to := int(m.Host[0] - 'a')
		if s.rand.Float64() < s.loss || s.apart(from, to) {
			continue
		}
		delay := s.delay
		if s.loss > 0 {
			delay += time.Duration(s.rand.Int64N(int64(60 * time.Millisecond)))
			if s.rand.Float64() < 0.02 {
				delay += time.Duration(s.rand.Int64N(int64(4 * time.Second)))
			}
		}
		flight := simMessage{at: s.now.Add(delay), from: from, to: to, start: s.hosts[to].start, Message: m}
		s.flight = append(s.flight, flight)
		if s.rand.Float64() < s.loss/2 {
			s.flight = append(s.flight, flight)
		}
	}
}

func (s *sim) apart(a, b int) bool {
	pair := [2]int{min(a, b), max(a, b)}
	return s.now.Before(s.hosts[a].cut) || s.now.Before(s.hosts[b].cut) || s.now.Before(s.pairs[pair])
}

// advance runs one step.
func (s *sim) advance() {
	s.now = s.now.Add(step)
	s.note()
	s.table()
	s.deliver()
	for i := range s.hosts {
		if s.running(i) {
			s.drive(i)
		}
	}
}

// note records which configurations a host may still act on.
func (s *sim) note() {
	for _, h := range s.hosts {
		if !h.dead {
			s.held[h.version] = s.now
		}
	}
}

func (s *sim) deliver() {
	var due []simMessage
	s.flight = slices.DeleteFunc(s.flight, func(m simMessage) bool {
		h := s.hosts[m.to]
		if h.dead || h.start != m.start {
			return true
		}
		if m.at.After(s.now) || !s.running(m.to) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		node := s.hosts[m.to].node
		if m.Vote != nil {
			s.send(m.to, node.ReceiveVote(s.now, *m.Vote))
		} else {
			s.send(m.to, node.ReceiveGrant(s.now, s.name(m.from), *m.Grant))
		}
	}
}

func (s *sim) drive(i int) {
	h := s.hosts[i]
	s.retry(i)
	if h.version != len(s.limits)-1 && s.rand.Float64() < 0.01 {
		h.version = len(s.limits) - 1
		h.node.Configure(s.now, s.limits[h.version])
	}
	if s.now.Sub(h.vote) >= VoteInterval {
		h.vote = s.now
		names := make([]string, 0, len(s.hosts))
		for j := range s.hosts {
			names = append(names, s.name(j))
		}
		s.send(i, h.node.Ask(s.now, names))
	}
	if s.now.Sub(h.tick) >= TickInterval {
		h.tick = s.now
		s.send(i, h.node.Tick(s.now))
		if epoch, ok := h.node.Plan(s.now); ok && !h.busy {
			s.operate(&simOp{host: i, write: &epoch, expect: h.node.Epoch()})
		}
	}
	if s.now.Sub(h.read) >= ReadInterval && !h.busy {
		h.read = s.now
		s.operate(&simOp{host: i})
	}
}

func (s *sim) operate(op *simOp) {
	h := s.hosts[op.host]
	op.sent, op.start = s.now, h.start
	if op.write != nil {
		s.writes++
	}
	if s.now.Before(s.down) || s.now.Before(h.blind) {
		return
	}
	h.busy = true
	wait := 2 * time.Millisecond
	if s.now.Before(s.slow) {
		wait = time.Duration(s.rand.Int64N(int64(4 * time.Second)))
	}
	op.effect = s.now.Add(time.Duration(s.rand.Int64N(int64(wait))))
	op.reply = s.now.Add(wait)
	op.lost = s.loss > 0 && s.rand.Float64() < 0.2
	s.ops = append(s.ops, op)
}

// table applies operations at their effect and replies at their reply.
func (s *sim) table() {
	s.ops = slices.DeleteFunc(s.ops, func(op *simOp) bool {
		if !op.effect.IsZero() && !op.effect.After(s.now) {
			s.apply(op)
			op.effect = time.Time{}
		}
		h := s.hosts[op.host]
		if h.start != op.start || h.dead {
			return op.effect.IsZero()
		}
		if !op.effect.IsZero() || op.reply.After(s.now) || !s.running(op.host) {
			return false
		}
		h.busy = false
		if op.result != nil && !op.lost {
			h.node.Read(s.now, op.sent, *op.result)
		}
		return true
	})
}

func (s *sim) apply(op *simOp) {
	if op.write != nil {
		if s.row.Number != op.expect {
			return
		}
		s.row = *op.write
		s.row.Number = op.expect + 1
	}
	if s.row.Number > 0 {
		row := s.row
		op.result = &row
	}
}

// request sends one request to the host. A refusal is final once no answer is
// awaited or the wait is over.
func (s *sim) request(i int, account string) {
	s.asked[account]++
	if s.decide != nil {
		s.record(account, s.decide.take(s.now, i, account))
		return
	}
	if h := s.hosts[i]; !h.dead {
		h.waiting = append(h.waiting, simRequest{account: account, deadline: s.now.Add(DefaultWait)})
		if s.running(i) {
			s.retry(i)
		}
	}
}

func (s *sim) retry(i int) {
	h := s.hosts[i]
	var left []simRequest
	waiting := map[string]float64{}
	for _, r := range h.waiting {
		waiting[r.account]++
	}
	for _, r := range h.waiting {
		take := h.node.Take
		if r.retried {
			take = h.node.Retry
		}
		r.retried = true
		if take(s.now, r.account, 1).OK {
			waiting[r.account]--
			s.record(r.account, true)
			continue
		}
		out, pending := h.node.Want(s.now, r.account, waiting[r.account])
		s.send(i, out)
		if pending && s.now.Before(r.deadline) {
			left = append(left, r)
			continue
		}
		waiting[r.account]--
		s.record(r.account, false)
	}
	h.waiting = left
	for _, account := range sortedKeys(waiting) {
		cost := waiting[account]
		if cost == 0 {
			s.send(i, h.node.Finish(s.now, account))
		}
	}
}

func (s *sim) record(account string, ok bool) {
	limit := s.bound(account)
	c := s.checks[account]
	if ok {
		c.admit(s.now, limit)
		return
	}
	s.refused[account]++
	if c.within(s.now, limit) {
		s.wrong[account]++
	}
}

// bound returns the highest limit that any host may act on now, and the
// highest burst of the whole run.
func (s *sim) bound(account string) Limit {
	var most Limit
	for version, limits := range s.limits {
		limit := limits[account]
		most.Burst = max(most.Burst, limit.Burst)
		if s.now.Sub(s.held[version]) <= s.terms.Loan+time.Second {
			most.Rate = max(most.Rate, limit.Rate)
		}
	}
	return most
}

// checker tests the bound of every window at once: level is the largest
// excess of any window that ends at last over what its length allows.
type checker struct {
	last  time.Time
	level float64
	over  float64
}

func (c *checker) admit(now time.Time, limit Limit) {
	c.level = max(0, c.level-limit.Rate*now.Sub(c.last).Seconds()) + 1
	c.last = now
	c.over = max(c.over, c.level-limit.Burst)
}

// within reports whether one more request would be within the limit.
func (c *checker) within(now time.Time, limit Limit) bool {
	level := max(0, c.level-limit.Rate*now.Sub(c.last).Seconds())
	return level+1 <= limit.Burst
}

func size(m Message) int {
	var frame bhwire.Frame
	if m.Vote != nil {
		frame, _ = bhwire.Encode(bhwire.KindVote, 0, m.Vote)
	} else {
		frame, _ = bhwire.Encode(bhwire.KindGrant, 0, m.Grant)
	}
	data, _ := bhwire.AppendFrame(nil, frame)
	return len(data)
}
