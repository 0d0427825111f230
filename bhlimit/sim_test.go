package bhlimit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

// simStep is how far a sim advances its time at once.
const simStep = 10 * time.Millisecond

// limitScheme is a way of enforcing limits that a sim runs in place of its
// nodes, for comparison.
type limitScheme interface {
	// allow reports whether the host lets a request of the account run.
	allow(now time.Time, host int, account string) bool
}

// simMessage is a message in flight. Its arrival is delayed while the
// receiver is frozen.
type simMessage struct {
	arrival  time.Time
	from, to int
	// incarnation is the receiver's when the message was sent. Later ones
	// don't get it.
	incarnation uint64
	Message
}

// simTableOp is a pending read or write of the membership row.
type simTableOp struct {
	sentAt, replyAt time.Time
	host            int
	incarnation     uint64
	// effectAt is when the table executes the operation, or zero once it has.
	effectAt time.Time
	// write is the row to write, or nil for a read.
	write           *Epoch
	expectedVersion int64
	result          *Epoch
	replyLost       bool
}

// simRequest is a request that waits for tokens until its deadline.
type simRequest struct {
	retried  bool
	account  string
	deadline time.Time
}

// simHost is a host of a sim with the faults that affect it.
type simHost struct {
	node           *Node
	incarnation    uint64
	dead           bool
	frozenUntil    time.Time
	cutUntil       time.Time
	tableLostUntil time.Time
	limitsVersion  int
	tableOpPending bool
	lastRead       time.Time
	lastVote       time.Time
	lastTick       time.Time
	waiting        []simRequest
}

// sim runs nodes in simulated time with a table and links that fail. Its maps
// are by account name unless stated otherwise.
type sim struct {
	now     time.Time
	timings Timings
	rand    *rand.Rand
	hosts   []*simHost
	// limits are the limits of each version of the configuration.
	limits         []map[string]Limit
	inFlight       []simMessage
	tableOps       []*simTableOp
	row            Epoch
	tableDownUntil time.Time
	tableSlowUntil time.Time
	// lossRate is the share of messages that are lost. If it isn't zero,
	// messages are also delayed and duplicated, and replies of the table are
	// lost.
	lossRate        float64
	delay           time.Duration
	lastIncarnation uint64
	rowWrites       int
	messagesSent    int
	bytesSent       int
	countBytes      bool
	checkers        map[string]*checker
	refused         map[string]int
	// wrongRefusals counts the refusals of requests within the limit.
	wrongRefusals map[string]int
	requests      map[string]int
	// pairCutUntil is until when two hosts are disconnected from each other,
	// by their indexes in ascending order.
	pairCutUntil map[[2]int]time.Time
	// limitsLastHeld is when a live host last had each version of limits.
	limitsLastHeld []time.Time
	// scheme enforces the limits in place of the nodes if it isn't nil.
	scheme limitScheme
}

// newSim returns a sim in which hostCount hosts have just started.
func newSim(hostCount int, timings Timings, limits map[string]Limit, seed uint64) *sim {
	s := &sim{
		now: time.Unix(1_000_000, 0), timings: timings, rand: rand.New(rand.NewPCG(seed, 1)),
		limits: []map[string]Limit{limits}, delay: time.Millisecond, lastIncarnation: 1000,
		checkers: map[string]*checker{}, refused: map[string]int{}, wrongRefusals: map[string]int{},
		requests: map[string]int{}, pairCutUntil: map[[2]int]time.Time{}, limitsLastHeld: make([]time.Time, 1),
	}
	for account := range limits {
		s.checkers[account] = &checker{lastAdmit: s.now}
	}
	for range hostCount {
		s.hosts = append(s.hosts, &simHost{dead: true})
	}
	for i := range hostCount {
		s.restart(i)
	}
	return s
}

func (s *sim) hostName(i int) string { return string(rune('a' + i)) }

// restart replaces the host with a new incarnation that has the newest
// limits.
func (s *sim) restart(i int) {
	s.lastIncarnation++
	latest := len(s.limits) - 1
	node := NewNode(NodeConfig{Self: Member{Host: s.hostName(i), Incarnation: s.lastIncarnation}, Timings: s.timings})
	node.SetLimits(s.now, s.limits[latest])
	s.hosts[i] = &simHost{node: node, incarnation: s.lastIncarnation, limitsVersion: latest}
}

func (s *sim) kill(i int) { s.hosts[i].dead = true }

// running reports whether the host is neither dead nor frozen.
func (s *sim) running(i int) bool {
	h := s.hosts[i]
	return !h.dead && !s.now.Before(h.frozenUntil)
}

