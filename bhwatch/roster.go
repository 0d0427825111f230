package bhwatch

import (
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// roster keeps upstreams whose records vanished while the platform was away,
// until they had time to renew them.
type roster struct {
	known  map[string]Instance
	lapsed map[string]time.Duration
	read   time.Duration
	// replaced holds the instances whose address a younger one has.
	replaced map[string]bool
}

func newRoster() roster {
	return roster{known: make(map[string]Instance), lapsed: make(map[string]time.Duration)}
}

// update takes in a list whose read was sent at the given time and returns the
// upstreams by service. Lists that overtook each other are ignored.
func (r *roster) update(instances []Instance, sent time.Duration, logger bhlog.Logger) map[string][]Instance {
	if sent >= r.read {
		r.merge(instances, sent, logger)
	}
	r.replaced = r.findReplaced(logger)
	fleet := make(map[string][]Instance)
	for id, instance := range r.known {
		if !r.replaced[id] {
			fleet[instance.Service] = append(fleet[instance.Service], instance)
		}
	}
	return fleet
}

// findReplaced returns the instances whose address a younger one has: they ended
// without taking their record away, and it hasn't lapsed yet.
func (r *roster) findReplaced(logger bhlog.Logger) map[string]bool {
	youngest := make(map[string]Instance, len(r.known))
	for _, instance := range r.known {
		if instance.Born >= youngest[instance.Address].Born {
			youngest[instance.Address] = instance
		}
	}
	replaced := make(map[string]bool)
	for id, instance := range r.known {
		other := youngest[instance.Address]
		if instance.Born >= other.Born {
			continue
		}
		replaced[id] = true
		if !r.replaced[id] {
			bhlog.Event(logger, "upstream.replaced", "upstream", id, "address", instance.Address, "born", instance.Born, "by", other.ID, "by_born", other.Born)
		}
	}
	return replaced
}

func (r *roster) merge(instances []Instance, sent time.Duration, logger bhlog.Logger) {
	away := r.read > 0 && sent-r.read > lapseGap
	r.read = sent
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
		delete(r.lapsed, instance.ID)
		if old, ok := r.known[instance.ID]; !ok || old != instance {
			bhlog.Event(logger, "upstream.listed", "upstream", instance.ID, "service", instance.Service,
				"address", instance.Address, "draining", instance.Draining, "born", instance.Born)
		}
		r.known[instance.ID] = instance
	}
	for id, instance := range r.known {
		if listed[id] {
			continue
		}
		if _, ok := r.lapsed[id]; !ok && away && !instance.Draining {
			r.lapsed[id] = sent + lapseGrace
			bhlog.Event(logger, "upstream.lapsed", "upstream", id, "grace", lapseGrace)
		}
		if until, ok := r.lapsed[id]; !ok || sent >= until {
			delete(r.known, id)
			delete(r.lapsed, id)
			bhlog.Event(logger, "upstream.gone", "upstream", id)
		}
	}
}
