package bhgate

import (
	"context"
	"net/netip"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// roomTimeout bounds the wait for keepers: some round trips between data centres
// of a region, and little of a latency objective of 300 ms.
const roomTimeout = 6 * time.Millisecond

// EngineLoads tells how full engines are.
type EngineLoads interface {
	// Query returns what the keepers of engines answer within some milliseconds.
	Query(ctx context.Context, keepers []netip.AddrPort) map[netip.AddrPort]bhwire.Room
	// Reserve announces a request, so that its engine makes room for it.
	Reserve(keeper netip.AddrPort)
}

// PeerEngineLoads asks the runners beside the engines. It implements Rooms.
type PeerEngineLoads struct {
	Socket *bhpeer.Socket
	Logger bhlog.Logger
}

// Query implements Rooms.
func (p *PeerEngineLoads) Query(ctx context.Context, keepers []netip.AddrPort) map[netip.AddrPort]bhwire.Room {
	rooms := make(map[netip.AddrPort]bhwire.Room)
	for keeper, frame := range p.Socket.Ask(ctx, roomTimeout, bhwire.KindAsk, nil, keepers...) {
		room, err := bhwire.Decode[bhwire.Room](frame)
		if err != nil {
			bhlog.Trace(p.Logger, "room.invalid", "keeper", keeper, "err", err)
			continue
		}
		rooms[keeper] = room
	}
	return rooms
}

// Reserve implements Rooms.
func (p *PeerEngineLoads) Reserve(keeper netip.AddrPort) { p.Socket.Tell(bhwire.KindReserve, keeper) }
