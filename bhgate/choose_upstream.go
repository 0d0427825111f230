package bhgate

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/baobabhaven/baobabhaven/bhadmit"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhshare"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// engineSampleSize is how many engines are asked for their load before a request
	// is sent. With six, all are full only if about nine in ten of the fleet are.
	engineSampleSize = 6
	// widenedSampleSize is how many more are asked if those are full.
	widenedSampleSize = 24
)

// chooseUpstream picks an upstream of the service and counts a request there; the
// caller ends the request with Done. It returns NoUpstream if no upstream is
// usable, and Overloaded if the request would wait too long at each engine. A
// resumed stream is never refused for that.
func (c *call) chooseUpstream(ctx context.Context, service string, excluded map[string]bool, resume bool) (bhwatch.Instance, error) {
	instances := c.instances(service)
	c.limitWait = 0
	c.observeCold(service, instances, nil)
	if !c.isEngine(service) {
		return c.pickAllowed(ctx, service, instances, excluded, nil)
	}
	c.choice = engineChoice{}
	instance, loads, err := c.pickEngine(ctx, service, instances, excluded, resume)
	if err != nil {
		return instance, err
	}
	load := loads[instance.RunnerAddr]
	c.choice.load = load
	if load.Slots > 0 && load.Age <= maxLoadAge && !resume {
		if err := c.admitTo(service, load, loads); err != nil {
			c.gate.config.Balancer.Done(instance.ID)
			return instance, err
		}
	}
	if instance.RunnerAddr.IsValid() {
		c.gate.config.EngineLoads.Reserve(instance.RunnerAddr, c.caller())
		c.watchEngine(instance.RunnerAddr)
	}
	return instance, nil
}

// pickEngine asks a sample of the engines for their loads, and more of them if these are full,
// and picks one. It returns the loads that it was told.
func (c *call) pickEngine(ctx context.Context, service string, instances []bhwatch.Instance, excluded map[string]bool, resume bool) (bhwatch.Instance, map[netip.AddrPort]bhwire.Room, error) {
	sample := c.sampleEngines(instances, excluded)
	loads := c.queryLoads(ctx, service, sample)
	candidates := sample
	if !c.anyFree(sample, excluded, loads) {
		candidates = c.widen(ctx, service, instances, sample, excluded, loads)
		if !resume && c.standing(loads).Yields() != bhshare.None && !c.anyFree(candidates, excluded, loads) {
			candidates = c.widen(ctx, service, instances, candidates, excluded, loads)
		}
	}
	if instance, ok := c.pickSoonest(ctx, service, candidates, excluded, loads); ok {
		return instance, loads, nil
	}
	if len(candidates) > len(sample) {
		return bhwatch.Instance{}, loads, c.noneWithinLimit(service)
	}
	candidates = c.widen(ctx, service, instances, sample, excluded, loads)
	instance, err := c.pickAllowed(ctx, service, candidates, excluded, loads)
	return instance, loads, err
}

// pickAllowed picks one of the candidates whose limit, if it has one, allows the request.
func (c *call) pickAllowed(ctx context.Context, service string, candidates []bhwatch.Instance, excluded map[string]bool, loads map[netip.AddrPort]bhwire.Room) (bhwatch.Instance, error) {
	instance, ok := c.pickWithinLimit(ctx, service, candidates, excluded, loads)
	if !ok {
		return instance, c.noneWithinLimit(service)
	}
	return instance, nil
}

// anyFree reports whether the best one of the sample takes a request at once: it isn't full,
// suspect or leaving, and its limit, if it names one, allows the request.
func (c *call) anyFree(sample []bhwatch.Instance, excluded map[string]bool, loads map[netip.AddrPort]bhwire.Room) bool {
	best, ok := c.gate.config.Balancer.Pick(withinLimits(sample, loads), excluded, loads)
	if !ok {
		return false
	}
	c.gate.config.Balancer.Done(best.ID)
	load := loads[best.RunnerAddr]
	return !full(load) && !load.Suspect
}

