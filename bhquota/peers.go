package bhquota

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// drawTimeout bounds one draw, the request for tokens of another gateway. It
	// covers a few round trips between data centres of a region.
	drawTimeout = 8 * time.Millisecond
	// drawRetryDelay is the delay between draws from a gateway that reaches the
	// store but has no token yet. It covers a read and a write of the store.
	drawRetryDelay = 15 * time.Millisecond
	// promiseDuration is how long a gateway keeps a token that it took for another one.
	// It covers a few draws of a gateway that asks again.
	promiseDuration = 3 * (drawRetryDelay + drawTimeout)
	// maxUnansweredDraws is after how many unanswered draws a gateway is passed
	// over. One isn't enough, since single datagrams get lost.
	maxUnansweredDraws = 2
	// maxUnansweredInAll is after how many unanswered draws a request turns to the
	// store, so that there is time left for it.
	maxUnansweredInAll = 3
	// maxDrawPeers is the most gateways to draw from for one request. The next one
	// is tried when one doesn't answer or doesn't reach the store.
	maxDrawPeers = 3
	// maxOutagePeers is the same while the store can't be reached.
	maxOutagePeers = 8
	// maxDrawCount bounds the requests that one draw counts.
	maxDrawCount = 10_000
	// maxOverAge is how long a gateway refuses requests by an answer that the account
	// has used up its tokens, before it asks again. A token that accrues meanwhile waits
	// for the next asker.
	maxOverAge = 50 * time.Millisecond
	// lentTokenValidity is how long a lender's lease must still be valid when it
	// lends a token, and the age of a draw from which on its sender doesn't use the
	// token. It exceeds drawTimeout by the delay that a busy host may add.
	lentTokenValidity = 100 * time.Millisecond
)

// Peers gives access to the other gateways of the fleet.
type Peers interface {
	// Order returns the gateways in the order in which the fleet draws the
	// account's tokens from them. It is the same at all gateways that know the same
	// ones. An invalid address stands for this gateway.
	Order(account string) []netip.AddrPort
	// Count returns the number of gateways, also of those that Order leaves out.
	Count() int
	// Draw asks a gateway for tokens of an account. It reports false if there was no
	// valid answer.
	Draw(ctx context.Context, peer netip.AddrPort, draw bhwire.Draw) (bhwire.Drawn, bool)
	// Rest leaves a gateway that didn't answer out of Order for a while.
	Rest(peer netip.AddrPort)
}

// PeerGateways draws tokens from other gateways through a datagram socket. It
// implements Peers.
type PeerGateways struct {
	*bhpeer.Directory
	Socket *bhpeer.Socket
	Logger bhlog.Logger
}

// Draw implements Peers.
func (p *PeerGateways) Draw(ctx context.Context, peer netip.AddrPort, draw bhwire.Draw) (bhwire.Drawn, bool) {
	frame, ok := p.Socket.Ask(ctx, drawTimeout, bhwire.KindDraw, draw, peer)[peer]
	if !ok {
		return bhwire.Drawn{}, false
	}
	drawn, err := bhwire.Decode[bhwire.Drawn](frame)
	if err != nil {
		bhlog.Problem(p.Logger, "draw.invalid", err, "peer", peer, "account", draw.Account)
		return bhwire.Drawn{}, false
	}
	if drawn.Granted && drawn.Tokens == 0 {
		drawn.Tokens = 1 // from a gateway that lends one at a time
	}
	return drawn, true
}

// RegisterHandler registers the handler by which the limiter lends tokens to
// other gateways on the socket. It must be called before the socket runs.
func (l *Limiter) RegisterHandler(socket *bhpeer.Socket) {
	socket.Handle(bhwire.KindDraw, func(frame bhwire.Frame) (bhwire.Kind, any) {
		draw, err := bhwire.Decode[bhwire.Draw](frame)
		if err != nil {
			bhlog.Trace(l.config.Logger, "draw.invalid", "err", err)
			return "", nil
		}
		return bhwire.KindDrawn, l.Lend(draw)
	})
}

// Lend spends tokens of the account for another gateway, at most as many as the draw
// counts. If this gateway has too few, it starts getting some from the store. It
// doesn't wait.
func (l *Limiter) Lend(draw bhwire.Draw) bhwire.Drawn {
	index := l.config.Index()
	if index == nil || index.AccountNamed(draw.Account) == nil {
		return bhwire.Drawn{}
	}
	draw.Count, draw.Refused = min(max(1, draw.Count), maxDrawCount), min(max(0, draw.Refused), maxDrawCount)
	l.mu.Lock()
	s := l.syncers[draw.Account]
	l.mu.Unlock()
	if s != nil {
		drawn := s.lend(draw)
		drawn.Granted = drawn.Tokens > 0
		l.lent.Inc(int64(drawn.Tokens))
		return drawn
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
		defer cancel()
		if s := l.syncerFor(ctx, draw.Account); s != nil {
			// The asker comes back for the tokens.
			s.requestTokens(draw.Count)
		}
	}()
	return bhwire.Drawn{Reached: true}
}

// peerOrder is the fleet's order of drawing an account's tokens, as one gateway sees it.
type peerOrder struct {
	// before are the gateways before this one, after those behind it.
	before []netip.AddrPort
	after  []netip.AddrPort
	// central reports that one gateway keeps the account's tokens for all. With more
	// gateways than minLocalShare allows, none sees enough of the demand to keep the
	// right part, and what it kept would be missing where the demand jumps.
	central bool
}

// orderFor returns the order of the account. It is empty without other gateways.
func orderFor(peers Peers, account string) peerOrder {
	if peers == nil {
		return peerOrder{}
	}
	order := peerOrder{after: peers.Order(account), central: float64(peers.Count())*minLocalShare > 1}
	if own := slices.IndexFunc(order.after, func(peer netip.AddrPort) bool { return !peer.IsValid() }); own >= 0 {
		order.before, order.after = order.after[:own], order.after[own+1:]
	}
	return order
}

// draw returns the gateways to draw tokens from, none if this gateway is the first.
func (o peerOrder) draw() []netip.AddrPort { return o.before[:min(len(o.before), maxDrawPeers)] }

// outage returns the gateways to draw from while this one can't reach the store: those
// after it, then the first ones.
func (o peerOrder) outage() []netip.AddrPort {
	others := append(slices.Clone(o.after), o.before...)
	return others[:min(len(others), maxOutagePeers)]
}
