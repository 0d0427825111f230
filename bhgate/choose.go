package bhgate

import (
	"context"
	"net/netip"

	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// askedEngines is how many engines are asked for their load before a request is
// sent: with six, all are full only if nine in ten of the fleet are.
const askedEngines = 6

// choose picks an upstream of the service and counts a request there.
func (c *call) choose(ctx context.Context, service string, excluded map[string]bool) (bhwatch.Instance, bool) {
	board, rooms := c.gate.config.Balancer, c.gate.config.EngineLoads
	instances := c.view.Fleet[service]
	if rooms == nil || !c.view.Index.Engine(service) {
		return board.Pick(instances, excluded, nil)
	}
	sample := board.Sample(instances, excluded, askedEngines)
	asked := keepers(sample)
	told := rooms.Query(ctx, asked)
	instance, ok := board.Pick(sample, excluded, told)
	c.choice = choice{asked: len(asked), told: len(told), room: told[instance.Keeper]}
	if ok && instance.Keeper.IsValid() {
		rooms.Reserve(instance.Keeper)
	}
	return instance, ok
}

// choice is what the last choice of an engine was based on.
type choice struct {
	asked int
	told  int
	// room is that of the engine chosen; without slots if it told none.
	room bhwire.Room
}

// pairs returns the choice for a line of log.
func (c *choice) pairs() []any {
	if c.asked == 0 {
		return nil
	}
	return []any{"asked", c.asked, "told", c.told, "slots", c.room.Slots, "live", c.room.Live, "items", c.room.Items, "room_age", c.room.Age}
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
