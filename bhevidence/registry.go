// Package bhevidence shares between gateways and runners under which requests
// upstreams ended, so that each of them knows a request that crashes upstreams
// although another one sent it. Evidence travels in datagrams to all of them at once,
// again to some at random, and through the store, which outlives them all. What it
// means is decided by package bhcrash.
package bhevidence

import (
	"context"
	"encoding/hex"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// probeAgainAfter is the time between the two looks at an upstream whose
	// connection broke: a process that ends may close its listener last.
	probeAgainAfter = 50 * time.Millisecond
	// restartMargin is how much later than the end of an upstream a request must have
	// been sent to have run at its next start. Reports of the end differ by less.
	restartMargin = 50 * time.Millisecond
	// answeringTime is how long after its send an event must arrive to clear a request. What crashes
	// upstreams does so when it begins to run, before its first event or right after.
	answeringTime = 250 * time.Millisecond
)

// Peers gives access to the other gateways and to the runners.
type Peers interface {
	// Order returns the gateways in an order that depends on the key and is the same
	// at all processes that know the same ones. An invalid address stands for this
	// gateway.
	Order(key string) []netip.AddrPort
	// All returns the other gateways and runners.
	All() []netip.AddrPort
	// Tell sends a frame to the peers, without a confirmation.
	Tell(kind bhwire.Kind, message any, peers ...netip.AddrPort)
	// Ask sends a frame to the peers and returns the answers that arrive within the
	// wait.
	Ask(ctx context.Context, wait time.Duration, kind bhwire.Kind, message any, peers ...netip.AddrPort) map[netip.AddrPort]bhwire.Frame
}

// Config configures a Registry.
type Config struct {
	// Peers are the other processes; nil if there are none.
	Peers Peers
	// Store keeps the evidence; nil if there is none.
	Store bhplatform.Store
	// Refuses reports whether nothing listens at the address. It takes a round trip.
	Refuses func(ctx context.Context, address string) bool
	// Listed returns the start that the list of upstreams has at an address, or false if it
	// has none; nil if there is no list.
	Listed func(address string) (bhcrash.Listed, bool)
	Logger bhlog.Logger
	Scope  tally.Scope
}

// Registry keeps the shared ledger of one process. It is safe for concurrent use.
type Registry struct {
	config  Config
	ledger  *bhcrash.Ledger
	metrics metrics
	// abandoned holds the requests that this process gave up at an upstream.
	abandoned bhcrash.Abandoned[Loss]
	// saveSignal receives a value when there is evidence to save.
	saveSignal chan struct{}
	// tasks counts the goroutines of second probes and of trials that are given back.
	tasks sync.WaitGroup

	mu sync.Mutex
	// fresh is this process's own evidence that is sent again to all peers.
	fresh []entry
	// returned holds the permits that were given back lately, which is told again.
	returned []returnedPermit
	// leases holds the trials that this process granted, by digest.
	leases map[string]lease
	// saved holds the times of the records that the store is known to hold, by name.
	saved map[string]time.Time
}

// metrics are a registry's counters.
type metrics struct {
	losses    tally.Counter
	abandoned tally.Counter
	spared    tally.Counter
	trials    tally.Counter
	cleared   tally.Counter
	refused   tally.Counter
}

// entry is evidence of one digest and one source.
type entry struct {
	source bhcrash.Source
	digest string
	test   bhcrash.Test
	at     time.Time
}

// clears reports whether the entry clears its digest.
func (e entry) clears() bool { return e.source == bhcrash.Source{} }

// evidence returns the entry's evidence as of now.
func (e entry) evidence(now time.Time) bhcrash.Evidence {
	age := max(0, now.Sub(e.at))
	if e.clears() {
		return bhcrash.Evidence{Age: age}
	}
	return bhcrash.LossEvidence(e.test, age)
}

// New returns a registry without evidence.
func New(config Config) *Registry {
	return &Registry{
		config:     config,
		ledger:     bhcrash.NewLedger(),
		saveSignal: make(chan struct{}, 1),
		leases:     make(map[string]lease),
		saved:      make(map[string]time.Time),
		metrics: metrics{
			losses:    config.Scope.Counter("crash_losses"),
			abandoned: config.Scope.Counter("crash_abandoned"),
			spared:    config.Scope.Counter("crash_broken_only"),
			trials:    config.Scope.Counter("crash_trials"),
			cleared:   config.Scope.Counter("crash_cleared"),
			refused:   config.Scope.Counter("crash_refused"),
		},
	}
}

