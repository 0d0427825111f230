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

// Intervals, timeouts and defaults of a Runner.
const (
	// cancelPollInterval is the longest time between two checks for cancelled
	// jobs.
	cancelPollInterval = 1750 * time.Millisecond
	// cancelPollTimeout bounds one check for cancelled jobs.
	cancelPollTimeout = time.Second
	// maxCancelPollAge is the age of the last successful check for cancelled
	// jobs beyond which no item is started. It is below CancelDelay, so that a
	// runner without access to the table keeps to CancelDelay too.
	maxCancelPollAge = CancelDelay - 500*time.Millisecond
	// idleClaimInterval is the longest time between two attempts to claim a
	// chunk while none is claimable.
	idleClaimInterval = 5 * time.Second
	// openJobsMaxAge is the age at which the list of open jobs is read again.
	openJobsMaxAge = 5 * time.Second
	// noClaimableDelay is how long a job without claimable chunks is skipped.
	noClaimableDelay = 30 * time.Second
	// renewCheckInterval is the time between two checks of the ages of the held
	// leases.
	renewCheckInterval = time.Second
	// releaseTimeout bounds the release of the leases when the runner stops.
	releaseTimeout = 5 * time.Second
	// itemRetryDelay is the base of the exponential delay before a failed item
	// is run again.
	itemRetryDelay = 250 * time.Millisecond

	// DefaultReadyItems is the default of RunnerConfig.ReadyItems.
	DefaultReadyItems = 32
	// DefaultMaxChunks is the default of RunnerConfig.MaxChunks.
	DefaultMaxChunks = 8
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Store  *Store
	Gate   Gate
	Logger bhlog.Logger
	// Name is the name of the host.
	Name string
	// Serves reports whether the engines behind Gate serve the model; nil means
	// that they serve every model.
	Serves func(model string) bool
	// ReadyItems is the number of items to keep ready to run; zero means
	// DefaultReadyItems.
	ReadyItems int
	// MaxChunks limits the number of chunks held at a time; zero means
	// DefaultMaxChunks.
	MaxChunks int
}

// Runner leases chunks, runs their items on engines and completes the chunks.
// Its memory use does not depend on the size of jobs.
type Runner struct {
	store       *Store
	gate        Gate
	logger      bhlog.Logger
	holder      string
	servesModel func(model string) bool
	readyItems  int
	// maxChunks limits the number of held chunks, and so the memory used.
	maxChunks int

	mu sync.Mutex
	// changed is signalled when one of the fields from parts to totals changes.
	// mu guards these fields.
	changed      *sync.Cond
	parts        map[partID]*heldPart
	queue        []*heldItem
	runningItems int
	// runningAlone is set while an item runs that must run alone.
	runningAlone bool
	// cancelsCheckedAt is when the last successful check for cancelled jobs
	// began.
	cancelsCheckedAt time.Time
	totals           Totals

	// The following fields are used by claimLoop only.
	scheduler      *bhfair.Scheduler
	openJobs       []OpenJob
	openJobsReadAt time.Time
	// skipUntil holds the time until which a job without claimable chunks is
	// skipped, by the job's key.
	skipUntil    map[string]time.Time
	leaseMonitor leaseMonitor
}

// Totals counts what a runner has done since its start.
type Totals struct {
	// Started counts runs of items; Ended counts items that ended.
	Started, Ended int
	// Preempted counts runs stopped to make room for live traffic.
	Preempted int
	// Tokens counts the tokens of the items that ended; Generated counts all
	// tokens received from engines.
	Tokens, Generated int
	// ReadyItems is the number of items ready to run.
	ReadyItems int
	// Running is the number of running items.
	Running int
	// HeldChunks is the number of held chunks.
	HeldChunks int
}

