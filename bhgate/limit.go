package bhgate

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// maxLimitAsks bounds the upstreams that are asked for in turn for one request.
const maxLimitAsks = 4

// Limits keeps the whole fleet to the limits that upstreams name, and to what they tolerate
// while they are cold.
type Limits interface {
	// Take takes the right to send one request to the instance, which may be an engine. The
	// caller waits for the delay of the decision.
	Take(ctx context.Context, instance bhwatch.Instance, engine bool, ask bhcap.Ask) bhcap.Decision
	// ObserveCold adds that the instance, which may be an engine, is cold.
	ObserveCold(instance bhwatch.Instance, engine bool, cold bhcap.Cold)
	// Observe adds what an answer of the instance said about its limit.
	Observe(instance bhwatch.Instance, engine bool, naming bhcap.Naming)
}

// ownLimits keeps one gateway to limits. It implements Limits.
type ownLimits struct{ ledger *bhcap.Ledger }

// Take implements Limits.
func (l ownLimits) Take(_ context.Context, instance bhwatch.Instance, _ bool, ask bhcap.Ask) bhcap.Decision {
	return l.ledger.Take(bhcap.Upstream{ID: instance.ID, Born: instance.Born}, ask, time.Now())
}

// ObserveCold implements Limits.
func (l ownLimits) ObserveCold(instance bhwatch.Instance, _ bool, cold bhcap.Cold) {
	l.ledger.ObserveCold(bhcap.Upstream{ID: instance.ID, Born: instance.Born}, cold, time.Now())
}

// Observe implements Limits.
func (l ownLimits) Observe(instance bhwatch.Instance, _ bool, naming bhcap.Naming) {
	l.ledger.Observe(bhcap.Upstream{ID: instance.ID, Born: instance.Born}, naming)
}

// pickWithinLimit picks an instance like Balancer.Pick whose limits allow the request now. It
// returns false if there is none.
func (c *call) pickWithinLimit(ctx context.Context, service string, instances []bhwatch.Instance, excluded map[string]bool, loads map[netip.AddrPort]bhwire.Room) (bhwatch.Instance, bool) {
	for _, instance := range instances {
		if wait := loads[instance.RunnerAddr].Wait; wait > 0 && !excluded[instance.ID] {
			c.passedOver(instance, wait)
		}
	}
	allowed, refused := withinLimits(instances, loads), maps.Clone(excluded)
	for range maxLimitAsks {
		instance, ok := c.gate.config.Balancer.PickPreferring(allowed, refused, loads, c.connected(loads))
		if !ok {
			return instance, false
		}
		decision := c.gate.config.Limits.Take(ctx, instance, c.isEngine(service), c.ask(0))
		if decision.Granted {
			return instance, true
		}
		c.gate.config.Balancer.Done(instance.ID)
		refused[instance.ID] = true
		c.passedOver(instance, decision.Wait)
	}
	return bhwatch.Instance{}, false
}

// awaitLimit takes what an instance that was passed over for its limits grants next, and waits
// for it, if the request is then still answered within its latency objective. It returns
// false if no instance grants that.
func (c *call) awaitLimit(ctx context.Context, service string, instances []bhwatch.Instance, excluded map[string]bool, loads map[netip.AddrPort]bhwire.Room) (bhwatch.Instance, bool) {
	if c.route.LatencyObjective <= 0 {
		return bhwatch.Instance{}, false
	}
	patience := time.Until(c.arrived.Add(c.route.LatencyObjective)) - c.gate.times.of(service).First
	soonest := slices.DeleteFunc(slices.Clone(instances), func(instance bhwatch.Instance) bool {
		wait, limited := c.limitWaits[instance.ID]
		return !limited || wait > patience || excluded[instance.ID]
	})
	slices.SortFunc(soonest, func(a, b bhwatch.Instance) int { return cmp.Compare(c.limitWaits[a.ID], c.limitWaits[b.ID]) })
	for _, candidate := range soonest[:min(len(soonest), maxLimitAsks)] {
		instance, ok := c.gate.config.Balancer.Pick([]bhwatch.Instance{candidate}, excluded, loads)
		if !ok {
			continue
		}
		decision := c.gate.config.Limits.Take(ctx, instance, c.isEngine(service), c.ask(patience))
		if decision.Granted && bhtree.Sleep(ctx, decision.Delay) && c.stillAllowed(instance) {
			return instance, true
		}
		c.gate.config.Balancer.Done(instance.ID)
		if decision.Granted {
			break // the call ended, or the policy changed
		}
		c.passedOver(instance, decision.Wait)
	}
	return bhwatch.Instance{}, false
}

