package bhevidence

import (
	"net/netip"

	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// PeerFleet reaches the other gateways and the runners through a datagram socket. It
// implements Peers.
type PeerFleet struct {
	*bhpeer.Directory
	*bhpeer.Socket
	// Self is the address of this process's socket.
	Self netip.AddrPort
	// View returns the upstreams, beside which the runners run.
	View func() bhwatch.View
}

// All implements Peers.
func (p *PeerFleet) All() []netip.AddrPort {
	addresses := p.Others()
	for _, instances := range p.View().Fleet {
		for _, instance := range instances {
			if instance.RunnerAddr.IsValid() && instance.RunnerAddr != p.Self {
				addresses = append(addresses, instance.RunnerAddr)
			}
		}
	}
	return addresses
}
