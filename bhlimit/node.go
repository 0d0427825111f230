package bhlimit

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Message is a frame for another entry: a Grant or a Vote.
type Message struct {
	Host  string
	Grant *bhwire.Grant
	Vote  *bhwire.Vote
}

// NodeConfig configures a Node.
type NodeConfig struct {
	Self  Member
	Terms Terms
}

// Verdict answers whether a request may run now.
type Verdict struct {
	OK bool
	// RetryAfter is when the account will have accrued the tokens that lack.
	RetryAfter time.Duration
}

// Node is one entry's part in holding the limits, as a state machine. Its
// methods take the present time, never block, and return messages to send.
// It isn't safe for concurrent use.
type Node struct {
	self    Member
	terms   Terms
	fence   *fence
	ground  ground
	buckets map[string]*bucket
	active  map[string]*bucket
	loans   uint64
}

// NewNode returns a node that knows no epoch and no accounts.
func NewNode(config NodeConfig) *Node {
	return &Node{
		self:    config.Self,
		terms:   config.Terms,
		fence:   newFence(config.Self, config.Terms),
		buckets: map[string]*bucket{},
		active:  map[string]*bucket{},
		loans:   config.Self.Start << 24,
	}
}

// Knows reports whether the account is configured.
func (n *Node) Knows(account string) bool { return n.buckets[account] != nil }

// Owns reports whether this host may spend what it owns.
func (n *Node) Owns(now time.Time) bool { return n.fence.closed && n.ground.holds(now) }

// Borrows reports whether this host hears a member that may lend to it.
func (n *Node) Borrows(now time.Time) bool {
	for _, m := range n.fence.epoch.Members {
		if m.Host != n.self.Host && n.fence.alive(now, m.Host) {
			return true
		}
	}
	return false
}

// Configure sets the limits of all accounts. Accounts that are missing get
// nothing from now on.
func (n *Node) Configure(now time.Time, limits map[string]Limit) {
	n.advance(now)
	n.ensure(now, limits)
	for account, b := range n.buckets {
		n.assign(b, limits[account])
	}
}

func (n *Node) ensure(now time.Time, limits map[string]Limit) {
	for account := range limits {
		if n.buckets[account] == nil {
			n.buckets[account] = newBucket(account, now, n.ground.elapsed(now))
		}
	}
}

// Take spends cost tokens of the account if this host has them.
func (n *Node) Take(now time.Time, account string, cost float64) Verdict {
	b := n.bucket(now, account)
	if b == nil {
		return Verdict{RetryAfter: maxRetry}
	}
	n.active[account] = b
	b.asked += cost
	return b.take(cost)
}

// Retry is Take for a request that was refused before and waits for tokens.
func (n *Node) Retry(now time.Time, account string, cost float64) Verdict {
	b := n.bucket(now, account)
	if b == nil {
		return Verdict{RetryAfter: maxRetry}
	}
	return b.take(cost)
}

// Want asks another host for the tokens that the account's waiting requests,
// of total cost waiting, lack. It reports whether an answer is awaited, or
// the confirmation of this host's epoch, after which Take may succeed.
func (n *Node) Want(now time.Time, account string, waiting float64) ([]Message, bool) {
	b := n.bucket(now, account)
	if b == nil {
		return nil, false
	}
	outs, pending := b.want(now, waiting, n.borrower(now))
	renewing := b.lapsed && n.fence.member()
	return messages(outs), pending || renewing
}

// Finish returns loans that were made for waiting requests. It is called when
// the account's last waiting request has its verdict.
func (n *Node) Finish(now time.Time, account string) []Message {
	b := n.bucket(now, account)
	if b == nil {
		return nil
	}
	return messages(b.finish(false))
}

// Tick renews, returns and seeks loans. It is called every TickInterval.
func (n *Node) Tick(now time.Time) []Message {
	n.refresh(now)
	var all []outgoing
	by := n.borrower(now)
	for _, account := range sortedKeys(n.active) {
		b := n.bucket(now, account)
		all = append(all, b.settle(now, by)...)
		if b.idle() {
			delete(n.active, account)
		}
	}
	return messages(all)
}

// Ask returns the questions for votes to the hosts. It is called every
// VoteInterval.
func (n *Node) Ask(now time.Time, hosts []string) []Message {
	var out []Message
	for _, host := range hosts {
		if host == n.self.Host {
			continue
		}
		question := n.fence.ask(now, host)
		out = append(out, Message{Host: host, Vote: &question})
	}
	return out
}

