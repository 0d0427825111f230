package bhentry

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// leavingDivisor divides the drain timeout to give the time during which a
	// leaving entry still accepts requests.
	leavingDivisor = 10

	announceTimeout = time.Second
	// callerIdleTimeout is how long a caller's connection may be idle.
	callerIdleTimeout = 2 * time.Minute
)

// drain stops the entry gracefully within the drain timeout. At first it still
// accepts requests but asks callers to close their connections: the load
// balancer learns late that the entry leaves, and a request may already be on
// its way on an idle connection. Then it waits for the requests in flight. The
// departure refuses what comes late, and ends in time what still runs.
func (e *Entry) drain() {
	e.leaving.Store(true)
	e.departure.Begin()
	bhlog.Event(e.logger, "entry.leaving", "inflight", e.inflight.Count())
	bound := e.config.Settings.DrainTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	leavingTimer := time.NewTimer(bound / leavingDivisor)
	defer leavingTimer.Stop()
	e.announceLeaving(ctx)
	<-leavingTimer.C
	bhlog.Event(e.logger, "entry.closing", "inflight", e.inflight.Count())
	whole := e.callers.Drain(ctx)
	if settleErr := e.idempotency.Close(ctx); settleErr != nil {
		bhlog.Problem(e.logger, "claims.unsettled", settleErr)
	}
	e.limiter.Drain()
	_ = e.mesh.Close()
	bhlog.Event(e.logger, "entry.drained", "whole", whole)
}

// announce keeps this host's record in the platform's host list.
func (e *Entry) announce(ctx context.Context) error {
	return bhplatform.KeepAnnounced(ctx, e.config.Platform.Hosts, e.hostRecord, e.logger)
}

// announceLeaving updates this host's record once, within announceTimeout.
func (e *Entry) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := e.config.Platform.Hosts.Announce(ctx, e.hostRecord()); err != nil {
		bhlog.Problem(e.logger, "announce.failed", err)
	}
}

// hostRecord returns this host's record for the host list.
func (e *Entry) hostRecord() bhplatform.Host {
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