// Admit decides whether a request with the traits may be sent. It returns a permit if
// the request runs as a trial; the caller reports its outcome by Lost or Whole, or
// returns the permit. The error is Withheld, with the time to come back.
func (r *Registry) Admit(ctx context.Context, traits bhcrash.Traits) (*Permit, error) {
	decision := r.ledger.Decide(traits)
	switch decision.Status {
	case bhcrash.Clear:
		return nil, nil
	case bhcrash.Quarantined:
		r.metrics.refused.Inc(1)
		return nil, withheld(traits, decision)
	}
	permit, wait := r.beginTrial(ctx, decision, traits.Until)
	if permit == nil {
		r.metrics.refused.Inc(1)
		return nil, bhcode.New(bhcode.Withheld, "upstreams ended under %s, of which no further trial may run yet", decision.Suspects[0]).WithRetryAfter(wait)
	}
	r.metrics.trials.Inc(1)
	bhlog.Event(r.config.Logger, "crash.trial", "content", traits.Content, "suspects", strings.Join(decision.Suspects, ","), "granted_by", permit.grantedBy())
	return permit, nil
}

// Suspected reports whether upstreams ended more than once under the content or the prompt
// of the traits, which may still be due to something that ran beside it.
func (r *Registry) Suspected(traits bhcrash.Traits) bool {
	return r.ledger.CountEnds(traits.Content) >= sharedSources || r.ledger.CountEnds(traits.Prompt) >= sharedSources
}

// Withheld returns the error Withheld, with the time to come back, if a request with the
// traits may not be sent now, not even as a trial.
func (r *Registry) Withheld(traits bhcrash.Traits) error {
	if decision := r.ledger.Decide(traits); decision.Status == bhcrash.Quarantined {
		return withheld(traits, decision)
	}
	return nil
}

func withheld(traits bhcrash.Traits, decision bhcrash.Decision) error {
	return bhcode.New(bhcode.Withheld, "upstreams ended under the content %s or parts of its prompt", traits.Content).WithRetryAfter(decision.RetryAfter)
}

// Loss is a connection to an upstream that broke while a request ran there.
type Loss struct {
	Traits bhcrash.Traits
	// Upstream names the start of the upstream, Address where it listened.
	Upstream bhcrash.Source
	Address  string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Permit is that of a request that ran as a trial; nil if it didn't.
	Permit *Permit
}

// Lost reports that a connection broke. It is evidence against the traits if the
// upstream has ended, which Lost looks at now and once more soon: a connection alone
// also breaks for other reasons. An upstream that listens again by then counts as alive.
func (r *Registry) Lost(ctx context.Context, loss Loss) {
	if r.config.Refuses(ctx, loss.Address) {
		r.recordLoss(loss)
		return
	}
	r.tasks.Go(func() {
		time.Sleep(probeAgainAfter)
		if r.config.Refuses(context.WithoutCancel(ctx), loss.Address) {
			r.recordLoss(loss)
			return
		}
		r.metrics.spared.Inc(1)
	})
}

// recordLoss records that the upstream of the loss has ended, also under the requests that
// were given up there.
func (r *Registry) recordLoss(loss Loss) {
	listed, now := loss.Upstream, time.Now()
	loss.Upstream = r.presentStart(loss)
	r.record(loss, now, "connection")
	if loss.Upstream == listed {
		r.recordEnded(listed, now, "connection")
	}
}

// presentStart returns the start of the upstream that ended. An upstream that starts
// again under its ID is listed as the old start for a while: if that had ended before
// the request was sent, a later one has ended now, which is numbered after it.
func (r *Registry) presentStart(loss Loss) bhcrash.Source {
	source := loss.Upstream
	for {
		endedAt, ended := r.ledger.EndedAt(source)
		if !ended || !loss.SentAt.After(endedAt.Add(restartMargin)) {
			return source
		}
		source.Incarnation++
	}
}

// Whole reports that an upstream answered a request with the traits completely, which
// clears them.
func (r *Registry) Whole(traits bhcrash.Traits) {
	r.abandoned.Whole(traits)
	var entries []entry
	for _, digest := range traits.All() {
		if !r.ledger.Accused(digest) {
			continue
		}
		r.metrics.cleared.Inc(1)
		bhlog.Event(r.config.Logger, "crash.cleared", "digest", digest, "content", traits.Content)
		r.ledger.Clear(digest)
		cleared := entry{digest: digest, at: time.Now()}
		r.endLease(cleared)
		entries = append(entries, cleared)
	}
	if len(entries) > 0 {
		r.share(entries)
	}
}

// Answered reports that an event arrived for a request with the traits that was sent at the time,
// and that the request can be resumed after it. It clears the traits and returns true once the
// request has run for longer than one that crashes upstreams: a later end of the upstream isn't
// the outcome of its trial. A request that ends each upstream at the same later event does so soon
// once it is resumed there, which isn't cleared.
func (r *Registry) Answered(traits bhcrash.Traits, sentAt time.Time) bool {
	if time.Since(sentAt) < answeringTime {
		return false
	}
	r.Whole(traits)
	return true
}

// Close waits for the probes in flight and for trials that are given back.
func (r *Registry) Close() error {
	r.tasks.Wait()
	return nil
}

func encodeDigest(digest string) []byte {
	data, err := hex.DecodeString(digest)
	if err != nil {
		return nil
	}
	return data
}
