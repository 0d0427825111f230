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
	// minBackoff is how long an upstream is avoided after it took no connection
	// or broke one. It doubles with each failure in a row, up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// movedExclusion is how long an instance is excluded whose address answers
	// for another instance. By then the list of upstreams shows which of the two
	// has the address.
	movedExclusion = 5 * time.Second
	// pruneInterval is much longer than any backoff or exclusion, so pruning
	// loses none.
	pruneInterval = time.Minute
)

// upstreamState is what this gateway learned about one instance from its own
// requests.
type upstreamState struct {
	inflight int
	// failures counts the failures since the last answer.
	failures     int
	backoffUntil time.Time
	movedUntil   time.Time
	lastPicked   time.Time
}

// Balancer chooses the upstream instance of a request by load. It counts this
// gateway's requests at each instance and backs off from instances that fail.
type Balancer struct {
	logger bhlog.Logger
	centre string

	mu        sync.Mutex
	upstreams map[string]*upstreamState
	random    *rand.Rand
}

// NewBalancer returns a Balancer for a gateway in the data centre.
func NewBalancer(centre string, logger bhlog.Logger) *Balancer {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Balancer{logger: logger, centre: centre, upstreams: make(map[string]*upstreamState), random: random}
}

// Run removes the state of unused upstreams from time to time until ctx is done.
func (b *Balancer) Run(ctx context.Context) error {
	for bhtree.Sleep(ctx, pruneInterval) {
		b.prune()
	}
	return nil
}

// Sample draws up to count usable instances at random, at least half of them
// from the gateway's own data centre if it has as many. Instances in backoff are
// drawn only if there are too few others.
func (b *Balancer) Sample(instances []bhwatch.Instance, excluded map[string]bool, count int) []bhwatch.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	local, remote := make([]bhwatch.Instance, 0, len(instances)), make([]bhwatch.Instance, 0, len(instances))
	var backingOff []bhwatch.Instance
	for _, instance := range instances {
		switch {
		case !b.usable(instance, excluded, now):
		case now.Before(b.upstream(instance.ID).backoffUntil):
			backingOff = append(backingOff, instance)
		case instance.Zone == b.centre:
			local = append(local, instance)
		default:
			remote = append(remote, instance)
		}
	}
	b.shuffle(local)
	localCount := min(len(local), (count+1)/2)
	others := append(local[localCount:], remote...)
	b.shuffle(others)
	sample := append(append(local[:localCount:localCount], others...), backingOff...)
	return sample[:min(count, len(sample))]
}

// SampleWith draws engineSampleSize usable instances like Sample, of which up to
// connectedSampleSize are among the connected ones.
func (b *Balancer) SampleWith(connected, instances []bhwatch.Instance, excluded map[string]bool) []bhwatch.Instance {
	sample := b.Sample(connected, excluded, connectedSampleSize)
	others := make(map[string]bool, len(excluded)+len(sample))
	for id := range excluded {
		others[id] = excluded[id]
	}
	for _, instance := range sample {
		others[instance.ID] = true
	}
	return append(sample, b.Sample(instances, others, engineSampleSize-len(sample))...)
}

// shuffle puts the instances into a random order. The caller holds b.mu.
func (b *Balancer) shuffle(instances []bhwatch.Instance) {
	b.random.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
}

// usable reports whether the instance may get a request: it isn't draining,
// excluded or known to have lost its address to another instance.
func (b *Balancer) usable(instance bhwatch.Instance, excluded map[string]bool, now time.Time) bool {
	return !instance.Draining && !excluded[instance.ID] && !now.Before(b.upstream(instance.ID).movedUntil)
}

// Pick chooses the usable instance with the lowest load per slot and counts a
// request there; the caller ends the request with Done. At equal load it prefers
// the gateway's own data centre. Instances in backoff are chosen last. The load
// of an instance that is missing from loads is what this gateway sent there. Pick
// returns false if no instance is usable. Instances whose runner reports that the
// engine is leaving aren't.
func (b *Balancer) Pick(instances []bhwatch.Instance, excluded map[string]bool, loads map[netip.AddrPort]bhwire.Room) (bhwatch.Instance, bool) {
	return b.PickPreferring(instances, excluded, loads, nil)
}

// PickPreferring is Pick that prefers the instances that preferred accepts, if it isn't
// nil, to others of nearly equal load.
func (b *Balancer) PickPreferring(instances []bhwatch.Instance, excluded map[string]bool, loads map[netip.AddrPort]bhwire.Room, preferred func(bhwatch.Instance) bool) (bhwatch.Instance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best bhwatch.Instance
	var least float64
	found := false
	for _, instance := range instances {
		if !b.usable(instance, excluded, now) || loads[instance.RunnerAddr].Leaving {
			continue
		}
		score := b.score(instance, loads, now)
		if preferred != nil && preferred(instance) {
			score -= preferredRequests / float64(max(1, instance.Slots))
		}
		if !found || score < least {
			best, least, found = instance, score, true
		}
	}
	if found {
		upstream := b.upstream(best.ID)
		upstream.inflight++
		upstream.lastPicked = now
	}
	return best, found
}

