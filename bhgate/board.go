package bhgate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwatch"
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

// Board counts this gateway's requests at each upstream and rests those that fail.
type Board struct {
	logger bhlog.Logger
	centre string

	mu        sync.Mutex
	upstreams map[string]*upstream
}

// NewBoard returns an empty board for a gateway in the data centre.
func NewBoard(centre string, logger bhlog.Logger) *Board {
	return &Board{logger: logger, centre: centre, upstreams: make(map[string]*upstream)}
}

// Run forgets upstreams that are no longer used until ctx is done.
func (b *Board) Run(ctx context.Context) error {
	for bhtree.Sleep(ctx, pruneInterval) {
		b.prune()
	}
	return nil
}

// Pick chooses the instance with the least load for its slots among those that
// aren't draining or excluded, prefers the gateway's own data centre among
// equals, and counts a request there. Resting instances are chosen last.
func (b *Board) Pick(instances []bhwatch.Instance, excluded map[string]bool) (bhwatch.Instance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best bhwatch.Instance
	var least float64
	found := false
	for _, instance := range instances {
		if instance.Draining || excluded[instance.ID] || now.Before(b.state(instance.ID).goneUntil) {
			continue
		}
		if score := b.score(instance, now); !found || score < least {
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

// Weights of a score beside the load as a share of the slots: a resting
// instance comes after all others, and the data centre only decides between equals.
const (
	restScore   = 1000.0
	centreScore = 0.02
	jitterScore = 0.01
)

func (b *Board) score(instance bhwatch.Instance, now time.Time) float64 {
	state := b.state(instance.ID)
	score := float64(state.inflight)/float64(max(1, instance.Slots)) + jitterScore*rand.Float64()
	if instance.Zone != b.centre {
		score += centreScore
	}
	if now.Before(state.restUntil) {
		score += restScore
	}
	return score
}

// Done ends a request that Pick counted.
func (b *Board) Done(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).inflight--
}

// Failed notes that the upstream took no connection or broke one.
func (b *Board) Failed(id string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(id)
	rest := min(restMax, restBase<<min(state.failures, 8))
	state.failures++
	state.restUntil = time.Now().Add(rest)
	bhlog.Problem(b.logger, "upstream.rest", err, "upstream", id, "failures", state.failures, "rest", rest)
}

// Gone notes that another instance has the upstream's address.
func (b *Board) Gone(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).goneUntil = time.Now().Add(goneTime)
	bhlog.Event(b.logger, "upstream.moved", "upstream", id, "passed_over", goneTime)
}

// Worked notes an answer of the upstream.
func (b *Board) Worked(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(id)
	state.failures = 0
	state.restUntil = time.Time{}
}

// prune forgets upstreams that were not chosen for pruneInterval.
func (b *Board) prune() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, state := range b.upstreams {
		if state.inflight == 0 && time.Since(state.seen) > pruneInterval {
			delete(b.upstreams, id)
		}
	}
}

func (b *Board) state(id string) *upstream {
	state := b.upstreams[id]
	if state == nil {
		state = &upstream{}
		b.upstreams[id] = state
	}
	return state
}
