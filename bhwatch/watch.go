// Package bhwatch polls the platform for the routing policy, the evacuated data centres
// and the list of upstreams, and records the latest time at which the policy was certainly
// in force. The gateway command runs a Watcher; bhgate and bhjob read its View.
package bhwatch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// DefaultInterval is the time between polls if none is configured, about a
	// sixth of 2 s, the shortest time within which a change must be in force.
	DefaultInterval = 350 * time.Millisecond
	// pollTimeout bounds one poll and the read of one Confirm, so that a read on a
	// connection that doesn't answer is given up while the last known policy is
	// still recent enough to be used.
	pollTimeout = 1200 * time.Millisecond
	// maxPollsInFlight bounds the concurrent polls while the platform is slow.
	maxPollsInFlight = 4
	// outageThreshold is the time beyond the interval of polls without an answer
	// from the platform that counts as an outage. Upstreams that are missing from the list after an outage may
	// be alive and only have been unable to renew their records.
	outageThreshold = 1150 * time.Millisecond
	// renewGrace is how long after an outage upstreams that are missing from the
	// list are kept, so that they can renew their records.
	renewGrace = 2 * time.Second
	// confirmDelay is how long Confirm waits before its read, so that concurrent
	// calls share it. It is the minimum time between the starts of such reads.
	confirmDelay = 20 * time.Millisecond
)

// Instance is one upstream process of a service.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is that of the upstream's software. Instances of several versions may
	// serve side by side.
	Version string
	Slots   int
	// Draining is true if the instance finishes the requests that it has and
	// must get no new ones.
	Draining bool
	// Born is the start time of the process in milliseconds since the Unix epoch.
	// It distinguishes a restarted process with the same ID.
	Born int64
	// Sequence counts the writes of the record since that start.
	Sequence int64
	// Cold is how much longer the instance is cold after its start, as its record says, and
	// ColdUntil when it is warm by the watcher's clock; both are zero if it is warm.
	Cold      time.Duration
	ColdUntil time.Duration
	// RunnerAddr is the address at which the runner beside an engine reports the
	// engine's load; the zero AddrPort if there is no runner.
	RunnerAddr netip.AddrPort
}

// Source reads the operator's directives and the upstreams from the platform.
type Source interface {
	// Directives returns the directives; the policy is nil if the version of its record
	// equals known.
	Directives(ctx context.Context, known bhplatform.Version) (Directives, error)
	// Instances returns all upstreams that have valid records.
	Instances(ctx context.Context) ([]Instance, error)
}

// Config configures a Watcher.
type Config struct {
	Source Source
	Clock  bhclock.Clock
	Logger bhlog.Logger
	Scope  tally.Scope
	// Interval is the time between polls; zero means DefaultInterval.
	Interval time.Duration
}

// Watcher polls a Source and keeps the latest View. It is safe for concurrent
// use.
type Watcher struct {
	config    Config
	proofAge  tally.Gauge
	evacuated tally.Gauge

	mu                sync.Mutex
	index             *bhpolicy.Index
	routes            RouteTimes
	version           bhplatform.Version
	evacuations       evacuations
	provenAt          time.Duration
	startedAt         time.Duration
	fleet             map[string][]Instance
	instances         instanceTracker
	pollsInFlight     int
	platformReachable bool
	// policyConfirmation and fleetConfirmation are the reads that calls of Confirm and
	// ConfirmFleet wait for; nil if none is about to start.
	policyConfirmation *confirmation
	fleetConfirmation  *confirmation
}

// confirmation is a read that several calls wait for.
type confirmation struct {
	done chan struct{}
	// err may be read once done is closed.
	err error
}

// New returns a Watcher that has read nothing yet. Run must be called to poll.
func New(config Config) *Watcher {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	return &Watcher{
		config:    config,
		startedAt: config.Clock.Now(),
		proofAge:  config.Scope.Gauge("policy_proof_age_seconds"),
		evacuated: config.Scope.Gauge("evacuated_centres"),
		instances: newInstanceTracker(config.Interval + outageThreshold),
	}
}

