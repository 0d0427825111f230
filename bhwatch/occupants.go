package bhwatch

import (
	"maps"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// refutedExclusion is how long a refuted instance is left out of the views while no other one
// is listed at its address. Then it is tried again: the refutation may have been a fault.
const refutedExclusion = 5 * time.Second

// startMemory is how long a start is remembered whose record is gone, or odd. A record that comes
// and goes stays refuted.
const startMemory = 10 * time.Minute

// refutation is what shows that the process at an address isn't the instance whose record names
// the address. Later ones are stronger.
type refutation int

const (
	notRefuted refutation = iota
	// refutedByHeartbeats means that the record of another instance at the address changed at two
	// heartbeats in a row at which that of the instance didn't. A single change may be a write
	// that the store carried out after its writer's end.
	refutedByHeartbeats
	// refutedByOccupant means that the process said in an answer that it is another instance.
	refutedByOccupant
)

// names are what logs call the refutations.
func (r refutation) String() string {
	switch r {
	case refutedByHeartbeats:
		return "heartbeats"
	case refutedByOccupant:
		return "answer"
	}
	return "none"
}

// start is what is known of a start of a listed instance. Times are of the watcher's clock.
type start struct {
	address        string
	born, sequence int64
	// seenAt is when the start was last listed.
	seenAt time.Duration
	// listedAt is when the start was first listed, changedAt when its record was last seen to
	// differ, and changedBefore when it was the time before. The latter two are zero if it wasn't.
	listedAt, changedAt, changedBefore time.Duration
	// wasReady reports that the record has said that the instance is ready.
	wasReady  bool
	refuted   refutation
	refutedAt time.Duration
}

// newStart returns a start that is listed for the first time.
func newStart(instance Instance, now time.Duration) *start {
	return &start{address: instance.Address, born: instance.Born, listedAt: now, wasReady: !instance.Draining}
}

// change notes that the record differs from before, so that the heartbeats of others show nothing.
func (s *start) change(instance Instance, now time.Duration) {
	s.changedAt, s.changedBefore = now, s.changedAt
	s.wasReady = s.wasReady || !instance.Draining
	if s.refuted == refutedByHeartbeats {
		s.refuted = notRefuted
	}
}

// changedTwiceSince reports whether the record changed twice since that of the other start last
// did, or was first listed.
func (s *start) changedTwiceSince(other *start) bool {
	return s.changedBefore > max(other.listedAt, other.changedAt)
}

// noteStart keeps what is known of the instance's present start. The old one is what the list
// had before, if anything.
func (t *instanceTracker) noteStart(old, listed Instance, now time.Duration) {
	old.ColdUntil = listed.ColdUntil
	known := t.starts[listed.ID]
	switch {
	case known == nil || known.address != listed.Address || known.born != listed.Born || listed.Born == 0 && listed.Sequence < known.sequence:
		known = newStart(listed, now)
		t.starts[listed.ID] = known
	case old != listed:
		known.change(listed, now)
	}
	known.seenAt, known.sequence = now, listed.Sequence
}

// forgetStarts forgets the starts that were last listed long ago, but for those of known instances.
func (t *instanceTracker) forgetStarts(now time.Duration) {
	maps.DeleteFunc(t.starts, func(id string, known *start) bool {
		_, isKnown := t.known[id]
		return !isKnown && now-known.seenAt > startMemory
	})
}

// resolve decides which of the known instances are hidden: of several at one address, those that
// an unrefuted one replaces, and refuted ones. An instance whose service the policy doesn't
// name replaces none: another writer may have written its record. The index may be nil.
func (t *instanceTracker) resolve(index *bhpolicy.Index, now time.Duration, logger bhlog.Logger) {
	t.sharing, t.contested = make(map[string][]Instance), make(map[string]bool)
	byAddress := make(map[string][]Instance, len(t.known))
	for _, instance := range t.known {
		byAddress[instance.Address] = append(byAddress[instance.Address], instance)
	}
	hidden := make(map[string]bool)
	for address, instances := range byAddress {
		var named []Instance
		for _, instance := range instances {
			if index == nil || index.Names(instance.Service) {
				named = append(named, instance)
			}
		}
		if len(named) > 1 {
			t.sharing[address] = named
			t.refuteStale(named, now, logger)
			t.contested[address] = t.countPossible(named) > 1
		}
		t.hide(hidden, instances, named, now, logger)
	}
	t.hidden = hidden
}

// hide adds those of the instances at one address that are hidden. The named ones are of
// services that the policy names.
func (t *instanceTracker) hide(hidden map[string]bool, instances, named []Instance, now time.Duration, logger bhlog.Logger) {
	var newest Instance
	unrefuted := 0
	for _, instance := range named {
		known := t.starts[instance.ID]
		if known.refuted != notRefuted {
			continue
		}
		unrefuted++
		if known.wasReady && instance.Born >= newest.Born {
			newest = instance
		}
	}
	for _, instance := range instances {
		known := t.starts[instance.ID]
		switch {
		case known.refuted != notRefuted:
			hidden[instance.ID] = unrefuted > 0 || now < known.refutedAt+refutedExclusion
		case instance.Born < newest.Born:
			hidden[instance.ID] = true
			if !t.hidden[instance.ID] {
				bhlog.Event(logger, "upstream.replaced", "upstream", instance.ID, "address", instance.Address, "born", instance.Born, "by", newest.ID, "by_born", newest.Born)
			}
		}
	}
}

// countPossible returns how many of the instances no answer of a process has refuted.
func (t *instanceTracker) countPossible(instances []Instance) int {
	count := 0
	for _, instance := range instances {
		if t.starts[instance.ID].refuted != refutedByOccupant {
			count++
		}
	}
	return count
}

// refuteStale refutes those of the instances at one address whose records stand still while
// that of an unrefuted one goes on changing.
func (t *instanceTracker) refuteStale(instances []Instance, now time.Duration, logger bhlog.Logger) {
	for _, other := range instances {
		if t.starts[other.ID].refuted != notRefuted {
			continue
		}
		for _, instance := range instances {
			if t.starts[other.ID].changedTwiceSince(t.starts[instance.ID]) {
				t.refute(instance, refutedByHeartbeats, other.ID, now, logger)
			}
		}
	}
}

// refute notes that the instance isn't at its address, unless something as strong is known.
func (t *instanceTracker) refute(instance Instance, by refutation, occupant string, now time.Duration, logger bhlog.Logger) {
	known := t.starts[instance.ID]
	if known.refuted < by {
		bhlog.Event(logger, "upstream.refuted", "upstream", instance.ID, "service", instance.Service, "address", instance.Address,
			"born", instance.Born, "shown_by", by, "occupant", occupant)
	}
	if known.refuted <= by {
		known.refuted, known.refutedAt = by, now
	}
}

// observeOccupant notes that the process at the address isn't the asked instance but the
// occupant, by an answer to a request that was sent at the given time. The occupant is "" if it
// didn't say. Instances that were first listed later may have started since.
func (t *instanceTracker) observeOccupant(asked Instance, occupant string, sent, now time.Duration, logger bhlog.Logger) {
	for id, instance := range t.known {
		known := t.starts[id]
		switch {
		case instance.Address != asked.Address:
		case id == occupant:
			known.refuted = notRefuted
		case known.listedAt <= sent && (occupant != "" || id == asked.ID && instance.Born == asked.Born):
			t.refute(instance, refutedByOccupant, occupant, now, logger)
		}
	}
}

// observeStart notes that the process at the address started at born, by an answer to a request
// that was sent at the given time. It tells nothing unless an instance with this start is known
// there.
func (t *instanceTracker) observeStart(address string, born int64, sent, now time.Duration, logger bhlog.Logger) bool {
	var occupant string
	for _, instance := range t.sharing[address] {
		if instance.Born == born {
			occupant = instance.ID
		}
	}
	if occupant == "" {
		return false
	}
	changed := false
	for _, instance := range t.sharing[address] {
		known := t.starts[instance.ID]
		if instance.Born != born && known.listedAt <= sent && known.refuted != refutedByOccupant {
			t.refute(instance, refutedByOccupant, occupant, now, logger)
			changed = true
		}
	}
	return changed
}

// ObserveOccupant records that an answer to a request for the instance, which was sent at the given
// time, came from another process: the occupant of its address, "" if it didn't say which one it
// is. The instance is then left out of the views, and replaces none, until its record shows a
// later start or the process says that it is there.
func (w *Watcher) ObserveOccupant(asked Instance, occupant string, sent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances.observeOccupant(asked, occupant, sent, w.config.Clock.Now(), w.config.Logger)
	w.resolveInstances()
}

// ObserveStart records that the process at the address has told when it started, in milliseconds
// since the Unix epoch, in an answer to a request that was sent at the given time. Of several
// instances that are listed there, those with another start are then left out of the views.
func (w *Watcher) ObserveStart(address string, born int64, sent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instances.observeStart(address, born, sent, w.config.Clock.Now(), w.config.Logger) {
		w.resolveInstances()
	}
}

// resolveInstances makes the fleet anew after evidence. The caller holds w.mu.
func (w *Watcher) resolveInstances() {
	w.instances.resolve(w.index, w.config.Clock.Now(), w.config.Logger)
	w.fleet = w.instances.fleet()
}
