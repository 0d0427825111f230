package bhsync

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	sendTimeout = 5 * time.Second
	// revokeChunk is the number of digests in one message.
	revokeChunk = 1000
	// maxProbes is the number of unanswered probes remembered for each link.
	maxProbes = 16
)

// Peer is the sending side of a control session. *bhlink.Session implements it.
type Peer interface {
	SendMessage(ctx context.Context, kind bhwire.Kind, stream uint64, message any) error
}

// Link is the exchange with one peer. What is sent follows from the state of
// both sides, so a slow peer costs no memory and delays no other.
type Link struct {
	node  *Node
	peer  Peer
	hello bhwire.Hello

	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once

	// The node's mutex guards the fields below.

	// met is whether the peer's first Have came.
	met bool
	// has is the version that the peer last said it has, sent the one that was
	// last pushed to it, and said the one that was last announced to it.
	has, sent, said int64
	// revoked is the number of own revocations that the peer was sent, and
	// acked the number that it confirmed.
	revoked, acked int
	greeted        bool
	answer         uint64
	answers        bool
	needs          bool
	need           int64
	// pulls asks for what came after version pulled.
	pulls   bool
	pulled  int64
	ask     bool
	probes  []probe
	count   uint64
	contact time.Time
}

// probe is a question that waits for its answer.
type probe struct {
	count   uint64
	sent    time.Time
	revoked int
}

// Join starts the exchange with a peer. The caller passes each frame that it
// receives from the peer to Handle, and calls Close when the session has ended.
func (n *Node) Join(peer Peer, hello bhwire.Hello) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	link := &Link{
		node:   n,
		peer:   peer,
		hello:  hello,
		wake:   make(chan struct{}, 1),
		cancel: cancel,
		done:   make(chan struct{}),
		ask:    hello.Role == string(bhconf.RoleEntry),
	}
	n.mu.Lock()
	n.links[link] = true
	close(n.joined)
	n.joined = make(chan struct{})
	n.mu.Unlock()
	if link.isEntry() {
		n.store.SetAlone(false)
	}
	link.notify()
	go link.run(ctx)
	return link
}

// Close ends the exchange and waits for it.
func (l *Link) Close() error {
	l.once.Do(func() {
		l.cancel()
		l.node.mu.Lock()
		delete(l.node.links, l)
		l.node.mu.Unlock()
	})
	<-l.done
	return nil
}

// Handle takes in a frame from the peer. Frames of other parts are not handled.
// An error means that the peer broke the protocol.
func (l *Link) Handle(frame bhwire.Frame) (handled bool, err error) {
	l.node.heard(l)
	switch frame.Kind {
	case bhwire.KindConfig:
		return true, decodeTo(frame, l.handleConfig)
	case bhwire.KindNeed:
		return true, decodeTo(frame, l.handleNeed)
	case bhwire.KindRevoke:
		return true, decodeTo(frame, l.handleRevoke)
	case bhwire.KindProbe:
		return true, decodeTo(frame, l.handleProbe)
	case bhwire.KindHave:
		return true, decodeTo(frame, l.handleHave)
	}
	return false, nil
}

func decodeTo[M any](frame bhwire.Frame, handle func(M)) error {
	message, err := bhwire.Decode[M](frame)
	if err != nil {
		return err
	}
	handle(message)
	return nil
}

func (l *Link) handleConfig(message bhwire.Config) {
	l.node.mu.Lock()
	l.has = max(l.has, message.Version)
	l.node.mu.Unlock()
	l.node.apply(message, l)
}

func (l *Link) handleNeed(need bhwire.Need) {
	l.node.mu.Lock()
	l.needs, l.need = true, need.Version
	l.node.mu.Unlock()
	l.notify()
}

func (l *Link) handleRevoke(message bhwire.Revoke) {
	added := l.node.store.Revocations.Revoke(message.Digests...)
	if len(added) > 0 {
		bhlog.Event(l.node.config.Logger, "key.revoked", "count", len(added), "from", l.hello.Host)
		l.node.notify()
	}
}

