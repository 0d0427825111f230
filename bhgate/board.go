package bhgate

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// restBase is the first pause of an upstream that took no connection or
	// broke one; it doubles up to restMax.
	restBase = 250 * time.Millisecond
	restMax  = 4 * time.Second
	// goneTime is how long an instance whose address answers for another one is
	// passed over; by then the list of upstreams shows which of them is there.
	goneTime = 5 * time.Second
	// pruneInterval is long after any rest.
	pruneInterval = time.Minute
)

// upstream is what this gateway knows of one instance from its own requests.
type upstream struct {
	inflight  int
	failures  int
	restUntil time.Time
	goneUntil time.Time
	seen      time.Time
}

// Balancer counts this gateway's requests at each upstream and rests those that fail.
type Balancer struct {
	logger bhlog.Logger
	centre string

	mu        sync.Mutex
	upstreams map[string]*upstream
}

// NewBalancer returns an empty board for a gateway in the data centre.
func NewBalancer(centre string, logger bhlog.Logger) *Balancer {
	return &Balancer{logger: logger, centre: centre, upstreams: make(map[string]*upstream)}
}

// Run forgets upstreams that are no longer used until ctx is done.
func (b *Balancer) Run(ctx context.Context) error {
	for bhtree.Sleep(ctx, pruneInterval) {
		b.prune()
	}
	return nil
}

// Sample draws up to count instances at random to choose from, half of them from
// the gateway's own data centre if it has as many. Resting instances are drawn
// only if there are too few others.
func (b *Balancer) Sample(instances []bhwatch.Instance, excluded map[string]bool, count int) []bhwatch.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var near, far, resting []bhwatch.Instance
	for _, instance := range instances {
		switch {
		case !b.usable(instance, excluded, now):
		case now.Before(b.state(instance.ID).restUntil):
			resting = append(resting, instance)
		case instance.Zone == b.centre:
			near = append(near, instance)
		default:
			far = append(far, instance)
		}
	}
	shuffle(near)
	kept := min(len(near), (count+1)/2)
	rest := append(near[kept:], far...)
	shuffle(rest)
	sample := append(append(near[:kept:kept], rest...), resting...)
	return sample[:min(count, len(sample))]
}

func shuffle(instances []bhwatch.Instance) {
	rand.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
}

// usable reports whether the instance may get a request at all.
func (b *Balancer) usable(instance bhwatch.Instance, excluded map[string]bool, now time.Time) bool {
	return !instance.Draining && !excluded[instance.ID] && !now.Before(b.state(instance.ID).goneUntil)
}

// Pick chooses the instance with the least load for its slots among those that
// aren't draining or excluded, prefers the gateway's own data centre among
// equals, and counts a request there. The load of instances without a room is
// what this gateway sent there. Resting instances are chosen last.
func (b *Balancer) Pick(instances []bhwatch.Instance, excluded map[string]bool, rooms map[netip.AddrPort]bhwire.Room) (bhwatch.Instance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best bhwatch.Instance
	var least float64
	found := false
	for _, instance := range instances {
		if !b.usable(instance, excluded, now) {
			continue
		}
		if score := b.score(instance, rooms, now); !found || score < least {
			best, least, found = instance, score, true
		}
	}
	if found {
		state := b.state(best.ID)
		state.inflight++
		state.seen = now
	}
	return best, found
}

// Weights of a score beside the load as a share of the slots.
const (
	// restScore puts an instance after all that aren't resting.
	restScore = 1000.0
	// silentScore puts an engine that doesn't tell its load after those with a fifth
	// of their slots free.
	silentScore = 0.8
	// staleScore puts an engine whose own runner gets no answer after full ones.
	staleScore = 10.0
	// itemScore counts a batch item as a part of a live request: it leaves for one,
	// but makes nothing for some 50 ms when it goes on.
	itemScore = 0.6
	// centreScore and jitterScore only decide between equals.
	centreScore = 0.02
	jitterScore = 0.01
)

// roomAge is the age of an engine's load from which on the engine counts as
// unresponsive: several times the interval at which runners ask for it.
const roomAge = 250 * time.Millisecond

func (b *Balancer) score(instance bhwatch.Instance, rooms map[netip.AddrPort]bhwire.Room, now time.Time) float64 {
	state := b.state(instance.ID)
	score := b.load(instance, rooms) + jitterScore*rand.Float64()
	if instance.Zone != b.centre {
		score += centreScore
	}
	if now.Before(state.restUntil) {
		score += restScore
	}
	return score
}

// load returns the load of an instance as a share of its slots.
func (b *Balancer) load(instance bhwatch.Instance, rooms map[netip.AddrPort]bhwire.Room) float64 {
	own := float64(b.state(instance.ID).inflight) / float64(max(1, instance.Slots))
	room, ok := rooms[instance.Keeper]
	switch {
	case rooms == nil:
		return own
	case !ok || room.Slots <= 0:
		return own + silentScore
	}
	told := (float64(room.Live) + itemScore*float64(room.Items)) / float64(room.Slots)
	if room.Age > roomAge {
		told += staleScore
	}
	return told
}

// Done ends a request that Pick counted.
func (b *Balancer) Done(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).inflight--
}

// Failed notes that the upstream took no connection or broke one.
func (b *Balancer) Failed(id string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(id)
	rest := min(restMax, restBase<<min(state.failures, 8))
	state.failures++
	state.restUntil = time.Now().Add(rest)
	bhlog.Problem(b.logger, "upstream.rest", err, "upstream", id, "failures", state.failures, "rest", rest)
}

// Moved notes that another instance has the upstream's address.
func (b *Balancer) Moved(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).goneUntil = time.Now().Add(goneTime)
	bhlog.Event(b.logger, "upstream.moved", "upstream", id, "passed_over", goneTime)
}

// Answered notes an answer of the upstream.
func (b *Balancer) Answered(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(id)
	state.failures = 0
	state.restUntil = time.Time{}
}

// prune forgets upstreams that were not chosen for pruneInterval.
func (b *Balancer) prune() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, state := range b.upstreams {
		if state.inflight == 0 && time.Since(state.seen) > pruneInterval {
			delete(b.upstreams, id)
		}
	}
}

func (b *Balancer) state(id string) *upstream {
	state := b.upstreams[id]
	if state == nil {
		state = &upstream{}
		b.upstreams[id] = state
	}
	return state
}