// NewRunner returns a runner that holds no leases.
func NewRunner(config RunnerConfig) *Runner {
	readyItems := config.ReadyItems
	if readyItems <= 0 {
		readyItems = DefaultReadyItems
	}
	maxChunks := config.MaxChunks
	if maxChunks <= 0 {
		maxChunks = DefaultMaxChunks
	}
	logger := config.Logger
	if logger == nil {
		logger = bhlog.Nop()
	}
	servesModel := config.Serves
	if servesModel == nil {
		servesModel = func(string) bool { return true }
	}
	r := &Runner{
		store: config.Store, gate: config.Gate, logger: logger,
		holder: config.Name + "-" + randomID(), servesModel: servesModel, readyItems: readyItems, maxChunks: maxChunks,
		parts: map[partID]*heldPart{}, scheduler: bhfair.New(bhfair.Config{}),
		skipUntil: map[string]time.Time{}, leaseMonitor: newLeaseMonitor(),
	}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Run leases chunks and runs their items until ctx is done. It then stops the
// running items, releases the leases and returns.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	// waitUntil notices the end of the group's context only when it is woken
	// up.
	stop := context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.changed.Broadcast()
	})
	defer stop()
	group.Go(func() error { return r.claimLoop(ctx) })
	group.Go(func() error { return r.dispatchLoop(ctx) })
	group.Go(func() error { return r.renewLoop(ctx) })
	group.Go(func() error { return r.pollCancels(ctx) })
	err := group.Wait()
	r.releaseAll(ctx)
	return err
}

// Totals returns what the runner has done so far.
func (r *Runner) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := r.totals
	totals.ReadyItems = len(r.queue)
	totals.Running = r.runningItems
	totals.HeldChunks = r.heldChunkCount()
	return totals
}

// waitUntil blocks until condition returns true or ctx is done, and reports
// whether condition returned true. It calls condition with mu held.
func (r *Runner) waitUntil(ctx context.Context, condition func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ctx.Err() == nil {
		if condition() {
			return true
		}
		r.changed.Wait()
	}
	return false
}

// pollCancels checks for cancelled jobs regularly while any lease is held.
func (r *Runner) pollCancels(ctx context.Context) error {
	lastVersion := bhplatform.Any
	for {
		if !r.waitUntil(ctx, func() bool { return len(r.parts) > 0 }) {
			return nil
		}
		checkedAt := time.Now()
		version, err := r.checkCancels(ctx, lastVersion)
		if err != nil {
			bhlog.Trace(r.logger, "batch.hint", "err", err)
		} else {
			lastVersion = version
			r.mu.Lock()
			r.cancelsCheckedAt = checkedAt
			r.changed.Broadcast()
			r.mu.Unlock()
		}
		bhtree.Sleep(ctx, jitter(cancelPollInterval))
	}
}

// checkCancels reads the version of the cancellation hint. If it differs from
// lastVersion, checkCancels drops the chunks of jobs that have ended. It
// returns the version read, or lastVersion with an error.
func (r *Runner) checkCancels(ctx context.Context, lastVersion bhplatform.Version) (bhplatform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelPollTimeout)
	defer cancel()
	version, err := r.store.cancelHintVersion(ctx)
	if err != nil || version == lastVersion {
		return lastVersion, err
	}
	for _, part := range r.heldParts() {
		ended, err := r.store.jobEnded(ctx, part.job)
		if err != nil {
			return lastVersion, err
		}
		if ended {
			r.dropPart(part, "job ended")
		}
	}
	return version, nil
}

// heldParts returns the parts in which the runner holds leases.
func (r *Runner) heldParts() []*heldPart {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := make([]*heldPart, 0, len(r.parts))
	for _, part := range r.parts {
		parts = append(parts, part)
	}
	return parts
}

// releaseAll drops all chunks and releases their leases.
func (r *Runner) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for _, part := range r.heldParts() {
		r.dropPart(part, "stopping")
		change := PartChange{Holder: r.holder}
		if _, err := r.store.ChangePart(ctx, part.job, part.id.part, change); err != nil {
			bhlog.Trace(r.logger, "batch.release", "batch", part.job.ID, "err", err)
		}
	}
}
