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

// Rooms tells how full engines are.
type Rooms interface {
	// Ask returns what the keepers of engines answer within some milliseconds.
	Ask(ctx context.Context, keepers []netip.AddrPort) map[netip.AddrPort]bhwire.Room
	// Reserve announces a request, so that its engine makes room for it.
	Reserve(keeper netip.AddrPort)
}

// PeerRooms asks the runners beside the engines. It implements Rooms.
type PeerRooms struct {
	Socket *bhpeer.Socket
	Logger bhlog.Logger
}

// Ask implements Rooms.
func (p *PeerRooms) Ask(ctx context.Context, keepers []netip.AddrPort) map[netip.AddrPort]bhwire.Room {
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
func (p *PeerRooms) Reserve(keeper netip.AddrPort) { p.Socket.Tell(bhwire.KindReserve, keeper) }
