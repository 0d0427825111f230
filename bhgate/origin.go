package bhgate

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhadmit"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhorigin"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// streamLifetimes is the longest time between the begin of a stream and a client that
// takes it up, as a multiple of the route's timeout.
const streamLifetimes = 2

// Origins remembers which upstreams began a stream.
type Origins interface {
	// Record remembers the origin of a stream, also at other gateways. It doesn't
	// block.
	Record(key bhorigin.Key, origin bhorigin.Origin)
	// Find returns the origin of a stream that any gateway recorded. It reports false
	// if none is known within some ten milliseconds.
	Find(ctx context.Context, key bhorigin.Key) (bhorigin.Origin, bool)
}

// takesUp reports whether the client takes up a stream after an event.
func (c *call) takesUp() bool {
	return c.route.Kind == bhpolicy.Streaming && c.r.Header.Get(c.gate.config.Dialect.LastEvent) != ""
}

// findOrigin binds the call to the origin of the stream that the client takes up.
// What two software versions write doesn't fit together and no upstream checks that,
// so it returns NoUpstream if the origin isn't known and can't be inferred, or if the
// route no longer leads there.
func (c *call) findOrigin(ctx context.Context) error {
	resumes := c.r.Header.Get(c.gate.config.Dialect.Resumes)
	origin, known := bhorigin.Origin{}, false
	if resumes != "" {
		origin, known = c.gate.config.Origins.Find(ctx, c.originKey(resumes))
	}
	if !known {
		origin, known = c.confirmedOrigin(ctx)
	}
	c.gate.metrics.takenUp.Inc(1)
	switch {
	case !known:
		c.gate.metrics.originUnknown.Inc(1)
		return bhcode.New(bhcode.NoUpstream, "the software version that began the stream of request %q is not known", resumes)
	case !c.route.Serves(origin.Service):
		return bhcode.New(bhcode.NoUpstream, "the route no longer leads to service %q, which began the stream of request %q", origin.Service, resumes)
	}
	c.origin = &origin
	return nil
}

// confirmedOrigin is onlyOrigin by a list of upstreams that was read after the client came.
// An older one may lack the upstream that began the stream, if it joined just before: a
// gateway may be out of step for a moment.
func (c *call) confirmedOrigin(ctx context.Context) (bhorigin.Origin, bool) {
	if _, known := c.onlyOrigin(); !known {
		return bhorigin.Origin{}, false // a newer list has no fewer versions
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	view, err := c.gate.config.Policies.ConfirmFleet(ctx)
	if err != nil {
		bhlog.Problem(c.gate.config.Logger, "origin.unconfirmed", err, "request", c.id)
		return bhorigin.Origin{}, false
	}
	c.view.Fleet, c.view.Versions = view.Fleet, view.Versions
	return c.onlyOrigin()
}

// onlyOrigin returns the origin that a stream must have if the route had one service, and that
// had upstreams of one version only, for longer than clients take to come back. That time
// must be known in full: a gateway that has just started may have missed the service or the
// version that began the stream.
func (c *call) onlyOrigin() (bhorigin.Origin, bool) {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	window, now := streamLifetimes*timeout, c.gate.config.Clock.Now()
	if len(c.route.Backends) != 1 || !c.view.Routes.Unchanged(c.route, now, window) || !c.view.Versions.Cover(now, window) {
		return bhorigin.Origin{}, false
	}
	service := c.route.Backends[0].Service
	version, ok := c.view.Versions.Only(service, now-window)
	return bhorigin.Origin{Service: service, Version: version}, ok
}

// recordOrigin remembers the instance that begins to stream as the origin of the
// stream, and binds the rest of the call to it.
func (c *call) recordOrigin(instance bhwatch.Instance) {
	origin := bhorigin.Origin{Service: instance.Service, Version: instance.Version}
	c.origin = &origin
	if !c.route.Resumable {
		return
	}
	c.gate.config.Origins.Record(c.originKey(c.id), origin)
	if resumes := c.r.Header.Get(c.gate.config.Dialect.Resumes); resumes != "" && c.takesUp() {
		c.gate.config.Origins.Record(c.originKey(resumes), origin)
	}
}

func (c *call) originKey(request string) bhorigin.Key {
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	return bhorigin.NewKey(account, request)
}

// instances returns the upstreams of the service that the call may be sent to: those
// outside the evacuated data centres that have the version that began its stream.
func (c *call) instances(service string) []bhwatch.Instance {
	return c.matching(c.view.Available(service))
}

// matching returns the instances of the version that began the call's stream, or all if
// none has begun.
func (c *call) matching(instances []bhwatch.Instance) []bhwatch.Instance {
	if c.origin == nil {
		return instances
	}
	var matching []bhwatch.Instance
	for _, instance := range instances {
		if instance.Version == c.origin.Version {
			matching = append(matching, instance)
		}
	}
	return matching
}

// noUpstream returns the error of a call for which no upstream is left. A client
// needn't come back for a stream whose version isn't listed any more. If all upstreams
// are in evacuated data centres, it comes back late, as the operator restores those.
func (c *call) noUpstream(service string) error {
	if len(c.instances(service)) == 0 && len(c.matching(c.view.Fleet[service])) > 0 {
		c.gate.metrics.evacuated.Inc(1)
		return bhcode.New(bhcode.NoUpstream, "all data centres with upstreams for the request at service %q are evacuated", service).
			WithRetryAfter(bhadmit.RetryAfter(time.Until(c.deadline), 0))
	}
	if c.origin == nil {
		return bhcode.New(bhcode.NoUpstream, "service %q has no upstream left", service).WithRetryAfter(unavailableRetryAfter)
	}
	err := bhcode.New(bhcode.NoUpstream, "service %q has no upstream of version %q left, which began the stream", service, c.origin.Version)
	if len(c.instances(service)) > 0 {
		err = err.WithRetryAfter(unavailableRetryAfter)
	}
	return err
}
