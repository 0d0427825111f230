package bhwatch

import (
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// instanceTracker holds the upstreams of the newest list. It keeps those whose
// records vanished during an outage of the platform for renewGrace, so that they
// can renew them. Its maps are keyed by instance ID.
type instanceTracker struct {
	known map[string]Instance
	// graceEnds is when each instance missing after an outage is removed.
	graceEnds map[string]time.Duration
	// outageAfter is the time between two lists that counts as an outage.
	outageAfter time.Duration
	// newestSent is when the read of the newest list was sent.
	newestSent time.Duration
	// starts holds the present start of each known instance.
	starts map[string]*start
	// hidden holds the instances that views leave out: another one is at their address.
	hidden map[string]bool
	// sharing holds the known instances of named services by address, where there are several.
	// contested holds those addresses where no process has said which one it is.
	sharing   map[string][]Instance
	contested map[string]bool
	leaving   leavingMarks
	versions  Versions
}

func newInstanceTracker(outageAfter time.Duration) instanceTracker {
	return instanceTracker{outageAfter: outageAfter, known: make(map[string]Instance), graceEnds: make(map[string]time.Duration),
		starts: make(map[string]*start), leaving: make(leavingMarks)}
}

// update merges the listed instances, whose read was sent at the given time and
// returned now, and returns the upstreams by service. A list is ignored if the read of a
// newer one returned before it. The index may be nil.
func (t *instanceTracker) update(instances []Instance, sent, now time.Duration, index *bhpolicy.Index, logger bhlog.Logger) map[string][]Instance {
	newer := sent >= t.newestSent
	if newer {
		t.merge(instances, sent, now, logger)
	}
	t.resolve(index, now, logger)
	if newer {
		t.versions = t.versions.update(t.unrefuted(), sent)
	}
	t.leaving.prune(t.known, sent)
	t.forgetStarts(now)
	return t.fleet()
}

// unrefuted returns the known instances that are at their address, as far as this is known.
func (t *instanceTracker) unrefuted() map[string]Instance {
	instances := make(map[string]Instance, len(t.known))
	for id, instance := range t.known {
		if t.starts[id].refuted == notRefuted {
			instances[id] = instance
		}
	}
	return instances
}

// fleet returns the known upstreams by service, without hidden ones. Those that
// are marked as leaving are draining.
func (t *instanceTracker) fleet() map[string][]Instance {
	fleet := make(map[string][]Instance)
	for id, instance := range t.known {
		if !t.hidden[id] {
			fleet[instance.Service] = append(fleet[instance.Service], t.leaving.apply(instance))
		}
	}
	return fleet
}

// merge replaces the known instances by the listed ones. Missing instances are
// removed at once, except that after an outage those that weren't draining are
// kept for renewGrace.
func (t *instanceTracker) merge(instances []Instance, sent, now time.Duration, logger bhlog.Logger) {
	afterOutage := t.newestSent > 0 && sent-t.newestSent > t.outageAfter
	t.newestSent = sent
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
		delete(t.graceEnds, instance.ID)
		old, known := t.known[instance.ID]
		instance.ColdUntil = coldUntil(old, instance, sent)
		t.noteStart(old, instance, now)
		if old.Cold, old.ColdUntil, old.Sequence = instance.Cold, instance.ColdUntil, instance.Sequence; !known || old != instance {
			bhlog.Event(logger, "upstream.listed", "upstream", instance.ID, "service", instance.Service,
				"address", instance.Address, "version", instance.Version, "draining", instance.Draining, "born", instance.Born)
		}
		t.known[instance.ID] = instance
	}
	for id, instance := range t.known {
		if listed[id] {
			continue
		}
		if _, ok := t.graceEnds[id]; !ok && afterOutage && !t.leaving.apply(instance).Draining {
			t.graceEnds[id] = sent + renewGrace
			bhlog.Event(logger, "upstream.lapsed", "upstream", id, "grace", renewGrace)
		}
		if graceEnd, ok := t.graceEnds[id]; !ok || sent >= graceEnd {
			delete(t.known, id)
			delete(t.graceEnds, id)
			bhlog.Event(logger, "upstream.gone", "upstream", id)
		}
	}
}

// coldUntil returns when the listed instance is warm. A record that is read again as it was
// says nothing new, so the time counts from when it was first read.
func coldUntil(known, listed Instance, sent time.Duration) time.Duration {
	switch {
	case listed.Cold <= 0:
		return 0
	case known.Born == listed.Born && known.Cold == listed.Cold:
		return known.ColdUntil
	}
	return sent + listed.Cold
}
