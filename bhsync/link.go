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
	messageSendTimeout = 5 * time.Second
	// maxRevokeDigests is the maximum number of digests in one Revoke message.
	maxRevokeDigests = 1000
	// maxPendingProbes is the maximum number of unanswered probes of a link. No
	// more are sent until one is answered.
	maxPendingProbes = 16
)

// Peer sends messages to the other host of a control session. *bhlink.Session
// implements it.
type Peer interface {
	// SendMessage encodes message as a frame of the given kind and sends it.
	SendMessage(ctx context.Context, kind bhwire.Kind, stream uint64, message any) error
}

// Link exchanges configurations, revocations and probes with one peer. It
// computes each message from the state of both hosts when it sends, and keeps
// no queue, so a slow peer uses no extra memory and doesn't delay other peers.
type Link struct {
	node  *Node
	peer  Peer
	hello bhwire.Hello

	// wake receives a value when there may be something to send.
	wake      chan struct{}
	cancel    context.CancelFunc
	done      chan struct{}
	closeOnce sync.Once

	// Node.mu guards the fields below.

	// haveReceived reports whether the peer has sent a Have message.
	haveReceived bool
	// peerVersion is the newest version that the peer is known to have,
	// pushedVersion the last one sent to it, and announcedVersion the last one
	// sent to it in a Have message.
	peerVersion, pushedVersion, announcedVersion int64
	// revocationsSent is the number of this host's revocations, in order of
	// addition, that the peer has been sent or is known to have, and
	// revocationsConfirmed the number that it has confirmed.
	revocationsSent, revocationsConfirmed int
	// haveSent reports whether the peer has been sent a Have message.
	haveSent bool
	// answerDue means that the peer's probe number answerCount is to be
	// answered.
	answerCount uint64
	answerDue   bool
	// needReceived means that the peer asked for the versions after
	// neededAfter.
	needReceived bool
	neededAfter  int64
	// pullQueued means that a Need message for the versions after pullAfter is
	// to be sent.
	pullQueued bool
	pullAfter  int64
	// probeDue means that a probe is to be sent.
	probeDue      bool
	pendingProbes []pendingProbe
	// probeCount is the number of the last probe sent.
	probeCount uint64
	// lastContact is the send time of the last answered probe.
	lastContact time.Time
}

// pendingProbe is a probe that the peer hasn't answered yet.
type pendingProbe struct {
	count  uint64
	sentAt time.Time
	// revocationsSent is Link.revocationsSent as of the probe. The answer
	// confirms that many revocations.
	revocationsSent int
}

// AddPeer starts the exchange with a peer. The caller must pass each frame
// received from the peer to Handle, and call Close when the session has ended.
func (n *Node) AddPeer(peer Peer, hello bhwire.Hello) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	link := &Link{
		node:     n,
		peer:     peer,
		hello:    hello,
		wake:     make(chan struct{}, 1),
		cancel:   cancel,
		done:     make(chan struct{}),
		probeDue: hello.Role == string(bhconf.RoleEntry),
	}
	n.mu.Lock()
	n.links[link] = true
	close(n.joined)
	n.joined = make(chan struct{})
	n.mu.Unlock()
	if link.isEntry() {
		n.store.SetOnlyEntry(false)
	}
	link.notify()
	go link.runSender(ctx)
	return link
}

// Close ends the exchange and waits until the sending goroutine has returned.
// It always returns nil.
func (l *Link) Close() error {
	l.closeOnce.Do(func() {
		l.cancel()
		l.node.mu.Lock()
		delete(l.node.links, l)
		l.node.mu.Unlock()
	})
	<-l.done
	return nil
}

// Handle processes a frame from the peer. It reports handled as false for kinds
// of frames that don't belong to this package. A non-nil error means that the
// frame can't be decoded, which violates the protocol.
func (l *Link) Handle(frame bhwire.Frame) (handled bool, err error) {
	l.node.recordEntryFrame(l)
	switch frame.Kind {
	case bhwire.KindConfig:
		return true, decodeAndHandle(frame, l.handleConfig)
	case bhwire.KindNeed:
		return true, decodeAndHandle(frame, l.handleNeed)
	case bhwire.KindRevoke:
		return true, decodeAndHandle(frame, l.handleRevoke)
	case bhwire.KindProbe:
		return true, decodeAndHandle(frame, l.handleProbe)
	case bhwire.KindHave:
		return true, decodeAndHandle(frame, l.handleHave)
	}
	return false, nil
}

func decodeAndHandle[M any](frame bhwire.Frame, handle func(M)) error {
	message, err := bhwire.Decode[M](frame)
	if err != nil {
		return err
	}
	handle(message)
	return nil
}

func (l *Link) handleConfig(message bhwire.Config) {
	l.node.mu.Lock()
	l.peerVersion = max(l.peerVersion, message.Version)
	l.node.mu.Unlock()
	l.node.apply(message, l)
}

func (l *Link) handleNeed(need bhwire.Need) {
	l.node.mu.Lock()
	l.needReceived, l.neededAfter = true, need.Version
	l.node.mu.Unlock()
	l.notify()
}