// send puts the messages in flight. At a lossRate above zero it loses, delays
// and duplicates some of them.
func (s *sim) send(from int, messages []Message) {
	for _, m := range messages {
		s.messagesSent++
		if s.countBytes {
			s.bytesSent += frameSize(m)
		}
		to := int(m.Host[0] - 'a')
		if s.rand.Float64() < s.lossRate || s.disconnected(from, to) {
			continue
		}
		delay := s.delay
		if s.lossRate > 0 {
			delay += time.Duration(s.rand.Int64N(int64(60 * time.Millisecond)))
			if s.rand.Float64() < 0.02 {
				delay += time.Duration(s.rand.Int64N(int64(4 * time.Second)))
			}
		}
		message := simMessage{arrival: s.now.Add(delay), from: from, to: to, incarnation: s.hosts[to].incarnation, Message: m}
		s.inFlight = append(s.inFlight, message)
		if s.rand.Float64() < s.lossRate/2 {
			s.inFlight = append(s.inFlight, message)
		}
	}
}

// disconnected reports whether the link between two hosts is cut.
func (s *sim) disconnected(a, b int) bool {
	pair := [2]int{min(a, b), max(a, b)}
	return s.now.Before(s.hosts[a].cutUntil) || s.now.Before(s.hosts[b].cutUntil) || s.now.Before(s.pairCutUntil[pair])
}

// advance moves the time by simStep and runs what is due.
func (s *sim) advance() {
	s.now = s.now.Add(simStep)
	s.recordHeldLimits()
	s.runTableOps()
	s.deliver()
	for i := range s.hosts {
		if s.running(i) {
			s.runHost(i)
		}
	}
}

// recordHeldLimits notes which versions of the limits live hosts have now.
func (s *sim) recordHeldLimits() {
	for _, h := range s.hosts {
		if !h.dead {
			s.limitsLastHeld[h.limitsVersion] = s.now
		}
	}
}

