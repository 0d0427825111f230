package bhgate

import (
	"context"
	"net/netip"

	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// askedEngines is how many engines are asked for their load before a request is
// sent: with six, all are full only if nine in ten of the fleet are.
const askedEngines = 6

// choose picks an upstream of the service and counts a request there.
func (c *call) choose(ctx context.Context, service string, excluded map[string]bool) (bhwatch.Instance, bool) {
	board, rooms := c.gate.config.Board, c.gate.config.Rooms
	instances := c.view.Fleet[service]
	if rooms == nil || !c.view.Index.Engine(service) {
		return board.Pick(instances, excluded, nil)
	}
	sample := board.Sample(instances, excluded, askedEngines)
	instance, ok := board.Pick(sample, excluded, rooms.Ask(ctx, keepers(sample)))
	if ok && instance.Keeper.IsValid() {
		rooms.Reserve(instance.Keeper)
	}
	return instance, ok
}

// keepers returns the addresses of the instances' keepers.
func keepers(instances []bhwatch.Instance) []netip.AddrPort {
	var result []netip.AddrPort
	for _, instance := range instances {
		if instance.Keeper.IsValid() {
			result = append(result, instance.Keeper)
		}
	}
	return result
}
