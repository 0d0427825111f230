package bhbatch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/baobabhaven/baobabhaven/bhfair"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// Intervals of a Runner.
const (
	// hintInterval is the longest time between two looks for cancelled jobs.
	hintInterval = 1750 * time.Millisecond
	// hintTimeout bounds one look.
	hintTimeout = time.Second
	// freshLimit is the age of the last look beyond which no item is started.
	freshLimit = CancelDelay - 500*time.Millisecond
	// idleInterval is the longest time between two looks for work.
	idleInterval = 5 * time.Second
	// leadsAge is the age at which the list of open jobs is read again.
	leadsAge = 5 * time.Second
	// dryInterval is how long a job without open chunks is passed over.
	dryInterval = 30 * time.Second
	// renewTick is the time between two looks at the leases held.
	renewTick = time.Second
	// stopTimeout bounds giving back leases at a stop.
	stopTimeout = 5 * time.Second
	// againDelay is the wait before an item that failed is run again.
	againDelay = 250 * time.Millisecond

	// DefaultReady is the number of items held ready.
	DefaultReady = 32
	// DefaultMaxHeld is the number of chunks held at most.
	DefaultMaxHeld = 8
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Store  *Store
	Gate   Gate
	Logger bhlog.Logger
	// Name is the name of the host.
	Name string
	// Serves reports whether the engines behind Gate have the model; nil means
	// that they have every one.
	Serves func(model string) bool
	// Ready is the number of items to hold ready; zero means DefaultReady.
	Ready int
	// MaxHeld bounds the chunks held at a time; zero means DefaultMaxHeld.
	MaxHeld int
}

// Runner leases chunks, runs their items through an engine and completes the
// chunks. The memory it uses does not depend on the size of jobs.
type Runner struct {
	store  *Store
	gate   Gate
	logger bhlog.Logger
	holder string
	serves func(model string) bool
	ready  int
	// maxHeld bounds the chunks held, and so the memory used.
	maxHeld int

	mu sync.Mutex
	// changed is signalled when any field below changes.
	changed   *sync.Cond
	parts     map[partID]*partRun
	queue     []*itemRun
	running   int
	exclusive bool
	fresh     time.Time
	totals    Totals

	// Fields of the feeder alone.
	scheduler *bhfair.Scheduler
	leads     []Lead
	leadsRead time.Time
	dry       map[string]time.Time
	watch     watch
}

// Totals counts what a runner did since its start.
type Totals struct {
	// Started counts runs of items, Ended items that ended.
	Started, Ended int
	// Preempted counts runs stopped for live traffic.
	Preempted int
	// Tokens counts the tokens of the items that ended, Generated all tokens
	// received from the engine.
	Tokens, Generated int
	// Ready is the number of items held ready.
	Ready int
	// Running is the number of items that run.
	Running int
	// Held is the number of chunks held.
	Held int
}

// NewRunner returns a runner that holds nothing yet.
func NewRunner(config RunnerConfig) *Runner {
	ready := config.Ready
	if ready <= 0 {
		ready = DefaultReady
	}
	maxHeld := config.MaxHeld
	if maxHeld <= 0 {
		maxHeld = DefaultMaxHeld
	}
	logger := config.Logger
	if logger == nil {
		logger = bhlog.Nop()
	}
	serves := config.Serves
	if serves == nil {
		serves = func(string) bool { return true }
	}
	r := &Runner{
		store: config.Store, gate: config.Gate, logger: logger,
		holder: config.Name + "-" + randomID(), serves: serves, ready: ready, maxHeld: maxHeld,
		parts: map[partID]*partRun{}, scheduler: bhfair.New(bhfair.Config{}),
		dry: map[string]time.Time{}, watch: newWatch(),
	}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Run runs items until ctx is done. It then stops the items that run, gives
// the leases back and returns.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	// The waiters look at the group's context, so its end has to wake them.
	stop := context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changed.Broadcast()
	})
	defer stop()
	group.Go(func() error { return r.feed(ctx) })
	group.Go(func() error { return r.dispatch(ctx) })
	group.Go(func() error { return r.renew(ctx) })
	group.Go(func() error { return r.listen(ctx) })
	err := group.Wait()
	r.release(ctx)
	return err
}

// Totals returns what the runner did so far.
func (r *Runner) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := r.totals
	totals.Ready = len(r.queue)
	totals.Running = r.running
	totals.Held = r.held()
	return totals
}

// wait blocks until ready returns true or ctx is done, with the mutex held
// around ready. It reports whether ready returned true.
func (r *Runner) wait(ctx context.Context, ready func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ctx.Err() == nil {
		if ready() {
			return true
		}
		r.changed.Wait()
	}
	return false
}

// listen looks for cancelled jobs while any lease is held.
func (r *Runner) listen(ctx context.Context) error {
	last := bhplatform.Any
	for {
		if !r.wait(ctx, func() bool { return len(r.parts) > 0 }) {
			return nil
		}
		sent := time.Now()
		version, err := r.look(ctx, last)
		if err != nil {
			bhlog.Trace(r.logger, "batch.hint", "err", err)
		} else {
			last = version
			r.mu.Lock()
			r.fresh = sent
			r.changed.Broadcast()
			r.mu.Unlock()
		}
		bhtree.Sleep(ctx, jitter(hintInterval))
	}
}

// look reads the hint and, if it changed since last, drops the jobs that ended.
func (r *Runner) look(ctx context.Context, last bhplatform.Version) (bhplatform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	version, err := r.store.hint(ctx)
	if err != nil || version == last {
		return last, err
	}
	for _, part := range r.snapshot() {
		ended, err := r.store.ended(ctx, part.lead)
		if err != nil {
			return last, err
		}
		if ended {
			r.dropPart(part, "job ended")
		}
	}
	return version, nil
}

// snapshot returns the parts in which leases are held.
func (r *Runner) snapshot() []*partRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := make([]*partRun, 0, len(r.parts))
	for _, part := range r.parts {
		parts = append(parts, part)
	}
	return parts
}

// release gives all leases back.
func (r *Runner) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	for _, part := range r.snapshot() {
		r.dropPart(part, "stopping")
		change := Change{Holder: r.holder}
		if _, err := r.store.Change(ctx, part.lead, part.id.part, change); err != nil {
			bhlog.Trace(r.logger, "batch.release", "batch", part.lead.ID, "err", err)
		}
	}
}
