package bhwatch

import (
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// leavingRetention is how long the mark of a leaving upstream is kept after the
// list last had the upstream. Upstreams end within minutes of leaving, and an
// outage of the platform can delay the list by as much.
const leavingRetention = time.Hour

// leavingMarks holds the upstreams whose own answers said that they are leaving.
// A mark holds whatever the list says, until a later start of the upstream is
// listed. It is keyed by instance ID.
type leavingMarks map[string]leavingMark

// leavingMark is the mark of one start of an upstream.
type leavingMark struct {
	born int64
	// seenAt is when the mark was set or the upstream was last listed.
	seenAt time.Duration
}

// set marks the start of the upstream as leaving and reports whether it wasn't
// marked before.
func (m leavingMarks) set(instance Instance, now time.Duration) bool {
	mark, ok := m[instance.ID]
	if ok && mark.born >= instance.Born {
		return false
	}
	m[instance.ID] = leavingMark{born: instance.Born, seenAt: now}
	return true
}

// apply returns the instance as draining if its start is marked.
func (m leavingMarks) apply(instance Instance) Instance {
	if mark, ok := m[instance.ID]; ok && mark.born >= instance.Born {
		instance.Draining = true
	}
	return instance
}

// prune removes the marks of earlier starts of the known upstreams, and those of
// upstreams that have been unknown for leavingRetention.
func (m leavingMarks) prune(known map[string]Instance, now time.Duration) {
	for id, mark := range m {
		instance, listed := known[id]
		switch {
		case listed && instance.Born > mark.born, !listed && now-mark.seenAt > leavingRetention:
			delete(m, id)
		case listed:
			mark.seenAt = now
			m[id] = mark
		}
	}
}

// MarkLeaving records that an answer of the instance said that it is leaving.
// From then on View lists this start of the instance as draining, whatever the
// platform's list says.
func (w *Watcher) MarkLeaving(instance Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.instances.leaving.set(instance, w.config.Clock.Now()) {
		return
	}
	w.fleet = w.instances.fleet()
	bhlog.Event(w.config.Logger, "upstream.leaving", "upstream", instance.ID, "service", instance.Service,
		"address", instance.Address, "born", instance.Born, "listed_draining", instance.Draining)
}