// widen asks more engines for their loads, which it adds, and returns them with the sample.
func (c *call) widen(ctx context.Context, service string, instances, sample []bhwatch.Instance, excluded map[string]bool, loads map[netip.AddrPort]bhwire.Room) []bhwatch.Instance {
	others := maps.Clone(excluded)
	for _, asked := range sample {
		others[asked.ID] = true
	}
	more := c.gate.config.Balancer.Sample(instances, others, widenedSampleSize)
	maps.Copy(loads, c.queryLoads(ctx, service, more))
	return append(sample[:len(sample):len(sample)], more...)
}

// queryLoads asks the runners beside the instances for the loads of their engines.
func (c *call) queryLoads(ctx context.Context, service string, instances []bhwatch.Instance) map[netip.AddrPort]bhwire.Room {
	runners := runnerAddresses(instances)
	loads := c.gate.config.EngineLoads.Query(ctx, runners)
	c.observeLoads(instances, loads)
	c.observeCold(service, instances, loads)
	c.choice.asked += len(runners)
	c.choice.answered += len(loads)
	return loads
}

// admitTo decides whether the request may wait for the engine with the load, the best of
// those with the loads. It returns an Overloaded error with the time to come back if not.
func (c *call) admitTo(service string, load bhwire.Room, loads map[netip.AddrPort]bhwire.Room) error {
	now := time.Now()
	request := bhadmit.Request{Deadline: c.workUntil().Sub(now)}
	if c.route.LatencyObjective > 0 {
		request.Objective = c.arrived.Add(c.route.LatencyObjective).Sub(now)
	}
	if full(load) {
		request.Standing = c.standing(loads)
		c.choice.standing = request.Standing
	}
	times := c.gate.times.of(service)
	decision := c.gate.config.Admission.Decide(request, toEngine(load), times)
	c.choice.wait = decision.Wait
	if decision.Admitted {
		return nil
	}
	yields := request.Standing.Yields()
	c.gate.metrics.notAdmitted[yields].Inc(1)
	if yields != bhshare.None {
		// The client isn't told what others have; the log is.
		return bhcode.New(bhcode.Overloaded, "all engines asked of service %q are full, and the request yields to other callers by %s", service, yields).WithRetryAfter(decision.RetryAfter)
	}
	return bhcode.New(bhcode.Overloaded, "all engines asked of service %q are full: the first token would take %s, with %s left for it",
		service, decision.Wait+times.First, request.Objective).WithRetryAfter(decision.RetryAfter)
}

// full reports whether the engine with the load has no slot for a live request.
func full(load bhwire.Room) bool { return load.Slots > 0 && !toEngine(load).Free() }

// toEngine returns the load as the admission sees it.
func toEngine(load bhwire.Room) bhadmit.Engine {
	return bhadmit.Engine{Slots: load.Slots, Live: load.Live, Items: load.Items, Oldest: load.Oldest}
}

// engineChoice is what the last choice of an engine was based on, for the log.
type engineChoice struct {
	asked    int
	answered int
	// load is that of the chosen engine; its Slots are 0 if the engine reported
	// none.
	load bhwire.Room
	// wait is the expected wait for a slot there.
	wait time.Duration
	// standing is how the request stands among the callers, if all engines were full.
	standing bhshare.Standing
}

// logPairs returns the choice as names and values of a log line, or nil if no
// engine was asked.
func (c *engineChoice) logPairs() []any {
	if c.asked == 0 {
		return nil
	}
	pairs := []any{"asked", c.asked, "told", c.answered, "slots", c.load.Slots, "live", c.load.Live, "items", c.load.Items, "room_age", c.load.Age, "wait", c.wait}
	if c.standing.Accounts > 0 {
		pairs = append(pairs, "own", c.standing.Own, "fair", c.standing.Fair, "accounts", c.standing.Accounts, "urgent", c.standing.Urgent, "yields", c.standing.Yields())
	}
	return pairs
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
