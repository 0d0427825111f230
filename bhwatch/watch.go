// Package bhwatch follows the routing policy and the list of upstreams by
// polling the platform, and tells how fresh what it knows is.
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
	// DefaultInterval is a sixth of the 2 s within which changes are in force.
	DefaultInterval = 350 * time.Millisecond
	// pollTimeout bounds one read, so that a silent connection is given up
	// while the last proof still holds.
	pollTimeout = 1200 * time.Millisecond
	// maxPolls bounds the reads in flight while the platform is slow.
	maxPolls = 4
	// lapseGap is the silence of the platform after which upstreams that are
	// missing may merely have been unable to renew their records.
	lapseGap = 1500 * time.Millisecond
	// lapseGrace is how long after the platform's return they have to do so.
	lapseGrace = 2 * time.Second
	// confirmInterval is the least time between reads for requests that the
	// policy at hand doesn't allow.
	confirmInterval = 20 * time.Millisecond
)

// Instance is one upstream process of a service.
type Instance struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining instances finish what they have and take nothing new.
	Draining bool
	// Born is when the process started, in milliseconds since 1970; it tells a
	// restart under the same ID.
	Born int64
	// Keeper is where the runner beside an engine tells the engine's load; not
	// valid if there is none.
	Keeper netip.AddrPort
}

// Source reads the declared state from the platform.
type Source interface {
	// Policy returns the policy and the version of its record. The policy is
	// nil if there is none, or if its version is known already.
	Policy(ctx context.Context, known bhplatform.Version) (*bhpolicy.Policy, bhplatform.Version, error)
	// Instances returns all upstreams that have valid records.
	Instances(ctx context.Context) ([]Instance, error)
}

// View is what a Watcher knows at one moment.
type View struct {
	Index *bhpolicy.Index
	// Proof is the time of the clock at which Index was certainly in force.
	Proof time.Duration
	// Fleet holds the upstreams by service.
	Fleet map[string][]Instance
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

// Watcher follows a Source.
type Watcher struct {
	config Config
	ages   tally.Gauge

	mu       sync.Mutex
	index    *bhpolicy.Index
	version  bhplatform.Version
	proof    time.Duration
	fleet    map[string][]Instance
	roster   roster
	polls    int
	reached  bool
	confirms *confirmation
}

// confirmation is one read that several requests wait for.
type confirmation struct {
	done chan struct{}
	err  error
}

// New returns a watcher that knows nothing yet.
func New(config Config) *Watcher {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	return &Watcher{
		config: config,
		ages:   config.Scope.Gauge("policy_proof_age_seconds"),
		roster: newRoster(),
	}
}

// Run polls until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	var polls sync.WaitGroup
	defer polls.Wait()
	ticker := time.NewTicker(w.config.Interval)
	defer ticker.Stop()
	for {
		if w.enter() {
			polls.Go(func() {
				defer w.leave()
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

// View returns what is known now. Its Index is nil before the first policy.
func (w *Watcher) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return View{Index: w.index, Proof: w.proof, Fleet: w.fleet}
}

// Confirm waits for a policy whose read was sent after the call, and returns
// the view with it. Calls within confirmInterval share one read.
func (w *Watcher) Confirm(ctx context.Context) (View, error) {
	w.mu.Lock()
	waiting := w.confirms
	if waiting == nil {
		waiting = &confirmation{done: make(chan struct{})}
		w.confirms = waiting
		go w.confirm(waiting)
	}
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return View{}, bhcode.Wrap(ctx.Err(), bhcode.PlatformUnavailable, "confirming the policy")
	case <-waiting.done:
		return w.View(), waiting.err
	}
}

func (w *Watcher) confirm(waiting *confirmation) {
	time.Sleep(confirmInterval)
	w.mu.Lock()
	w.confirms = nil
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	waiting.err = bhtree.Guard(ctx, w.readPolicy)
	close(waiting.done)
}

func (w *Watcher) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ages.Update((w.config.Clock.Now() - w.proof).Seconds())
	if w.polls >= maxPolls {
		return false
	}
	w.polls++
	return true
}

func (w *Watcher) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls--
}

func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := w.config.Clock.Now()
	err := w.readPolicy(ctx)
	if err == nil {
		err = w.readFleet(ctx, sent)
	}
	w.note(err, sent)
	return nil
}

// note logs when the platform is lost or regained.
func (w *Watcher) note(err error, sent time.Duration) {
	w.mu.Lock()
	changed := w.reached != (err == nil)
	w.reached = err == nil
	age := w.config.Clock.Now() - w.proof
	w.mu.Unlock()
	switch {
	case changed && err == nil:
		bhlog.Event(w.config.Logger, "platform.regained", "age", w.config.Clock.Now()-sent)
	case changed:
		bhlog.Problem(w.config.Logger, "platform.lost", err, "proof_age", age)
	}
}

func (w *Watcher) readPolicy(ctx context.Context) error {
	sent := w.config.Clock.Now()
	w.mu.Lock()
	known := w.version
	w.mu.Unlock()
	policy, version, err := w.config.Source.Policy(ctx, known)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.version {
		return nil
	}
	if policy != nil && version > w.version {
		w.index = bhpolicy.NewIndex(policy)
		bhlog.Event(w.config.Logger, "policy.inforce", "version", policy.Version, "record", version,
			"routes", len(policy.Routes), "accounts", len(policy.Accounts), "read", w.config.Clock.Now()-sent)
	}
	w.version = version
	w.proof = max(w.proof, sent)
	return nil
}

func (w *Watcher) readFleet(ctx context.Context, sent time.Duration) error {
	instances, err := w.config.Source.Instances(ctx)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet = w.roster.update(instances, sent, w.config.Logger)
	return nil
}
