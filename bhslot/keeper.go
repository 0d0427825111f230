// Package bhslot lets gateways see how full engines are. The runner beside an
// engine answers their questions and takes in the requests that they announce.
//
// Both travel in datagrams, unlike what other processes of the fleet exchange:
// an answer is worth nothing some milliseconds later, so that none is repeated,
// and nothing has to be known of connections that fell silent.
package bhslot

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// maxDatagram is above any frame about slots.
const maxDatagram = 512

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	// Address is where the keeper listens.
	Address string
	// Room returns what the engine has left now.
	Room func() bhwire.Room
	// Reserve takes in that a live request is on its way to the engine.
	Reserve func()
	Logger  bhlog.Logger
}

// Keeper answers gateways for one engine.
type Keeper struct {
	config KeeperConfig
}

// NewKeeper returns a keeper that doesn't listen yet.
func NewKeeper(config KeeperConfig) *Keeper { return &Keeper{config: config} }

// Run answers until ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	conn, err := listen(ctx, k.config.Address)
	if err != nil {
		return err
	}
	bhlog.Event(k.config.Logger, "keeper.serving", "address", k.config.Address)
	return receive(ctx, conn, func(frame bhwire.Frame, from netip.AddrPort) {
		switch frame.Kind {
		case bhwire.KindReserve:
			k.config.Reserve()
		case bhwire.KindAsk:
			if err := send(conn, bhwire.KindRoom, frame.Stream, k.config.Room(), from); err != nil {
				bhlog.Trace(k.config.Logger, "keeper.unsent", "to", from, "err", err)
			}
		}
	})
}

// listen returns a socket that closes once ctx is done.
func listen(ctx context.Context, address string) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, errors.Wrap(err, "listening for datagrams")
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, nil
}

// receive hands valid frames to the handler until ctx is done.
func receive(ctx context.Context, conn *net.UDPConn, handle func(frame bhwire.Frame, from netip.AddrPort)) error {
	defer conn.Close()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			time.Sleep(time.Millisecond) // an earlier datagram found nobody
			continue
		}
		if frame, _, err := bhwire.NextFrame(buffer[:n]); err == nil {
			handle(frame, from)
		}
	}
}

// send sends one frame. A nil message leaves its body empty.
func send(conn *net.UDPConn, kind bhwire.Kind, stream uint64, message any, to netip.AddrPort) error {
	frame := bhwire.Frame{Kind: kind, Stream: stream}
	if message != nil {
		var err error
		if frame, err = bhwire.Encode(kind, stream, message); err != nil {
			return err
		}
	}
	data, err := bhwire.AppendFrame(nil, frame)
	if err != nil {
		return err
	}
	_, err = conn.WriteToUDPAddrPort(data, to)
	return errors.WithStack(err)
}
