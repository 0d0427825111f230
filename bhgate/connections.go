package bhgate

import (
	"net/netip"
	"time"

	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// momentaryRest is how long a connection may have been idle that takes a request
	// which may not be sent again. Upstreams that forget idle connections do so later.
	momentaryRest = 200 * time.Millisecond
	// connectedSampleSize is how many of the engines that are asked for their load first
	// are ones with an idle connection. The others are drawn from all, so that a gateway
	// finds the engines that have become free.
	connectedSampleSize = engineSampleSize / 2
)

// connectionRest returns how long a connection to an upstream may have been idle that
// takes the call's next attempt; zero demands a new connection. An upstream is proven
// alive if the runner beside it has just reported its load.
func (c *call) connectionRest(provenAlive bool) time.Duration {
	switch {
	case c.permit != nil:
		return 0 // what breaks a trial must be its upstream, not its connection
	case c.route.Repeatable() && c.sends+1 < c.route.MaxAttempts:
		return bhforward.AnyRest
	case provenAlive || c.route.Kind == bhpolicy.Safe:
		return momentaryRest
	}
	return 0
}

// maxRest returns how long a connection to the instance may have been idle that takes
// the call's next attempt. An engine must have reported its load just now.
func (c *call) maxRest(instance bhwatch.Instance, load bhwire.Room) time.Duration {
	if !c.isEngine(instance.Service) {
		return c.connectionRest(false)
	}
	if !responsive(load) {
		return 0
	}
	return c.connectionRest(true)
}

// responsive reports whether the load is a fresh report of an engine that isn't suspect.
func responsive(load bhwire.Room) bool {
	return load.Slots > 0 && load.Age <= maxLoadAge && !load.Suspect
}

// sampleEngines draws the engines that are asked first for their load. Some of them are
// engines to which a connection is idle.
func (c *call) sampleEngines(instances []bhwatch.Instance, excluded map[string]bool) []bhwatch.Instance {
	balancer := c.gate.config.Balancer
	var connected []bhwatch.Instance
	if maxRest := c.connectionRest(true); maxRest > 0 {
		for _, instance := range instances {
			if c.gate.config.Pool.Idle(instance.Address, maxRest) {
				connected = append(connected, instance)
			}
		}
	}
	return balancer.SampleWith(connected, instances, excluded)
}

// connected returns a function that reports whether the call's next attempt may take an
// idle connection to an instance, for engines whose loads are known. It returns nil for
// others: without the loads, a gateway would prefer the same few upstreams.
func (c *call) connected(loads map[netip.AddrPort]bhwire.Room) func(bhwatch.Instance) bool {
	if len(loads) == 0 {
		return nil
	}
	return func(instance bhwatch.Instance) bool {
		maxRest := c.maxRest(instance, loads[instance.RunnerAddr])
		return maxRest > 0 && c.gate.config.Pool.Idle(instance.Address, maxRest)
	}
}

// countConnection counts the connection on which the answer came.
func (c *call) countConnection(answer *bhforward.Answer) {
	if answer.Reused {
		c.gate.metrics.reused.Inc(1)
	} else {
		c.gate.metrics.connected.Inc(1)
	}
	if answer.Skipped > 0 {
		c.gate.metrics.strays.Inc(int64(answer.Skipped))
		bhlog.Event(c.gate.config.Logger, "answer.skipped", "request", c.id, "upstream", c.upstream, "answers", answer.Skipped)
	}
}
