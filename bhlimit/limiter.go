// Package bhlimit enforces the rate and burst of every client account over
// all entries together. Each entry (package bhentry) runs one Limiter and
// takes tokens from it for every client request.
package bhlimit

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// TickInterval is the time between two calls of Node.Tick.
	TickInterval = 100 * time.Millisecond
	// VoteInterval is the time between two rounds of questions for votes.
	VoteInterval = 350 * time.Millisecond
	// ReadInterval is the time between two reads of the membership row.
	ReadInterval = 400 * time.Millisecond
	// MaxTokenWait is how long a request may wait for borrowed tokens.
	MaxTokenWait = 250 * time.Millisecond

	// joinTimeout is how long a new host waits to become a member before it
	// counts as ready if it can only borrow.
	joinTimeout = 10 * time.Second
	// readyGrace is how long a host stays ready after it was last able to
	// spend or borrow.
	readyGrace = 10 * time.Second

	// outboxSize is the number of messages that may wait to be sent.
	outboxSize = 4096
)

// Peers sends messages to the other entries.
type Peers interface {
	// Entries returns the hosts of the entries to which this one has a
	// session.
	Entries() []string
	// Send sends the message to the host. It may lose the message.
	Send(host string, kind bhwire.Kind, message any)
}

// Accounts returns the accounts of the current configuration and its version,
// or version 0 if there is no configuration yet.
type Accounts func() (version int64, accounts []bhconf.Account)

// Config configures a Limiter.
type Config struct {
	Host string
	// Incarnation numbers this start of the process. A higher number of the
	// same host means that its previous process has ended.
	Incarnation uint64
	Table       bhplatform.Table
	Peers       Peers
	Accounts    Accounts
	Logger      bhlog.Logger
	// Timings must be the same in the whole fleet. Zero means DefaultTimings.
	Timings Timings
}

// Limiter enforces the rate and burst of every account over all entries. It
// runs a Node with the clock, the table and the peers, and is safe for
// concurrent use.
type Limiter struct {
	config    Config
	outbox    chan Message
	proposals chan proposal
	started   time.Time

	mu sync.Mutex
	// lastReady is when Ready last found that the host can spend or borrow.
	lastReady time.Time
	node      *Node
	// accountsVersion is the version of the configuration that node has.
	accountsVersion int64
	// waiters are the waiting requests, by account name.
	waiters map[string]*accountWaiters
}

// accountWaiters are the requests of one account that wait for borrowed
// tokens.
type accountWaiters struct {
	// totalCost is the cost of all of them, in tokens.
	totalCost float64
	// changed is closed when they should retry.
	changed chan struct{}
}

// New returns a limiter. It refuses every request until Run is called and the
// host is a member or can borrow.
func New(config Config) *Limiter {
	if config.Timings == (Timings{}) {
		config.Timings = DefaultTimings()
	}
	self := Member{Host: config.Host, Incarnation: config.Incarnation}
	return &Limiter{
		config:    config,
		outbox:    make(chan Message, outboxSize),
		proposals: make(chan proposal, 1),
		started:   time.Now(),
		node:      NewNode(NodeConfig{Self: self, Timings: config.Timings}),
		waiters:   map[string]*accountWaiters{},
	}
}

// Take spends cost tokens of the account. If this host has too few, it waits
// up to MaxTokenWait for tokens from other hosts, or until ctx is done. It
// refuses unknown accounts.
func (l *Limiter) Take(ctx context.Context, account string, cost float64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.node.HasAccount(account) {
		l.updateLimits(time.Now())
	}
	verdict := l.node.Take(time.Now(), account, cost)
	if verdict.OK || !l.node.HasAccount(account) {
		return verdict
	}
	return l.waitForTokens(ctx, account, cost, verdict)
}

