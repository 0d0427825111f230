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

// Key is the key of the membership row in the table.
const Key = "limits/members"

// proposal is a membership row to write over the version expect.
type proposal struct {
	epoch  Epoch
	expect int64
}

// Run keeps the membership, the votes and the loans until ctx is done.
func (l *Limiter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.deliver(ctx) })
	group.Go(func() error { return l.tick(ctx) })
	group.Go(func() error { return l.follow(ctx) })
	return group.Wait()
}

// deliver sends what is queued.
func (l *Limiter) deliver(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.outbox:
			l.send(m)
		}
	}
}

// tick drives the node.
func (l *Limiter) tick(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	var asked time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		hosts := l.config.Peers.Entries()
		l.mu.Lock()
		now := time.Now()
		l.configure(now)
		l.post(l.node.Tick(now))
		if now.Sub(asked) >= VoteInterval {
			asked = now
			l.post(l.node.Ask(now, hosts))
		}
		l.propose(now)
		for account := range l.waiters {
			l.wake(account)
		}
		l.mu.Unlock()
	}
}

// propose queues the membership that this host should write. The caller holds
// mu.
func (l *Limiter) propose(now time.Time) {
	epoch, ok := l.node.Plan(now)
	if !ok {
		return
	}
	select {
	case l.proposals <- proposal{epoch: epoch, expect: l.node.Epoch()}:
	default:
	}
}

// follow reads and writes the membership row.
func (l *Limiter) follow(ctx context.Context) error {
	ticker := time.NewTicker(ReadInterval)
	defer ticker.Stop()
	for {
		l.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case p := <-l.proposals:
			l.write(ctx, p)
		}
	}
}

func (l *Limiter) read(ctx context.Context) {
	sent := time.Now()
	row, err := l.config.Table.Get(ctx, Key)
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
	l.adopt(sent, epoch)
}

// write proposes a membership. A write with an unknown outcome is settled by
// the read that follows.
func (l *Limiter) write(ctx context.Context, p proposal) {
	sent := time.Now()
	write := bhplatform.Write{Key: Key, Value: p.epoch.Value(), Expect: bhplatform.Version(p.expect)}
	versions, err := l.config.Table.Commit(ctx, write)
	bhlog.Decision(l.config.Logger, "limits.members", names(p.epoch.Members), "hosts heard", names(p.epoch.Previous),
		"expect", p.expect, "err", err)
	if err != nil || len(versions) != 1 {
		return
	}
	p.epoch.Number = int64(versions[0])
	l.adopt(sent, p.epoch)
}

func (l *Limiter) adopt(sent time.Time, epoch Epoch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.node.Epoch()
	l.node.Read(time.Now(), sent, epoch)
	l.noteEpoch(before)
}

func (l *Limiter) receiveVote(vote bhwire.Vote) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.node.Epoch()
	l.post(l.node.ReceiveVote(time.Now(), vote))
	l.noteEpoch(before)
}

func (l *Limiter) noteEpoch(before int64) {
	if now := l.node.Epoch(); now != before {
		bhlog.Event(l.config.Logger, "limits.epoch", "epoch", now, "before", before, "member", l.node.Member(),
			"members", names(l.node.fence.epoch.Members), "previous", names(l.node.fence.epoch.Previous))
	}
}

func names(members []Member) string {
	var text string
	for i, m := range members {
		if i > 0 {
			text += ","
		}
		text += m.Host
	}
	return text
}