// deliver passes the messages that have arrived to their receivers.
func (s *sim) deliver() {
	var due []simMessage
	s.inFlight = slices.DeleteFunc(s.inFlight, func(m simMessage) bool {
		h := s.hosts[m.to]
		if h.dead || h.incarnation != m.incarnation {
			return true
		}
		if m.arrival.After(s.now) || !s.running(m.to) {
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
			s.send(m.to, node.ReceiveGrant(s.now, s.hostName(m.from), *m.Grant))
		}
	}
}

// runHost does for a node what Limiter does: it retries waiting requests,
// updates the limits, and calls the node at its intervals.
func (s *sim) runHost(i int) {
	h := s.hosts[i]
	s.retryWaiting(i)
	if h.limitsVersion != len(s.limits)-1 && s.rand.Float64() < 0.01 {
		h.limitsVersion = len(s.limits) - 1
		h.node.SetLimits(s.now, s.limits[h.limitsVersion])
	}
	if s.now.Sub(h.lastVote) >= VoteInterval {
		h.lastVote = s.now
		hosts := make([]string, 0, len(s.hosts))
		for j := range s.hosts {
			hosts = append(hosts, s.hostName(j))
		}
		s.send(i, h.node.RequestVotes(s.now, hosts))
	}
	if s.now.Sub(h.lastTick) >= TickInterval {
		h.lastTick = s.now
		s.send(i, h.node.Tick(s.now))
		if epoch, ok := h.node.ProposeEpoch(s.now); ok && !h.tableOpPending {
			s.startTableOp(&simTableOp{host: i, write: &epoch, expectedVersion: h.node.EpochNumber()})
		}
	}
	if s.now.Sub(h.lastRead) >= ReadInterval && !h.tableOpPending {
		h.lastRead = s.now
		s.startTableOp(&simTableOp{host: i})
	}
}

// startTableOp starts the operation unless the host can't reach the table.
func (s *sim) startTableOp(op *simTableOp) {
	h := s.hosts[op.host]
	op.sentAt, op.incarnation = s.now, h.incarnation
	if op.write != nil {
		s.rowWrites++
	}
	if s.now.Before(s.tableDownUntil) || s.now.Before(h.tableLostUntil) {
		return
	}
	h.tableOpPending = true
	latency := 2 * time.Millisecond
	if s.now.Before(s.tableSlowUntil) {
		latency = time.Duration(s.rand.Int64N(int64(4 * time.Second)))
	}
	op.effectAt = s.now.Add(time.Duration(s.rand.Int64N(int64(latency))))
	op.replyAt = s.now.Add(latency)
	op.replyLost = s.lossRate > 0 && s.rand.Float64() < 0.2
	s.tableOps = append(s.tableOps, op)
}

// runTableOps executes the operations that are due and passes the replies
// that are due to their hosts.
func (s *sim) runTableOps() {
	s.tableOps = slices.DeleteFunc(s.tableOps, func(op *simTableOp) bool {
		if !op.effectAt.IsZero() && !op.effectAt.After(s.now) {
			s.applyTableOp(op)
			op.effectAt = time.Time{}
		}
		h := s.hosts[op.host]
		if h.incarnation != op.incarnation || h.dead {
			return op.effectAt.IsZero()
		}
		if !op.effectAt.IsZero() || op.replyAt.After(s.now) || !s.running(op.host) {
			return false
		}
		h.tableOpPending = false
		if op.result != nil && !op.replyLost {
			h.node.HandleRow(s.now, op.sentAt, *op.result)
		}
		return true
	})
}

// applyTableOp reads the row, or writes it by compare-and-set. Its result is
// the row, or nil if the write failed or there is no row.
func (s *sim) applyTableOp(op *simTableOp) {
	if op.write != nil {
		if s.row.Number != op.expectedVersion {
			return
		}
		s.row = *op.write
		s.row.Number = op.expectedVersion + 1
	}
	if s.row.Number > 0 {
		row := s.row
		op.result = &row
	}
}

// request sends one request of cost 1 to the host. The host refuses it once
// no tokens can be expected or MaxTokenWait is over.
func (s *sim) request(i int, account string) {
	s.requests[account]++
	if s.scheme != nil {
		s.recordOutcome(account, s.scheme.allow(s.now, i, account))
		return
	}
	if h := s.hosts[i]; !h.dead {
		h.waiting = append(h.waiting, simRequest{account: account, deadline: s.now.Add(MaxTokenWait)})
		if s.running(i) {
			s.retryWaiting(i)
		}
	}
}

// retryWaiting does for the host's waiting requests what Limiter.Take does.
func (s *sim) retryWaiting(i int) {
	h := s.hosts[i]
	var remaining []simRequest
	waitingCost := map[string]float64{}
	for _, r := range h.waiting {
		waitingCost[r.account]++
	}
	for _, r := range h.waiting {
		take := h.node.Take
		if r.retried {
			take = h.node.Retry
		}
		r.retried = true
		if take(s.now, r.account, 1).OK {
			waitingCost[r.account]--
			s.recordOutcome(r.account, true)
			continue
		}
		messages, pending := h.node.RequestTokens(s.now, r.account, waitingCost[r.account])
		s.send(i, messages)
		if pending && s.now.Before(r.deadline) {
			remaining = append(remaining, r)
			continue
		}
		waitingCost[r.account]--
		s.recordOutcome(r.account, false)
	}
	h.waiting = remaining
	for _, account := range sortedKeys(waitingCost) {
		cost := waitingCost[account]
		if cost == 0 {
			s.send(i, h.node.FinishWaiting(s.now, account))
		}
	}
}

// recordOutcome counts the outcome of a request.
func (s *sim) recordOutcome(account string, ok bool) {
	limit := s.highestLimit(account)
	c := s.checkers[account]
	if ok {
		c.admit(s.now, limit)
		return
	}
	s.refused[account]++
	if c.allows(s.now, limit) {
		s.wrongRefusals[account]++
	}
}

// highestLimit returns the highest rate that any host, or a borrower of its
// leases, may act on now, and the highest burst of the whole run.
func (s *sim) highestLimit(account string) Limit {
	var highest Limit
	for version, limits := range s.limits {
		limit := limits[account]
		highest.Burst = max(highest.Burst, limit.Burst)
		if s.now.Sub(s.limitsLastHeld[version]) <= s.timings.LeaseTerm+time.Second {
			highest.Rate = max(highest.Rate, limit.Rate)
		}
	}
	return highest
}

// checker checks admitted requests against a limit in all windows of time at
// once. A request costs one token.
type checker struct {
	lastAdmit time.Time
	// excess is the largest number of tokens that any window which ends at
	// lastAdmit has admitted beyond its length times the rate.
	excess float64
	// maxOverBurst is the largest excess over the burst so far. The limit
	// holds if it is at most zero.
	maxOverBurst float64
}

// admit records an admitted request.
func (c *checker) admit(now time.Time, limit Limit) {
	c.excess = max(0, c.excess-limit.Rate*now.Sub(c.lastAdmit).Seconds()) + 1
	c.lastAdmit = now
	c.maxOverBurst = max(c.maxOverBurst, c.excess-limit.Burst)
}

// allows reports whether one more request would be within the limit.
func (c *checker) allows(now time.Time, limit Limit) bool {
	excess := max(0, c.excess-limit.Rate*now.Sub(c.lastAdmit).Seconds())
	return excess+1 <= limit.Burst
}

// frameSize returns the encoded size of the message in bytes.
func frameSize(m Message) int {
	var frame bhwire.Frame
	if m.Vote != nil {
		frame, _ = bhwire.Encode(bhwire.KindVote, 0, m.Vote)
	} else {
		frame, _ = bhwire.Encode(bhwire.KindGrant, 0, m.Grant)
	}
	data, _ := bhwire.AppendFrame(nil, frame)
	return len(data)
}