// Ready reports whether this host may spend what it owns. If it hasn't become
// a member within joinTimeout, being able to borrow suffices. A host that was
// ready stays so for readyGrace, so that a change of the membership doesn't
// make it unready.
func (l *Limiter) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.node.CanSpendOwned(now) || now.Sub(l.started) > joinTimeout && l.node.CanBorrow(now) {
		l.lastReady = now
		return true
	}
	return !l.lastReady.IsZero() && now.Sub(l.lastReady) < readyGrace
}

// Receive handles a grant or vote frame from another entry. It returns an
// error if the frame can't be decoded.
func (l *Limiter) Receive(peer bhwire.Hello, frame bhwire.Frame) error {
	if frame.Kind == bhwire.KindVote {
		vote, err := bhwire.Decode[bhwire.Vote](frame)
		if err != nil {
			return err
		}
		vote.Host, vote.Start = peer.Host, peer.Incarnation
		l.receiveVote(vote)
		return nil
	}
	grant, err := bhwire.Decode[bhwire.Grant](frame)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(l.node.ReceiveGrant(time.Now(), peer.Host, grant))
	if grant.Action == actionGive {
		l.wakeWaiters(grant.Account)
	}
	return nil
}

// Drain tells the peers that this host is leaving and returns what it has
// borrowed. It must be called after the last request.
func (l *Limiter) Drain() {
	l.mu.Lock()
	now := time.Now()
	messages := l.node.Drain(now)
	messages = append(messages, l.node.RequestVotes(now, l.config.Peers.Entries())...)
	l.mu.Unlock()
	for _, m := range messages {
		l.send(m)
	}
	bhlog.Event(l.config.Logger, "limits.drained", "messages", len(messages))
}

// waitForTokens borrows tokens for a refused request and retries it until it
// succeeds, no tokens can be expected or MaxTokenWait is over. The caller
// holds mu, which is unlocked during the wait.
func (l *Limiter) waitForTokens(ctx context.Context, account string, cost float64, verdict Verdict) Verdict {
	ctx, cancel := context.WithTimeout(ctx, MaxTokenWait)
	defer cancel()
	w := l.waiters[account]
	if w == nil {
		w = &accountWaiters{changed: make(chan struct{})}
		l.waiters[account] = w
	}
	w.totalCost += cost
	for !verdict.OK && ctx.Err() == nil {
		messages, pending := l.node.RequestTokens(time.Now(), account, w.totalCost)
		l.enqueue(messages)
		if !pending {
			break
		}
		changed := w.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		l.mu.Lock()
		verdict = l.node.Retry(time.Now(), account, cost)
	}
	w.totalCost -= cost
	if w.totalCost <= roundingTolerance {
		delete(l.waiters, account)
		l.enqueue(l.node.FinishWaiting(time.Now(), account))
	}
	return verdict
}

// wakeWaiters makes the account's waiting requests retry. The caller holds
// mu.
func (l *Limiter) wakeWaiters(account string) {
	if w := l.waiters[account]; w != nil {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

// enqueue adds messages to the outbox and drops those for which it has no
// room. The caller holds mu.
func (l *Limiter) enqueue(messages []Message) {
	for _, m := range messages {
		select {
		case l.outbox <- m:
		default:
		}
	}
}

func (l *Limiter) send(m Message) {
	if m.Vote != nil {
		l.config.Peers.Send(m.Host, bhwire.KindVote, m.Vote)
		return
	}
	l.config.Peers.Send(m.Host, bhwire.KindGrant, m.Grant)
}

// updateLimits passes the limits of the current configuration to the node if
// its version has changed. The caller holds mu.
func (l *Limiter) updateLimits(now time.Time) {
	version, accounts := l.config.Accounts()
	if version == l.accountsVersion {
		return
	}
	l.accountsVersion = version
	limits := make(map[string]Limit, len(accounts))
	for _, a := range accounts {
		limits[a.Name] = Limit{Rate: a.Rate, Burst: a.Burst}
	}
	l.node.SetLimits(now, limits)
}
