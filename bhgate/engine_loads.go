package bhgate

import (
	"context"
	"net/netip"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// loadTimeout bounds the wait for load reports: several round trips between data
// centres of a region, but a small part of a latency objective of 300 ms.
const loadTimeout = 6 * time.Millisecond

// EngineLoads reports the load of engines and announces requests to them. An
// engine is addressed by the runner beside it.
type EngineLoads interface {
	// Query returns the loads that the runners report within a few milliseconds.
	// Runners that don't answer in time are missing from the result.
	Query(ctx context.Context, runners []netip.AddrPort) map[netip.AddrPort]bhwire.Room
	// Reserve announces a live request of the caller to the runner, which pauses a
	// batch item if all slots of its engine are taken.
	Reserve(runner netip.AddrPort, caller bhwire.Reserve)
	// Fault reports to the runner that a request failed at its engine, or got no
	// first event in time.
	Fault(runner netip.AddrPort)
}

// PeerEngineLoads queries the runners by datagrams. It implements EngineLoads.
type PeerEngineLoads struct {
	Socket *bhpeer.Socket
	Logger bhlog.Logger
}

// Query implements EngineLoads.
func (p *PeerEngineLoads) Query(ctx context.Context, runners []netip.AddrPort) map[netip.AddrPort]bhwire.Room {
	loads := make(map[netip.AddrPort]bhwire.Room)
	for runner, frame := range p.Socket.Ask(ctx, loadTimeout, bhwire.KindAsk, nil, runners...) {
		load, err := bhwire.Decode[bhwire.Room](frame)
		if err != nil {
			bhlog.Trace(p.Logger, "room.invalid", "keeper", runner, "err", err)
			continue
		}
		loads[runner] = load
	}
	return loads
}

// Reserve implements EngineLoads.
func (p *PeerEngineLoads) Reserve(runner netip.AddrPort, caller bhwire.Reserve) {
	p.Socket.Tell(bhwire.KindReserve, caller, runner)
}

// Fault implements EngineLoads.
func (p *PeerEngineLoads) Fault(runner netip.AddrPort) { p.Socket.Tell(bhwire.KindFault, nil, runner) }