// Terms of an instance's score. The basis is its load as a share of its slots;
// the lowest score wins.
const (
	// backoffScore ranks an instance in backoff after all others.
	backoffScore = 1000.0
	// unknownLoadScore ranks an engine that reports no load after those with a
	// fifth of their slots free.
	unknownLoadScore = 0.8
	// staleLoadScore ranks an engine that doesn't answer its own runner, or whose
	// faults gateways reported, after full engines.
	staleLoadScore = 10.0
	// itemWeight is the load of a batch item relative to a live request. An item
	// is paused for a live request, but produces nothing for about 50 ms when it
	// resumes.
	itemWeight = 0.6
	// preferredRequests is the load, in live requests, that a preferred instance may have
	// above that of others.
	preferredRequests = 0.25
	// coldScore is the share of its slots that counts as taken while an engine is cold after
	// its start, and slow.
	coldScore = 0.3
	// otherCentreScore and jitterScore only decide between instances of equal
	// load.
	otherCentreScore = 0.02
	jitterScore      = 0.01
)

// maxLoadAge is the age of an engine's last load report above which the engine
// counts as unresponsive: several times the interval at which runners ask for it.
const maxLoadAge = 250 * time.Millisecond

// score ranks an instance for Pick; lower is better.
func (b *Balancer) score(instance bhwatch.Instance, loads map[netip.AddrPort]bhwire.Room, now time.Time) float64 {
	upstream := b.upstream(instance.ID)
	score := b.load(instance, loads) + jitterScore*b.random.Float64()
	if instance.Zone != b.centre {
		score += otherCentreScore
	}
	if loads[instance.RunnerAddr].Cold > 0 {
		score += coldScore
	}
	if now.Before(upstream.backoffUntil) {
		score += backoffScore
	}
	return score
}

// load returns the load of an instance as a share of its slots: the load that
// its engine reported, or, without a report, the requests of this gateway.
func (b *Balancer) load(instance bhwatch.Instance, loads map[netip.AddrPort]bhwire.Room) float64 {
	ownLoad := float64(b.upstream(instance.ID).inflight) / float64(max(1, instance.Slots))
	load, ok := loads[instance.RunnerAddr]
	switch {
	case loads == nil:
		return ownLoad
	case !ok || load.Slots <= 0:
		return ownLoad + unknownLoadScore
	}
	reported := (float64(load.Live) + itemWeight*float64(load.Items)) / float64(load.Slots)
	if load.Age > maxLoadAge || load.Suspect {
		reported += staleLoadScore
	}
	return reported
}

// BackingOff reports whether the instance id is in backoff.
func (b *Balancer) BackingOff(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	upstream := b.upstreams[id]
	return upstream != nil && time.Now().Before(upstream.backoffUntil)
}

// Done ends a request that Pick counted at the instance id.
func (b *Balancer) Done(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upstream(id).inflight--
}

// Failed records that the upstream took no connection or broke one, and starts
// its backoff.
func (b *Balancer) Failed(id string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	upstream := b.upstream(id)
	backoff := min(maxBackoff, minBackoff<<min(upstream.failures, 8))
	upstream.failures++
	upstream.backoffUntil = time.Now().Add(backoff)
	bhlog.Problem(b.logger, "upstream.rest", err, "upstream", id, "failures", upstream.failures, "rest", backoff)
}

// Moved records that another instance has the upstream's address, and excludes
// the upstream for movedExclusion.
func (b *Balancer) Moved(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upstream(id).movedUntil = time.Now().Add(movedExclusion)
	bhlog.Event(b.logger, "upstream.moved", "upstream", id, "passed_over", movedExclusion)
}

// Answered records an answer of the upstream, which ends its backoff.
func (b *Balancer) Answered(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	upstream := b.upstream(id)
	upstream.failures = 0
	upstream.backoffUntil = time.Time{}
}

// prune removes upstreams without requests that were not picked for
// pruneInterval.
func (b *Balancer) prune() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, upstream := range b.upstreams {
		if upstream.inflight == 0 && time.Since(upstream.lastPicked) > pruneInterval {
			delete(b.upstreams, id)
		}
	}
}

// upstream returns the state of the instance id, which it creates if needed. The
// caller holds b.mu.
func (b *Balancer) upstream(id string) *upstreamState {
	upstream := b.upstreams[id]
	if upstream == nil {
		upstream = &upstreamState{}
		b.upstreams[id] = upstream
	}
	return upstream
}
