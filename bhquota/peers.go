package bhquota

import (
	"context"
	"net/netip"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// drawTimeout bounds one ask: some round trips between data centres of a region.
	drawTimeout = 8 * time.Millisecond
	// drawPause is between asks of a gateway that has no token yet: a read and a
	// write of the store.
	drawPause = 15 * time.Millisecond
	// drawMisses is how many asks without an answer make a gateway rest, since
	// single datagrams are lost.
	drawMisses = 2
	// drawPeers is how many gateways are asked, one after the other as they fail.
	drawPeers = 3
	// lendMargin is how long a lent token must still be valid, and the age at which
	// the asker no longer uses it: above drawTimeout by what a busy host may add.
	lendMargin = 100 * time.Millisecond
)

// Peers are the other gateways of the fleet.
type Peers interface {
	// Order returns the gateways in the order in which the fleet turns to them for
	// the account. An invalid address stands for this gateway.
	Order(account string) []netip.AddrPort
	// Draw asks a gateway for one token. It returns false without an answer.
	Draw(ctx context.Context, peer netip.AddrPort, account string) (bhwire.Drawn, bool)
	// Rest passes over a gateway that didn't answer.
	Rest(peer netip.AddrPort)
}

// PeerGateways asks gateways through a socket. It implements Peers.
type PeerGateways struct {
	*bhpeer.Directory
	Socket *bhpeer.Socket
	Logger bhlog.Logger
}

// Draw implements Peers.
func (p *PeerGateways) Draw(ctx context.Context, peer netip.AddrPort, account string) (bhwire.Drawn, bool) {
	frame, ok := p.Socket.Ask(ctx, drawTimeout, bhwire.KindDraw, bhwire.Draw{Account: account}, peer)[peer]
	if !ok {
		return bhwire.Drawn{}, false
	}
	drawn, err := bhwire.Decode[bhwire.Drawn](frame)
	if err != nil {
		bhlog.Problem(p.Logger, "draw.invalid", err, "peer", peer, "account", account)
		return bhwire.Drawn{}, false
	}
	return drawn, true
}

// RegisterHandler has the limiter lend tokens to other gateways through the socket. It is
// called before the socket runs.
func (l *Limiter) RegisterHandler(socket *bhpeer.Socket) {
	socket.Handle(bhwire.KindDraw, func(frame bhwire.Frame) (bhwire.Kind, any) {
		draw, err := bhwire.Decode[bhwire.Draw](frame)
		if err != nil {
			bhlog.Trace(l.config.Logger, "draw.invalid", "err", err)
			return "", nil
		}
		return bhwire.KindDrawn, l.Lend(draw.Account)
	})
}

// Lend spends one token of the account for another gateway if there is one at
// hand, and gets more otherwise. It doesn't wait.
func (l *Limiter) Lend(account string) bhwire.Drawn {
	index := l.config.Index()
	if index == nil || index.AccountNamed(account) == nil {
		return bhwire.Drawn{}
	}
	l.mu.Lock()
	s := l.syncs[account]
	l.mu.Unlock()
	if s != nil {
		drawn := s.lend()
		if drawn.Granted {
			l.lent.Inc(1)
		}
		return drawn
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
		defer cancel()
		if s := l.syncer(ctx, account); s != nil {
			s.lend()
		}
	}()
	return bhwire.Drawn{Reached: true}
}

// order returns the gateways to ask for the account's tokens before this one's
// own turn comes; none if it is the first.
func (l *Limiter) order(account string) []netip.AddrPort {
	if l.config.Peers == nil {
		return nil
	}
	order := l.config.Peers.Order(account)
	for i, peer := range order {
		if !peer.IsValid() || i == drawPeers {
			return order[:i]
		}
	}
	return order
}

// ask asks the gateways for a token. It is settled if one that reaches the store
// answered.
func (l *Limiter) ask(ctx context.Context, order []netip.AddrPort, account string) (granted, settled bool) {
	for _, peer := range order {
		misses := 0
		for ctx.Err() == nil {
			asked := l.config.Clock.Now()
			drawn, ok := l.config.Peers.Draw(ctx, peer, account)
			if !ok {
				if misses++; misses < drawMisses {
					continue
				}
				if ctx.Err() == nil {
					l.config.Peers.Rest(peer)
				}
				break
			}
			if drawn.Granted {
				l.drawn.Inc(1)
				// A host that was suspended meanwhile may hold an old answer.
				return l.config.Clock.Now()-asked < lendMargin, true
			}
			if !drawn.Reached {
				break
			}
			if !bhtree.Sleep(ctx, drawPause) {
				return false, true
			}
		}
	}
	return false, false
}
