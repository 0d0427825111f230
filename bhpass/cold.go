package bhpass

import (
	"net/netip"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// maxCold bounds how long an upstream is taken to be cold because another process says so.
const maxCold = 10 * time.Minute

// ObserveCold adds that the instance, which may be an engine with a runner, is cold. If that is
// news to this process, it tells the others: an upstream may become cold at any moment, and the
// list of upstreams tells each process of it at another time. The runner beside an engine tells
// the gateways with the engine's load.
func (r *Registry) ObserveCold(instance bhwatch.Instance, engine bool, cold bhcap.Cold) {
	now, upstream := time.Now(), upstreamOf(instance)
	isNews := r.config.Ledger.Cold(upstream, now).Until.IsZero()
	r.config.Ledger.ObserveCold(upstream, cold, now)
	if !isNews {
		return
	}
	bhlog.Event(r.config.Logger, "upstream.cold", "upstream", instance.ID, "tolerates", cold.Rate, "for", cold.Until.Sub(now))
	peers := []netip.AddrPort{instance.RunnerAddr}
	if !engine || !instance.RunnerAddr.IsValid() {
		peers = r.config.Peers.Order(instance.ID)
	}
	for _, peer := range peers {
		if peer.IsValid() {
			r.config.Peers.Tell(bhwire.KindCold, r.cold(upstream, now), peer)
		}
	}
}

// cold returns what this process knows of the upstream's being cold.
func (r *Registry) cold(upstream bhcap.Upstream, now time.Time) bhwire.Cold {
	known := r.config.Ledger.Cold(upstream, now)
	if known.Until.IsZero() {
		return bhwire.Cold{}
	}
	return bhwire.Cold{Upstream: upstream.ID, Born: upstream.Born, Tolerates: known.Rate, Left: known.Until.Sub(now)}
}

func (r *Registry) handleCold(frame bhwire.Frame) (bhwire.Kind, any) {
	cold, err := bhwire.Decode[bhwire.Cold](frame)
	if err != nil || len(cold.Upstream) > maxUpstreamID {
		bhlog.Trace(r.config.Logger, "limit.invalid", "bytes", len(frame.Body), "err", err)
		return "", nil
	}
	r.mergeCold(r.upstream(cold.Upstream, cold.Born), cold)
	return "", nil
}

// mergeCold adds what another process knows of the upstream's being cold.
func (r *Registry) mergeCold(upstream bhcap.Upstream, cold bhwire.Cold) {
	now := time.Now()
	r.config.Ledger.ObserveCold(upstream, bhcap.Cold{Rate: cold.Tolerates, Until: now.Add(min(cold.Left, maxCold))}, now)
}
