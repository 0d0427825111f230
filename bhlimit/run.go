package bhlimit

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// MembershipKey is the key of the membership row in the table.
const MembershipKey = "limits/members"

// proposal is a membership row to write in place of expectedVersion.
type proposal struct {
	epoch           Epoch
	expectedVersion int64
}

// Run maintains the membership, the votes and the leases until ctx is done.
// It then returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.sendOutbox(ctx) })
	group.Go(func() error { return l.runTicks(ctx) })
	group.Go(func() error { return l.syncMembership(ctx) })
	return group.Wait()
}

// sendOutbox sends the messages of the outbox until ctx is done.
func (l *Limiter) sendOutbox(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.outbox:
			l.send(m)
		}
	}
}

// runTicks calls the node every TickInterval, asks the peers for votes every
// VoteInterval and lets waiting requests retry, until ctx is done.
func (l *Limiter) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	var lastVoteRequest time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		hosts := l.config.Peers.Entries()
		l.mu.Lock()
		now := time.Now()
		l.updateLimits(now)
		l.enqueue(l.node.Tick(now))
		if now.Sub(lastVoteRequest) >= VoteInterval {
			lastVoteRequest = now
			l.enqueue(l.node.RequestVotes(now, hosts))
		}
		l.queueProposal(now)
		for account := range l.waiters {
			l.wakeWaiters(account)
		}
		l.mu.Unlock()
	}
}

// queueProposal queues the membership row that this host should write, if
// any, unless one is queued already. The caller holds mu.
func (l *Limiter) queueProposal(now time.Time) {
	epoch, ok := l.node.ProposeEpoch(now)
	if !ok {
		return
	}
	select {
	case l.proposals <- proposal{epoch: epoch, expectedVersion: l.node.EpochNumber()}:
	default:
	}
}

// syncMembership reads the membership row every ReadInterval and writes the
// queued proposals, until ctx is done.
func (l *Limiter) syncMembership(ctx context.Context) error {
	ticker := time.NewTicker(ReadInterval)
	defer ticker.Stop()
	for {
		l.readMembership(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case p := <-l.proposals:
			l.writeMembership(ctx, p)
		}
	}
}

// readMembership reads the membership row and applies it. A missing row is no
// error: no host has written it yet.
func (l *Limiter) readMembership(ctx context.Context) {
	sent := time.Now()
	row, err := l.config.Table.Get(ctx, MembershipKey)
	if err != nil {
		if !bhcode.Is(err, bhcode.NotFound) && ctx.Err() == nil {
			bhlog.Trace(l.config.Logger, "limits.read", "err", err)
		}
		return
	}
	epoch, err := ParseEpoch(int64(row.Version), row.Value)
	if err != nil {
		bhlog.Problem(l.config.Logger, "limits.read", err)
		return
	}
	l.applyEpoch(sent, epoch)
}

// writeMembership writes the proposal by compare-and-set and applies it. If
// the outcome of the write is unknown, the next read tells whether it
// succeeded.
func (l *Limiter) writeMembership(ctx context.Context, p proposal) {
	sent := time.Now()
	write := bhplatform.Write{Key: MembershipKey, Value: p.epoch.Value(), Expect: bhplatform.Version(p.expectedVersion)}
	versions, err := l.config.Table.Commit(ctx, write)
	bhlog.Decision(l.config.Logger, "limits.members", hostNames(p.epoch.Members), "reachable members changed", hostNames(p.epoch.Previous),
		"expect", p.expectedVersion, "err", err)
	if err != nil || len(versions) != 1 {
		return
	}
	p.epoch.Number = int64(versions[0])
	l.applyEpoch(sent, p.epoch)
}

// applyEpoch passes the membership row to the node. The request for it was
// sent at sent.
func (l *Limiter) applyEpoch(sent time.Time, epoch Epoch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.node.EpochNumber()
	l.node.HandleRow(time.Now(), sent, epoch)
	l.logEpochChange(previous)
}

func (l *Limiter) receiveVote(vote bhwire.Vote) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.node.EpochNumber()
	l.enqueue(l.node.ReceiveVote(time.Now(), vote))
	l.logEpochChange(previous)
}

// logEpochChange logs the node's epoch if it isn't the previous one. The
// caller holds mu.
func (l *Limiter) logEpochChange(previous int64) {
	if current := l.node.EpochNumber(); current != previous {
		bhlog.Event(l.config.Logger, "limits.epoch", "epoch", current, "before", previous, "member", l.node.IsMember(),
			"members", hostNames(l.node.membership.epoch.Members), "previous", hostNames(l.node.membership.epoch.Previous))
	}
}

// hostNames returns the hosts of the members, separated by commas.
func hostNames(members []Member) string {
	var joined string
	for i, m := range members {
		if i > 0 {
			joined += ","
		}
		joined += m.Host
	}
	return joined
}
