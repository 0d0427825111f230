package bhgate

import (
	"context"
	"net/netip"

	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// engineSampleSize is how many engines are asked for their load before a request
// is sent. With six, all are full only if about nine in ten of the fleet are.
const engineSampleSize = 6

// chooseUpstream picks an upstream of the service and counts a request there; the
// caller ends the request with Done. It returns false if no upstream is usable.
func (c *call) chooseUpstream(ctx context.Context, service string, excluded map[string]bool) (bhwatch.Instance, bool) {
	balancer, engineLoads := c.gate.config.Balancer, c.gate.config.EngineLoads
	instances := c.view.Fleet[service]
	if engineLoads == nil || !c.view.Index.IsEngineService(service) {
		return balancer.Pick(instances, excluded, nil)
	}
	sample := balancer.Sample(instances, excluded, engineSampleSize)
	runners := runnerAddresses(sample)
	loads := engineLoads.Query(ctx, runners)
	instance, ok := balancer.Pick(sample, excluded, loads)
	c.choice = engineChoice{asked: len(runners), answered: len(loads), load: loads[instance.RunnerAddr]}
	if ok && instance.RunnerAddr.IsValid() {
		engineLoads.Reserve(instance.RunnerAddr)
	}
	return instance, ok
}

// engineChoice is what the last choice of an engine was based on, for the log.
type engineChoice struct {
	asked    int
	answered int
	// load is that of the chosen engine; its Slots are 0 if the engine reported
	// none.
	load bhwire.Room
}

// logPairs returns the choice as names and values of a log line, or nil if no
// engine was asked.
func (c *engineChoice) logPairs() []any {
	if c.asked == 0 {
		return nil
	}
	return []any{"asked", c.asked, "told", c.answered, "slots", c.load.Slots, "live", c.load.Live, "items", c.load.Items, "room_age", c.load.Age}
}

// runnerAddresses returns the addresses of the runners beside the instances, as
// far as they have one.
func runnerAddresses(instances []bhwatch.Instance) []netip.AddrPort {
	var result []netip.AddrPort
	for _, instance := range instances {
		if instance.RunnerAddr.IsValid() {
			result = append(result, instance.RunnerAddr)
		}
	}
	return result
}