// Run polls until ctx is done, waits for the polls in flight and returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	var polls sync.WaitGroup
	defer polls.Wait()
	ticker := time.NewTicker(w.config.Interval)
	defer ticker.Stop()
	for {
		if w.tryBeginPoll() {
			polls.Go(func() {
				defer w.endPoll()
				if err := bhtree.Guard(ctx, w.poll); err != nil {
					bhlog.Problem(w.config.Logger, "poll.stopped", err)
				}
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// View returns the current snapshot. Its Index is nil until a policy was read.
func (w *Watcher) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return View{Index: w.index, ProvenAt: w.provenAt, Fleet: w.fleet, Contested: w.instances.contested, Versions: w.instances.versions, Evacuated: w.evacuations.centres, Routes: w.routes}
}

// Confirm reads the policy again, with a read that is sent after the call, and
// returns the view after that read. Calls within confirmDelay share one read.
// It fails with PlatformUnavailable at once if the platform hasn't answered for the
// time that counts as an outage, or once ctx is done, and otherwise with the error
// of the read.
func (w *Watcher) Confirm(ctx context.Context) (View, error) {
	return w.confirm(ctx, &w.policyConfirmation, w.readDirectives)
}

// ConfirmFleet is Confirm for the list of upstreams.
func (w *Watcher) ConfirmFleet(ctx context.Context) (View, error) {
	return w.confirm(ctx, &w.fleetConfirmation, func(ctx context.Context) error { return w.readFleet(ctx, w.config.Clock.Now()) })
}

// confirm waits for the pending read, which it starts if there is none.
func (w *Watcher) confirm(ctx context.Context, shared **confirmation, read bhtree.Run) (View, error) {
	w.mu.Lock()
	if silence := w.config.Clock.Now() - max(w.provenAt, w.startedAt); silence > w.config.Interval+outageThreshold {
		w.mu.Unlock()
		return View{}, bhcode.New(bhcode.PlatformUnavailable, "the platform has not answered for %s", silence)
	}
	pending := *shared
	if pending == nil {
		pending = &confirmation{done: make(chan struct{})}
		*shared = pending
		go w.runConfirmation(pending, shared, read)
	}
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return View{}, bhcode.Wrap(ctx.Err(), bhcode.PlatformUnavailable, "confirming what the platform holds")
	case <-pending.done:
		return w.View(), pending.err
	}
}

// runConfirmation waits confirmDelay, reads and wakes the callers that wait for pending.
func (w *Watcher) runConfirmation(pending *confirmation, shared **confirmation, read bhtree.Run) {
	time.Sleep(confirmDelay)
	w.mu.Lock()
	*shared = nil
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	pending.err = bhtree.Guard(ctx, read)
	close(pending.done)
}

// tryBeginPoll reports whether another poll may start, and counts it if so. It
// also updates the gauge of the policy's age.
func (w *Watcher) tryBeginPoll() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proofAge.Update((w.config.Clock.Now() - w.provenAt).Seconds())
	if w.pollsInFlight >= maxPollsInFlight {
		return false
	}
	w.pollsInFlight++
	return true
}

func (w *Watcher) endPoll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pollsInFlight--
}

func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := w.config.Clock.Now()
	err := w.readDirectives(ctx)
	if err == nil {
		err = w.readFleet(ctx, sent)
	}
	w.logReachability(err, sent)
	return nil
}

// logReachability logs when polls begin to fail or to succeed again.
func (w *Watcher) logReachability(err error, sent time.Duration) {
	w.mu.Lock()
	changed := w.platformReachable != (err == nil)
	w.platformReachable = err == nil
	age := w.config.Clock.Now() - w.provenAt
	w.mu.Unlock()
	switch {
	case changed && err == nil:
		bhlog.Event(w.config.Logger, "platform.regained", "age", w.config.Clock.Now()-sent)
	case changed:
		bhlog.Problem(w.config.Logger, "platform.lost", err, "proof_age", age)
	}
}

// readDirectives reads the directives. It adopts the policy if its record is newer than the
// known one, and the evacuations also if the policy can't be used. An answer with older
// versions, overtaken by a later read, is ignored.
func (w *Watcher) readDirectives(ctx context.Context) error {
	sent := w.config.Clock.Now()
	w.mu.Lock()
	knownVersion := w.version
	w.mu.Unlock()
	directives, err := w.config.Source.Directives(ctx, knownVersion)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuations.update(directives, w.config.Logger)
	w.evacuated.Update(float64(len(w.evacuations.centres)))
	if directives.PolicyErr != nil {
		return directives.PolicyErr
	}
	policy, version := directives.Policy, directives.PolicyVersion
	if version < w.version {
		return nil
	}
	if policy != nil && version > w.version {
		var earlier *bhpolicy.Policy
		if w.index != nil {
			earlier = w.index.Policy
		}
		w.routes = w.routes.update(earlier, policy, w.config.Clock.Now())
		w.index = bhpolicy.NewIndex(policy)
		bhlog.Event(w.config.Logger, "policy.inforce", "version", policy.Version, "record", version,
			"routes", len(policy.Routes), "accounts", len(policy.Accounts), "read", w.config.Clock.Now()-sent)
	}
	w.version = version
	w.provenAt = max(w.provenAt, sent)
	return nil
}

func (w *Watcher) readFleet(ctx context.Context, sent time.Duration) error {
	instances, err := w.config.Source.Instances(ctx)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet = w.instances.update(instances, sent, w.config.Clock.Now(), w.index, w.config.Logger)
	return nil
}