// ReceiveVote handles a vote message.
func (n *Node) ReceiveVote(now time.Time, v bhwire.Vote) []Message {
	if !v.Answer {
		answer := n.fence.question(now, v)
		return []Message{{Host: v.Host, Vote: &answer}}
	}
	n.settleEpoch(now, n.fence.answer(now, v))
	return nil
}

// ReceiveGrant handles a grant message of the host.
func (n *Node) ReceiveGrant(now time.Time, host string, g bhwire.Grant) []Message {
	b := n.bucket(now, g.Account)
	if b == nil {
		return nil
	}
	switch g.Action {
	case actionAsk:
		answer := bhwire.Grant{ID: g.ID, Seq: g.Seq, Action: actionGive, Account: g.Account}
		if !b.lapsed {
			answer = b.lend(now, host, g, n.terms.Loan)
			n.active[g.Account] = b
		}
		return []Message{{Host: host, Grant: &answer}}
	case actionGive:
		b.receive(now, host, g)
	case actionReturn:
		b.regain(host, g)
	}
	return nil
}

// Read takes in the membership row that the table returned for a read that
// was sent at sent.
func (n *Node) Read(now, sent time.Time, epoch Epoch) {
	n.settleEpoch(now, n.fence.adopt(now, epoch, sent))
}

// Plan returns the membership row that this host should write now, if any. It
// replaces the row with the version Epoch.
func (n *Node) Plan(now time.Time) (Epoch, bool) { return n.fence.plan(now) }

// Epoch returns the number of the node's epoch.
func (n *Node) Epoch() int64 { return n.fence.epoch.Number }

// Member reports whether the node is a member of its epoch.
func (n *Node) Member() bool { return n.fence.member() }

// Drain says that the host is leaving and returns all loans.
func (n *Node) Drain(now time.Time) []Message {
	n.fence.leaving = true
	var all []outgoing
	for _, account := range sortedKeys(n.active) {
		b := n.bucket(now, account)
		b.demand = 0
		for _, l := range slices.Clone(b.borrowed) {
			all = append(all, b.giveBack(l))
		}
	}
	return messages(all)
}

// settleEpoch brings ground and buckets in line after the fence has changed.
// The ground of the epoch before ends before that of a newer one begins.
func (n *Node) settleEpoch(now time.Time, newer bool) {
	if newer {
		n.advance(now)
		n.ground.stop(now)
		n.assignAll()
	}
	n.refresh(now)
}

// refresh recomputes the ground, and what the host owns once the epoch before
// is closed.
func (n *Node) refresh(now time.Time) {
	if n.fence.close(now) {
		n.advance(now)
		// A confirmation carried over from the epoch before counts no longer.
		n.ground.stop(now)
		n.assignAll()
	}
	if end := n.fence.end(); end.After(now) {
		n.ground.extend(now, end)
	}
}

func (n *Node) assignAll() {
	for _, b := range n.buckets {
		n.assign(b, b.limit)
	}
}

func (n *Node) advance(now time.Time) {
	for _, b := range n.buckets {
		n.move(now, b)
	}
}

// bucket returns the account's bucket as of now, or nil.
func (n *Node) bucket(now time.Time, account string) *bucket {
	b := n.buckets[account]
	if b != nil {
		n.move(now, b)
	}
	return b
}

func (n *Node) move(now time.Time, b *bucket) {
	holds := n.ground.holds(now)
	if holds {
		b.lapse(false)
	}
	b.advance(now, n.ground.elapsed(now))
	if !holds {
		b.lapse(true)
	}
}

// assign sets what the host owns of the account. Until the epoch before is
// closed that is no more than it owned then.
func (n *Node) assign(b *bucket, limit Limit) {
	epoch := n.fence.epoch
	hosts := owners(b.account, epoch.Members)
	own := n.owned(limit, epoch.Members, hosts)
	if !n.fence.closed {
		before := n.owned(limit, epoch.Previous, owners(b.account, epoch.Previous))
		own = lower(own, before)
	}
	b.reset(limit, own, hosts)
	if epoch.Number > 0 {
		b.start(len(epoch.Previous) == 0)
	}
}

func (n *Node) owned(limit Limit, members []Member, hosts []string) Limit {
	if !slices.Contains(members, n.self) {
		return Limit{}
	}
	return portion(limit, hosts, n.self.Host)
}

func (n *Node) borrower(now time.Time) borrower {
	return borrower{
		self:  n.self.Host,
		term:  n.terms.Loan,
		next:  func() uint64 { n.loans++; return n.loans },
		alive: func(host string) bool { return n.fence.alive(now, host) },
	}
}

func messages(outs []outgoing) []Message {
	var all []Message
	for _, o := range outs {
		all = append(all, Message{Host: o.host, Grant: &o.grant})
	}
	return all
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
