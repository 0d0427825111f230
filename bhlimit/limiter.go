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
	// VoteInterval is the time between two calls of Node.Ask.
	VoteInterval = 350 * time.Millisecond
	// ReadInterval is the time between two reads of the membership row.
	ReadInterval = 400 * time.Millisecond
	// DefaultWait is how long a request may wait for borrowed tokens.
	DefaultWait = 250 * time.Millisecond

	// joinTime is how long a new host may take to become a member.
	joinTime = 10 * time.Second
	// readyGrace is how long a host that was ready is still taken for ready.
	readyGrace = 10 * time.Second

	outboxSize = 4096
)

// Peers sends messages to the other entries. Send may lose them.
type Peers interface {
	// Entries returns the hosts of the entries that there is a session with.
	Entries() []string
	Send(host string, kind bhwire.Kind, message any)
}

// Accounts returns the accounts in force and the version of their
// configuration, or 0 if there is none.
type Accounts func() (version int64, accounts []bhconf.Account)

// Config configures a Limiter.
type Config struct {
	Host string
	// Incarnation numbers this start of the process. A higher one of the same
	// host means that the process before has ended.
	Incarnation uint64
	Table       bhplatform.Table
	Peers       Peers
	Accounts    Accounts
	Logger      bhlog.Logger
	// Terms are shared by the fleet; zero means DefaultTerms.
	Terms Terms
}

// Limiter holds every account to its rate and burst over all entries. It is
// safe for concurrent use.
type Limiter struct {
	config    Config
	outbox    chan Message
	proposals chan proposal
	started   time.Time

	mu sync.Mutex
	// ready is when the host was last seen to be ready.
	ready   time.Time
	node    *Node
	version int64
	waiters map[string]*waiters
}

// waiters are the requests of one account that wait for borrowed tokens.
type waiters struct {
	cost    float64
	changed chan struct{}
}

// New returns a limiter that isn't running yet. Until it runs and is a member
// or can borrow, it refuses everything.
func New(config Config) *Limiter {
	if config.Terms == (Terms{}) {
		config.Terms = DefaultTerms()
	}
	self := Member{Host: config.Host, Start: config.Incarnation}
	return &Limiter{
		config:    config,
		outbox:    make(chan Message, outboxSize),
		proposals: make(chan proposal, 1),
		started:   time.Now(),
		node:      NewNode(NodeConfig{Self: self, Terms: config.Terms}),
		waiters:   map[string]*waiters{},
	}
}

// Take spends cost tokens of the account. If this host has none, it waits up
// to DefaultWait for tokens from other hosts.
func (l *Limiter) Take(ctx context.Context, account string, cost float64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.node.Knows(account) {
		l.configure(time.Now())
	}
	verdict := l.node.Take(time.Now(), account, cost)
	if verdict.OK || !l.node.Knows(account) {
		return verdict
	}
	return l.wait(ctx, account, cost, verdict)
}

// Ready reports whether this host may spend tokens of its own. If it can't
// become a member within joinTime, being able to borrow suffices. A host that
// was ready stays so while the membership changes, for at most readyGrace.
func (l *Limiter) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.node.Owns(now) || now.Sub(l.started) > joinTime && l.node.Borrows(now) {
		l.ready = now
		return true
	}
	return !l.ready.IsZero() && now.Sub(l.ready) < readyGrace
}

// Receive handles a grant or vote frame of another entry.
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
	l.post(l.node.ReceiveGrant(time.Now(), peer.Host, grant))
	if grant.Action == actionGive {
		l.wake(grant.Account)
	}
	return nil
}

// Drain tells the peers that this host is leaving and returns what it has
// borrowed. It is called once no request is taken any more.
func (l *Limiter) Drain() {
	l.mu.Lock()
	now := time.Now()
	out := l.node.Drain(now)
	out = append(out, l.node.Ask(now, l.config.Peers.Entries())...)
	l.mu.Unlock()
	for _, m := range out {
		l.send(m)
	}
	bhlog.Event(l.config.Logger, "limits.drained", "messages", len(out))
}

// wait borrows tokens for a refused request. The caller holds mu.
func (l *Limiter) wait(ctx context.Context, account string, cost float64, verdict Verdict) Verdict {
	ctx, cancel := context.WithTimeout(ctx, DefaultWait)
	defer cancel()
	w := l.waiters[account]
	if w == nil {
		w = &waiters{changed: make(chan struct{})}
		l.waiters[account] = w
	}
	w.cost += cost
	for !verdict.OK && ctx.Err() == nil {
		out, pending := l.node.Want(time.Now(), account, w.cost)
		l.post(out)
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
	w.cost -= cost
	if w.cost <= tolerance {
		delete(l.waiters, account)
		l.post(l.node.Finish(time.Now(), account))
	}
	return verdict
}

// wake lets the account's waiting requests try again. The caller holds mu.
func (l *Limiter) wake(account string) {
	if w := l.waiters[account]; w != nil {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

// post queues messages; those that find no room are lost. The caller holds mu.
func (l *Limiter) post(messages []Message) {
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

// configure takes over the limits in force. The caller holds mu.
func (l *Limiter) configure(now time.Time) {
	version, accounts := l.config.Accounts()
	if version == l.version {
		return
	}
	l.version = version
	limits := make(map[string]Limit, len(accounts))
	for _, a := range accounts {
		limits[a.Name] = Limit{Rate: a.Rate, Burst: a.Burst}
	}
	l.node.Configure(now, limits)
}
