package bhgate

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// maxLimitAsks bounds the upstreams that are asked for in turn for one request.
const maxLimitAsks = 4

// Limits keeps the whole fleet to the limits that upstreams name, and to what they tolerate
// while they are cold.
type Limits interface {
	// Take takes the right to send one request to the instance, which may be an engine.
	Take(ctx context.Context, instance bhwatch.Instance, engine bool) bhcap.Decision
	// ObserveCold adds that the instance, which may be an engine, is cold.
	ObserveCold(instance bhwatch.Instance, engine bool, cold bhcap.Cold)
	// Observe adds what an answer of the instance said about its limit.
	Observe(instance bhwatch.Instance, engine bool, naming bhcap.Naming)
}

// ownLimits keeps one gateway to limits. It implements Limits.
type ownLimits struct{ ledger *bhcap.Ledger }

// Take implements Limits.
func (l ownLimits) Take(_ context.Context, instance bhwatch.Instance, _ bool) bhcap.Decision {
	return l.ledger.Take(bhcap.Upstream{ID: instance.ID, Born: instance.Born}, time.Now())
}

// ObserveCold implements Limits.
func (l ownLimits) ObserveCold(instance bhwatch.Instance, _ bool, cold bhcap.Cold) {
	l.ledger.ObserveCold(bhcap.Upstream{ID: instance.ID, Born: instance.Born}, cold, time.Now())
}

// Observe implements Limits.
func (l ownLimits) Observe(instance bhwatch.Instance, _ bool, naming bhcap.Naming) {
	l.ledger.Observe(bhcap.Upstream{ID: instance.ID, Born: instance.Born}, naming)
}

// pickWithinLimit picks an instance like Balancer.Pick whose limit, if it names one, allows
// the request. It returns false if there is none.
func (c *call) pickWithinLimit(ctx context.Context, service string, instances []bhwatch.Instance, excluded map[string]bool, loads map[netip.AddrPort]bhwire.Room) (bhwatch.Instance, bool) {
	engine := c.isEngine(service)
	for _, instance := range instances {
		if wait := loads[instance.RunnerAddr].Wait; wait > 0 && !excluded[instance.ID] {
			c.passedOver(wait)
		}
	}
	allowed := withinLimits(instances, loads)
	refused := maps.Clone(excluded)
	for range maxLimitAsks {
		instance, ok := c.gate.config.Balancer.PickPreferring(allowed, refused, loads, c.connected(loads))
		if !ok {
			return instance, false
		}
		decision := c.gate.config.Limits.Take(ctx, instance, engine)
		if decision.Granted {
			return instance, true
		}
		c.gate.config.Balancer.Done(instance.ID)
		refused[instance.ID] = true
		c.passedOver(decision.Wait)
	}
	return bhwatch.Instance{}, false
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

// passedOver records that an upstream was passed over because its limit allows no request
// for the time.
func (c *call) passedOver(wait time.Duration) {
	if c.limitWait == 0 || wait < c.limitWait {
		c.limitWait = max(wait, time.Millisecond)
	}
}

// noneWithinLimit returns the error of a call for which no upstream is left that its limit
// allows: that of noUpstream if no limit is the reason.
func (c *call) noneWithinLimit(service string) error {
	if c.limitWait == 0 {
		return c.noUpstream(service)
	}
	c.gate.metrics.limited.Inc(1)
	return bhcode.New(bhcode.Overloaded, "the limits that upstreams of service %q name allow no request for %s", service, c.limitWait).WithRetryAfter(c.limitWait)
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