func (l *Link) handleRevoke(message bhwire.Revoke) {
	added := l.node.store.Revocations.Revoke(message.Digests...)
	if len(added) > 0 {
		bhlog.Event(l.node.config.Logger, "key.revoked", "count", len(added), "from", l.hello.Host)
		l.node.notifyLinks()
	}
}

func (l *Link) handleProbe(probe bhwire.Probe) {
	l.node.mu.Lock()
	l.answerDue, l.answerCount = true, probe.Count
	l.node.mu.Unlock()
	l.notify()
}

func (l *Link) handleHave(have bhwire.Have) {
	count, sum := l.node.store.Revocations.Checksum()
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.peerVersion = max(l.peerVersion, have.Version)
	if !l.haveReceived {
		l.haveReceived = true
		if count == have.Revoked && sum == have.Sum {
			l.revocationsSent, l.revocationsConfirmed = count, count
		}
	}
	for len(l.pendingProbes) > 0 && l.pendingProbes[0].count <= have.Count {
		answered := l.pendingProbes[0]
		l.pendingProbes = l.pendingProbes[1:]
		l.revocationsConfirmed = max(l.revocationsConfirmed, answered.revocationsSent)
		l.lastContact = answered.sentAt
		if l.isEntry() {
			l.node.store.ConfirmContact(answered.sentAt)
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

// outgoing is a message to be sent with the kind of its frame.
type outgoing struct {
	kind    bhwire.Kind
	message any
}

// runSender sends messages whenever the link is woken, until ctx is done or
// sending fails.
func (l *Link) runSender(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for _, out := range l.nextMessages(time.Now()) {
			if err := l.send(ctx, out); err != nil {
				bhlog.Problem(l.node.config.Logger, "sync.send", err, "peer", l.hello.Host)
				return
			}
		}
	}
}

func (l *Link) send(ctx context.Context, out outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, messageSendTimeout)
	defer cancel()
	return l.peer.SendMessage(ctx, out.kind, 0, out.message)
}

// nextMessages returns the messages to send to the peer now, in the order
// revocations, configurations, answers to probes, requests. Since an answer
// follows the revocations and configurations, a peer that receives it has
// received those too.
func (l *Link) nextMessages(now time.Time) []outgoing {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	out := l.revocationMessages()
	out = append(out, l.configMessages()...)
	out = append(out, l.haveMessages()...)
	if l.pullQueued {
		l.pullQueued = false
		out = append(out, outgoing{bhwire.KindNeed, bhwire.Need{Version: l.pullAfter}})
	}
	if l.probeDue && len(l.pendingProbes) < maxPendingProbes {
		l.probeDue = false
		l.probeCount++
		l.pendingProbes = append(l.pendingProbes, pendingProbe{count: l.probeCount, sentAt: now, revocationsSent: l.revocationsSent})
		out = append(out, outgoing{bhwire.KindProbe, bhwire.Probe{Count: l.probeCount}})
	}
	return out
}

// revocationMessages returns the revocations that the peer hasn't been sent. It
// returns none before the peer's first Have, which tells whether the peer
// already has the same set.
func (l *Link) revocationMessages() []outgoing {
	if !l.haveReceived {
		return nil
	}
	var out []outgoing
	for digests := l.node.store.Revocations.AddedAfter(l.revocationsSent); len(digests) > 0; {
		chunk := digests[:min(len(digests), maxRevokeDigests)]
		digests = digests[len(chunk):]
		l.revocationsSent += len(chunk)
		l.probeDue = true
		out = append(out, outgoing{bhwire.KindRevoke, bhwire.Revoke{Digests: chunk}})
	}
	return out
}

// configMessages returns the configurations to send: those the peer asked for,
// or newer ones that this host pushes. A full configuration is sent only on
// request.
func (l *Link) configMessages() []outgoing {
	store := l.node.store
	version := store.Version()
	base := max(l.peerVersion, l.pushedVersion)
	allowFull := false
	switch {
	case l.needReceived:
		base, allowFull = l.neededAfter, true
	case l.peerVersion == 0 || base >= version || !l.node.pushesTo(l, version):
		return nil
	}
	l.needReceived = false
	messages, err := store.MessagesSince(base)
	if err != nil {
		bhlog.Problem(l.node.config.Logger, "sync.since", err, "version", base)
		return nil
	}
	var out []outgoing
	for _, message := range messages {
		if message.Base == 0 && !allowFull {
			return nil
		}
		out = append(out, outgoing{bhwire.KindConfig, message})
		l.pushedVersion = message.Version
	}
	return out
}

// haveMessages returns a Have message if it is the first one, if a probe is to
// be answered, or if there is a newer version to announce.
func (l *Link) haveMessages() []outgoing {
	version := l.node.store.Version()
	if l.haveSent && !l.answerDue && l.announcedVersion >= version {
		return nil
	}
	have := bhwire.Have{Version: version}
	if l.answerDue {
		have.Count = l.answerCount
	}
	have.Revoked, have.Sum = l.node.store.Revocations.Checksum()
	l.haveSent, l.answerDue, l.announcedVersion = true, false, version
	return []outgoing{{bhwire.KindHave, have}}
}
