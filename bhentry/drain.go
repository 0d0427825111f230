package bhentry

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// leaveShare is the divisor for the part of the drain bound during which a
	// leaving entry still takes requests.
	leaveShare = 10

	announceTimeout = time.Second
)

// drain stops gracefully within the drain bound. At first the entry still takes
// requests and asks callers to close their connections, since the balancer
// learns late that it leaves and a request may already be on its way on an idle
// connection. Then it finishes the requests in flight.
func (e *Entry) drain() {
	e.leaving.Store(true)
	bhlog.Event(e.logger, "entry.leaving", "inflight", e.inflight.Count())
	bound := e.config.Settings.DrainBound()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	leave := time.NewTimer(bound / leaveShare)
	defer leave.Stop()
	e.announceLeaving(ctx)
	<-leave.C
	bhlog.Event(e.logger, "entry.closing", "inflight", e.inflight.Count())
	err := e.server.Shutdown(ctx)
	if unsettled := e.once.Close(ctx); unsettled != nil {
		bhlog.Problem(e.logger, "claims.unsettled", unsettled)
	}
	e.limiter.Drain()
	_ = e.mesh.Close()
	bhlog.Event(e.logger, "entry.drained", "whole", err == nil)
}

// announce keeps this host's entry in the platform's host list.
func (e *Entry) announce(ctx context.Context) error {
	return bhplatform.KeepAnnounced(ctx, e.config.Platform.Hosts, e.self, e.logger)
}

func (e *Entry) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := e.config.Platform.Hosts.Announce(ctx, e.self()); err != nil {
		bhlog.Problem(e.logger, "announce.failed", err)
	}
}

// self returns this host's entry in the host list.
func (e *Entry) self() bhplatform.Host {
	settings := e.config.Settings
	host := bhplatform.Host{
		Name:   settings.Host,
		Role:   string(bhconf.RoleEntry),
		Link:   settings.Link,
		Centre: settings.Centre,
		State:  bhplatform.HostLive,
	}
	if e.leaving.Load() {
		host.State = bhplatform.HostLeaving
	}
	return host
}
