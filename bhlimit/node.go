package bhlimit

import (
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Message is a message for another entry: either a grant or a vote.
type Message struct {
	// Host is the receiver.
	Host  string
	Grant *bhwire.Grant
	Vote  *bhwire.Vote
}

// NodeConfig configures a Node.
type NodeConfig struct {
	// Self is this host and its incarnation.
	Self    Member
	Timings Timings
}

// Verdict tells whether a request may run now.
type Verdict struct {
	OK bool
	// RetryAfter is how long the account takes to accrue the missing tokens.
	// It is zero if OK is set.
	RetryAfter time.Duration
}

// Node is the state machine that makes all decisions of one entry: it has no
// sockets, goroutines or clock, and Limiter drives it. Its methods take the
// current time, never block, and return the messages to send. It isn't safe
// for concurrent use.
//
// Each account's rate and burst are divided evenly among a few entries, the
// owners of the account, which are computed from the members of the current
// epoch alone. Entries lend parts of what they own to each other under short
// leases. An epoch is one row of the table, changed by compare-and-set. An
// entry spends what it owns only while the table or a majority of the epoch's
// members has recently confirmed the epoch.
type Node struct {
	self        Member
	timings     Timings
	membership  *membership
	spendWindow spendWindow
	// buckets are the buckets of all accounts, by account name.
	buckets map[string]*bucket
	// active are the buckets that Tick visits: those that have had requests
	// or leases since they were last idle.
	active      map[string]*bucket
	lastLeaseID uint64
}

// NewNode returns a node that knows no epoch and no accounts. Its lease IDs
// start at a number made of its incarnation, so that they differ from those
// before a restart.
func NewNode(config NodeConfig) *Node {
	return &Node{
		self:        config.Self,
		timings:     config.Timings,
		membership:  newMembership(config.Self, config.Timings),
		buckets:     map[string]*bucket{},
		active:      map[string]*bucket{},
		lastLeaseID: config.Self.Incarnation << 24,
	}
}

// HasAccount reports whether the account is configured.
func (n *Node) HasAccount(account string) bool { return n.buckets[account] != nil }

// CanSpendOwned reports whether this host may spend all that it owns.
func (n *Node) CanSpendOwned(now time.Time) bool {
	return n.membership.previousClosed && n.spendWindow.active(now)
}

// CanBorrow reports whether this host hears another member, which may lend to
// it.
func (n *Node) CanBorrow(now time.Time) bool {
	for _, m := range n.membership.epoch.Members {
		if m.Host != n.self.Host && n.membership.alive(now, m.Host) {
			return true
		}
	}
	return false
}

// SetLimits sets the limits of all accounts, by account name. The limit of an
// account that isn't in limits becomes zero.
func (n *Node) SetLimits(now time.Time, limits map[string]Limit) {
	n.advanceAll(now)
	n.addBuckets(now, limits)
	for account, b := range n.buckets {
		n.assignOwned(b, limits[account])
	}
}

// addBuckets adds a bucket for each new account.
func (n *Node) addBuckets(now time.Time, limits map[string]Limit) {
	for account := range limits {
		if n.buckets[account] == nil {
			n.buckets[account] = newBucket(account, now, n.spendWindow.elapsed(now))
		}
	}
}

// Take spends cost tokens of the account if this host has them, and counts
// them as demand.
func (n *Node) Take(now time.Time, account string, cost float64) Verdict {
	b := n.bucket(now, account)
	if b == nil {
		return Verdict{RetryAfter: maxRetryAfter}
	}
	n.active[account] = b
	b.demandTokens += cost
	return b.spend(cost)
}

// Retry is Take for a waiting request, whose cost already counts as demand.
func (n *Node) Retry(now time.Time, account string, cost float64) Verdict {
	b := n.bucket(now, account)
	if b == nil {
		return Verdict{RetryAfter: maxRetryAfter}
	}
	return b.spend(cost)
}

// RequestTokens requests the tokens that are missing for the account's
// waiting requests from another host. waitingCost is the total cost of those
// requests, in tokens. It reports whether a retry may succeed later: an
// answer is pending, the bucket already has enough tokens, or this host waits
// for the confirmation of its epoch.
func (n *Node) RequestTokens(now time.Time, account string, waitingCost float64) ([]Message, bool) {
	b := n.bucket(now, account)
	if b == nil {
		return nil, false
	}
	grants, pending := b.requestTokens(now, waitingCost, n.newBorrowerHost(now))
	renewing := b.suspended && n.membership.isMember()
	return grantMessages(grants), pending || renewing
}

// FinishWaiting returns the short-term leases of an account with a small
// burst. It is called when none of the account's requests waits any more.
func (n *Node) FinishWaiting(now time.Time, account string) []Message {
	b := n.bucket(now, account)
	if b == nil {
		return nil
	}
	return grantMessages(b.returnShortTermLeases(false))
}

// Tick renews, returns and requests leases. It is called every TickInterval.
func (n *Node) Tick(now time.Time) []Message {
	n.refreshSpendWindow(now)
	var grants []outgoingGrant
	borrower := n.newBorrowerHost(now)
	for _, account := range sortedKeys(n.active) {
		b := n.bucket(now, account)
		grants = append(grants, b.maintainLeases(now, borrower)...)
		if b.idle() {
			delete(n.active, account)
		}
	}
	return grantMessages(grants)
}

// RequestVotes returns the messages that ask the hosts for their votes. It is
// called every VoteInterval.
func (n *Node) RequestVotes(now time.Time, hosts []string) []Message {
	var messages []Message
	for _, host := range hosts {
		if host == n.self.Host {
			continue
		}
		question := n.membership.newQuestion(now, host)
		messages = append(messages, Message{Host: host, Vote: &question})
	}
	return messages
}

// ReceiveVote handles a vote message: it answers a question and counts an
// answer.
func (n *Node) ReceiveVote(now time.Time, v bhwire.Vote) []Message {
	if !v.Answer {
		answer := n.membership.answerQuestion(now, v)
		return []Message{{Host: v.Host, Vote: &answer}}
	}
	n.updateOwnership(now, n.membership.handleAnswer(now, v))
	return nil
}

// ReceiveGrant handles a grant message from the host.
func (n *Node) ReceiveGrant(now time.Time, host string, g bhwire.Grant) []Message {
	b := n.bucket(now, g.Account)
	if b == nil {
		return nil
	}
	switch g.Action {
	case actionAsk:
		answer := bhwire.Grant{ID: g.ID, Seq: g.Seq, Action: actionGive, Account: g.Account}
		if !b.suspended {
			answer = b.lend(now, host, g, n.timings.LeaseTerm)
			n.active[g.Account] = b
		}
		return []Message{{Host: host, Grant: &answer}}
	case actionGive:
		b.handleAnswer(now, host, g)
	case actionReturn:
		b.reclaim(host, g)
	}
	return nil
}

// HandleRow handles the membership row that the table returned for a request
// sent at sent.
func (n *Node) HandleRow(now, sent time.Time, epoch Epoch) {
	n.updateOwnership(now, n.membership.adopt(now, epoch, sent))
}

// ProposeEpoch returns the membership row that this host should write now, if
// any, in place of the row whose version is the number of the current epoch.
func (n *Node) ProposeEpoch(now time.Time) (Epoch, bool) { return n.membership.proposeEpoch(now) }

// EpochNumber returns the number of the node's epoch, or 0 if it knows none.
func (n *Node) EpochNumber() int64 { return n.membership.epoch.Number }

// IsMember reports whether the node is a member of its epoch.
func (n *Node) IsMember() bool { return n.membership.isMember() }

// Drain marks the host as leaving, which its next votes tell the peers, and
// returns all borrowed leases.
func (n *Node) Drain(now time.Time) []Message {
	n.membership.leaving = true
	var grants []outgoingGrant
	for _, account := range sortedKeys(n.active) {
		b := n.bucket(now, account)
		b.demand = 0
		for _, l := range slices.Clone(b.borrowed) {
			grants = append(grants, b.returnLease(l))
		}
	}
	return grantMessages(grants)
}

// updateOwnership updates the spend window and the buckets after a change of
// the membership. The spend window of the previous epoch ends before that of
// a new one starts.
func (n *Node) updateOwnership(now time.Time, newEpoch bool) {
	if newEpoch {
		n.advanceAll(now)
		n.spendWindow.endBy(now)
		n.assignAll()
	}
	n.refreshSpendWindow(now)
}

// refreshSpendWindow extends the spend window to the time until which the
// epoch is confirmed. Once the previous epoch is closed, it also recomputes
// what the host owns.
func (n *Node) refreshSpendWindow(now time.Time) {
	if n.membership.closePrevious(now) {
		n.advanceAll(now)
		// The confirmation carried over from the previous epoch no longer
		// counts.
		n.spendWindow.endBy(now)
		n.assignAll()
	}
	if end := n.membership.validUntil(); end.After(now) {
		n.spendWindow.extend(now, end)
	}
}

func (n *Node) assignAll() {
	for _, b := range n.buckets {
		n.assignOwned(b, b.limit)
	}
}

func (n *Node) advanceAll(now time.Time) {
	for _, b := range n.buckets {
		n.advanceBucket(now, b)
	}
}

// bucket returns the account's bucket, advanced to now, or nil if the account
// isn't configured.
func (n *Node) bucket(now time.Time, account string) *bucket {
	b := n.buckets[account]
	if b != nil {
		n.advanceBucket(now, b)
	}
	return b
}

// advanceBucket advances the bucket to now, and suspends it while this host
// may not spend what it owns.
func (n *Node) advanceBucket(now time.Time, b *bucket) {
	maySpend := n.spendWindow.active(now)
	if maySpend {
		b.setSuspended(false)
	}
	b.advance(now, n.spendWindow.elapsed(now))
	if !maySpend {
		b.setSuspended(true)
	}
}

// assignOwned sets what the host owns of the account's limit. Until the
// previous epoch is closed, the host owns no more than it did in that epoch.
func (n *Node) assignOwned(b *bucket, limit Limit) {
	epoch := n.membership.epoch
	owners := accountOwners(b.account, epoch.Members)
	owned := n.ownedLimit(limit, epoch.Members, owners)
	if !n.membership.previousClosed {
		previous := n.ownedLimit(limit, epoch.Previous, accountOwners(b.account, epoch.Previous))
		owned = minLimit(owned, previous)
	}
	b.setLimits(limit, owned, owners)
	if epoch.Number > 0 {
		b.initTokens(len(epoch.Previous) == 0)
	}
}

// ownedLimit returns the part of limit that this host owns among the members
// and the owners of the account.
func (n *Node) ownedLimit(limit Limit, members []Member, hosts []string) Limit {
	if !slices.Contains(members, n.self) {
		return Limit{}
	}
	return ownerShare(limit, hosts, n.self.Host)
}

// newBorrowerHost returns what buckets need to borrow at now.
func (n *Node) newBorrowerHost(now time.Time) borrowerHost {
	return borrowerHost{
		selfHost:    n.self.Host,
		leaseTerm:   n.timings.LeaseTerm,
		nextLeaseID: func() uint64 { n.lastLeaseID++; return n.lastLeaseID },
		alive:       func(host string) bool { return n.membership.alive(now, host) },
	}
}

func grantMessages(grants []outgoingGrant) []Message {
	var messages []Message
	for _, grant := range grants {
		messages = append(messages, Message{Host: grant.host, Grant: &grant.grant})
	}
	return messages
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