// ask returns the question whether the call may be sent to an instance with limits.
func (c *call) ask(patience time.Duration) bhcap.Ask {
	return bhcap.Ask{Class: bhcap.LiveClass(bhpolicy.PriorityOf(c.route, c.account)), Patience: patience}
}

// stillAllowed reports whether the call may be sent to the instance by the newest view: its
// policy is the one of the call.
func (c *call) stillAllowed(instance bhwatch.Instance) bool {
	view := c.gate.config.Policies.View()
	return view.Index == c.view.Index && view.Serves(instance) && !view.Evacuated[instance.Zone]
}

// observeCold adds which of the service's instances are cold: those whose records say so, or
// the runners that told of their loads.
func (c *call) observeCold(service string, instances []bhwatch.Instance, loads map[netip.AddrPort]bhwire.Room) {
	known := c.view.Index.ServiceNamed(service)
	if known == nil || known.ColdRate <= 0 {
		return
	}
	now, clock := time.Now(), c.gate.config.Clock.Now()
	for _, instance := range instances {
		left := min(known.ColdTime, max(loads[instance.RunnerAddr].Cold, instance.ColdUntil-clock))
		if left > 0 {
			c.gate.config.Limits.ObserveCold(instance, c.isEngine(service), bhcap.Cold{Rate: known.ColdRate, Until: now.Add(left)})
		}
	}
}

// withinLimits returns the instances without those whose runner says that their limit allows
// no request now.
func withinLimits(instances []bhwatch.Instance, loads map[netip.AddrPort]bhwire.Room) []bhwatch.Instance {
	if len(loads) == 0 {
		return instances
	}
	var allowed []bhwatch.Instance
	for _, instance := range instances {
		if loads[instance.RunnerAddr].Wait <= 0 {
			allowed = append(allowed, instance)
		}
	}
	return allowed
}

// passedOver records that an upstream was passed over because its limits allow no request
// for the time.
func (c *call) passedOver(instance bhwatch.Instance, wait time.Duration) {
	if c.limitWaits == nil {
		c.limitWaits = make(map[string]time.Duration)
	}
	c.limitWaits[instance.ID] = max(wait, time.Millisecond)
}

// noneWithinLimit returns the error of a call for which no upstream is left that its limit
// allows: that of noUpstream if no limit is the reason.
func (c *call) noneWithinLimit(service string) error {
	if len(c.limitWaits) == 0 {
		return c.noUpstream(service)
	}
	wait := slices.Min(slices.Collect(maps.Values(c.limitWaits)))
	c.gate.metrics.limited.Inc(1)
	return bhcode.New(bhcode.Overloaded, "the limits that upstreams of service %q name allow no request for %s", service, wait).WithRetryAfter(wait)
}

// isEngine reports whether the service's upstreams are engines, with a runner beside each.
func (c *call) isEngine(service string) bool {
	return c.gate.config.EngineLoads != nil && c.view.Index.IsEngineService(service)
}

// observeLimit adds what the answer of the instance to a request said about its limit. An
// answer for another instance says nothing.
func (c *call) observeLimit(instance bhwatch.Instance, answer *bhforward.Answer, sentAt time.Time) {
	limit, named, err := bhcap.Parse(answer.Header.Values(c.gate.config.Dialect.Limit))
	if err != nil {
		bhlog.Problem(c.gate.config.Logger, "limit.invalid", err, "upstream", instance.ID)
		return // neither names a limit nor ends one
	}
	c.gate.config.Limits.Observe(instance, c.isEngine(instance.Service), bhcap.Naming{Named: named, Rate: limit, SentAt: sentAt, At: time.Now()})
}

// observeLoads adds the limits that runners told of with the loads of their engines.
func (c *call) observeLoads(instances []bhwatch.Instance, loads map[netip.AddrPort]bhwire.Room) {
	for _, instance := range instances {
		load := loads[instance.RunnerAddr]
		if rate, valid := bhcap.CheckRate(load.Limit); valid && load.Heard > 0 {
			at := time.Now().Add(-load.Heard)
			c.gate.config.Limits.Observe(instance, true, bhcap.Naming{Named: load.Limited, Rate: rate, SentAt: at, At: at})
		}
	}
}