func (l *Link) handleProbe(probe bhwire.Probe) {
	l.node.mu.Lock()
	l.answers, l.answer = true, probe.Count
	l.node.mu.Unlock()
	l.notify()
}

func (l *Link) handleHave(have bhwire.Have) {
	count, sum := l.node.store.Revocations.Checksum()
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.has = max(l.has, have.Version)
	if !l.met {
		l.met = true
		if count == have.Revoked && sum == have.Sum {
			l.revoked, l.acked = count, count
		}
	}
	for len(l.probes) > 0 && l.probes[0].count <= have.Count {
		answered := l.probes[0]
		l.probes = l.probes[1:]
		l.acked = max(l.acked, answered.revoked)
		l.contact = answered.sent
		if l.isEntry() {
			l.node.store.Confirm(answered.sent)
		}
	}
	l.notify()
}

func (l *Link) isEntry() bool { return l.hello.Role == string(bhconf.RoleEntry) }

func (l *Link) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// outgoing is one message to be sent.
type outgoing struct {
	kind    bhwire.Kind
	message any
}

func (l *Link) run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for _, out := range l.next(time.Now()) {
			if err := l.send(ctx, out); err != nil {
				bhlog.Problem(l.node.config.Logger, "sync.send", err, "peer", l.hello.Host)
				return
			}
		}
	}
}

func (l *Link) send(ctx context.Context, out outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return l.peer.SendMessage(ctx, out.kind, 0, out.message)
}

// next returns what the peer should be sent now, in this order: revocations,
// versions, answers, questions. An answer thus vouches for all that went before.
func (l *Link) next(now time.Time) []outgoing {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	out := l.nextRevocations()
	out = append(out, l.nextConfigs()...)
	out = append(out, l.nextHave()...)
	if l.pulls {
		l.pulls = false
		out = append(out, outgoing{bhwire.KindNeed, bhwire.Need{Version: l.pulled}})
	}
	if l.ask && len(l.probes) < maxProbes {
		l.ask = false
		l.count++
		l.probes = append(l.probes, probe{count: l.count, sent: now, revoked: l.revoked})
		out = append(out, outgoing{bhwire.KindProbe, bhwire.Probe{Count: l.count}})
	}
	return out
}

// nextRevocations sends nothing before the peer has said what it knows.
func (l *Link) nextRevocations() []outgoing {
	if !l.met {
		return nil
	}
	var out []outgoing
	for digests := l.node.store.Revocations.AddedAfter(l.revoked); len(digests) > 0; {
		chunk := digests[:min(len(digests), revokeChunk)]
		digests = digests[len(chunk):]
		l.revoked += len(chunk)
		l.ask = true
		out = append(out, outgoing{bhwire.KindRevoke, bhwire.Revoke{Digests: chunk}})
	}
	return out
}

func (l *Link) nextConfigs() []outgoing {
	store := l.node.store
	version := store.Version()
	from := max(l.has, l.sent)
	whole := false
	switch {
	case l.needs:
		from, whole = l.need, true
	case l.has == 0 || from >= version || !l.node.pushes(l, version):
		return nil
	}
	l.needs = false
	messages, err := store.Since(from)
	if err != nil {
		bhlog.Problem(l.node.config.Logger, "sync.since", err, "version", from)
		return nil
	}
	var out []outgoing
	for _, message := range messages {
		if message.Base == 0 && !whole {
			return nil
		}
		out = append(out, outgoing{bhwire.KindConfig, message})
		l.sent = message.Version
	}
	return out
}

func (l *Link) nextHave() []outgoing {
	version := l.node.store.Version()
	if l.greeted && !l.answers && l.said >= version {
		return nil
	}
	have := bhwire.Have{Version: version}
	if l.answers {
		have.Count = l.answer
	}
	have.Revoked, have.Sum = l.node.store.Revocations.Checksum()
	l.greeted, l.answers, l.said = true, false, version
	return []outgoing{{bhwire.KindHave, have}}
}
