package bhjob

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhshare"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// jobsReadInterval is the time between two reads of open jobs. Each reads one
	// partition, so that ended jobs stop within 2 s. Runners are out of step, so new
	// jobs start sooner.
	jobsReadInterval = 500 * time.Millisecond
	// claimInterval is the minimum time between two claims of a runner.
	claimInterval = 50 * time.Millisecond
	// failedClaimInterval is the minimum time after a claim that failed. The store
	// may be down, and refused calls cost as much as others.
	failedClaimInterval = 500 * time.Millisecond
	// claimChoices is how many jobs a runner tries in turn for one claim.
	claimChoices = 3
	// listValidity is how long after the read of a list claims may start from it.
	listValidity = 20 * time.Millisecond
	// maxItemsPerClaim limits the items of one claim, so that runners share a
	// job.
	maxItemsPerClaim = 2
	// removeTimeout bounds the removal of a stopping runner's heartbeat record.
	removeTimeout = time.Second
)

// itemRef names an item among those of all jobs.
type itemRef struct{ account, job, item string }

func refOf(job *Job, item string) itemRef {
	return itemRef{account: job.Account, job: job.ID, item: item}
}

// jobList holds the open jobs of a partition.
type jobList struct {
	jobs []*Job
	// readAt is when the read was sent; zero if there was none.
	readAt time.Duration
	// unattended holds the items that this runner had claimed without a run of them.
	unattended map[itemRef]bool
}

// LoadReport is an engine's load: how many requests run and wait, batch items
// included.
type LoadReport struct {
	Running int
	Waiting int
	// Born is when the engine started, in milliseconds since the Unix epoch; zero if it
	// doesn't say.
	Born int64
	// Leaving reports that the engine is leaving and must get no new requests.
	Leaving bool
	// Limit holds the values of the header in which the engine names a limit.
	Limit []string
}

// Engine reads the load of the upstream on the runner's machine.
type Engine interface {
	// Report returns the current load of the engine at the address.
	Report(ctx context.Context, address string) (LoadReport, error)
}

// PolicySource provides the current policy and the instances of all services,
// among them the runner's engine.
type PolicySource interface {
	View() bhwatch.View
	// MarkLeaving records that an answer of the instance said that it is leaving.
	// Later views list this start of it as draining.
	MarkLeaving(instance bhwatch.Instance)
	// ObserveOccupant records that an answer to a request for the instance, sent at the given
	// time of the clock, came from another process at its address: the occupant, or "" if it
	// didn't say. Later views leave the instance out.
	ObserveOccupant(asked bhwatch.Instance, occupant string, sent time.Duration)
	// ObserveStart records that the process at the address started at born, in milliseconds
	// since the Unix epoch, by an answer to a request that was sent at the given time.
	ObserveStart(address string, born int64, sent time.Duration)
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Holder identifies this process in claims. It differs at each start of the
	// process.
	Holder   string
	Jobs     *JobStore
	Policies PolicySource
	Engine   Engine
	Pool     *bhforward.Pool
	// Limits holds the limits that the engine names. If it is nil, this runner has its own.
	Limits *bhcap.Ledger
	// Crashes remembers the items that crash engines. If it is nil, this runner
	// remembers its own.
	Crashes Crashes
	// Outputs is the memory that the outputs of all items share beyond ownOutputBytes each. Nil means
	// one of defaultOutputsBytes.
	Outputs *bhspool.Pool
	Dialect bhforward.Dialect
	Clock   bhclock.Clock
	Logger  bhlog.Logger
	Scope   tally.Scope
	// Address returns the engine's address as host:port.
	Address func() string
	// StaleAfter returns the age at which the policy and the list of open jobs
	// are too old for starting items.
	StaleAfter func() time.Duration
	// Retention returns how long after its acceptance a job's results stay
	// readable. Those of a job that takes longer stay for minutes after its end.
	Retention func() time.Duration
}

// Runner runs items on the engine of its own machine, in the slots that live
// requests leave free. Its methods SendHeartbeats, ObserveRunners, ReadJobs, ClaimItems,
// AdjustToLoad, SaveCheckpoints and Sweep are loops that run concurrently.
type Runner struct {
	config     RunnerConfig
	metrics    runnerMetrics
	heartbeats *heartbeats
	// claimSignal receives a value when there are free slots to claim items
	// for.
	claimSignal chan struct{}
	// suspectRuns is set while an item under which engines ended runs here.
	suspectRuns atomic.Bool
	// engineBorn is the latest start of the engine that its reports told of. Only
	// AdjustToLoad uses it.
	engineBorn int64

	mu sync.Mutex
	// runs holds the claimed items until the last step of their runs has ended, and held
	// those not to be claimed yet.
	runs map[itemRef]*itemRun
	held map[itemRef]heldItem
	// claiming is the name of the job of which items are being claimed and loaded; empty if there
	// is none.
	claiming string
	// unloadable holds the items that couldn't be loaded at their last claim.
	unloadable map[itemRef]loadFailure
	// lastRuns, seenClaims and explained are for the log: how the last runs of items ended, the
	// present claims, and when the log told why an item waits.
	lastRuns   map[itemRef]lastRun
	seenClaims map[itemRef]seenClaim
	explained  map[itemRef]time.Time
	// slots is the number of requests that the engine runs at once; zero if the
	// engine takes none.
	slots int
	// leaving reports that the engine takes no new requests: it is draining, or its data
	// centre is evacuated.
	leaving bool
	load    engineLoad
	callers bhshare.Ledger
	// freeSlots is the number of further items that the engine can take.
	freeSlots   int
	suspicion   suspicion
	lastPauseAt time.Time
	// jobs holds the open jobs by partition.
	jobs map[string]*jobList
	// runTimes is learned from the items that completed here.
	runTimes runTimes
	// clockOffset is the reading of the store's clock minus that of the
	// runner's.
	clockOffset time.Duration
	// tasks counts the goroutines of requests and of their last steps, and the claims
	// that are being made.
	tasks  sync.WaitGroup
	closed bool
}

// NewRunner returns a runner that holds no claims.
func NewRunner(config RunnerConfig) *Runner {
	if config.Limits == nil {
		config.Limits = bhcap.NewLedger(bhcap.Config{})
	}
	if config.Outputs == nil {
		config.Outputs = bhspool.NewPool(defaultOutputsBytes)
	}
	if config.Crashes == nil {
		config.Crashes = bhevidence.New(bhevidence.Config{Refuses: config.Pool.Refuses, Logger: config.Logger, Scope: config.Scope})
	}
	return &Runner{
		config:      config,
		metrics:     newRunnerMetrics(config.Scope),
		heartbeats:  newHeartbeats(config.Holder, config.Jobs.config.Store, config.Clock, config.Logger),
		claimSignal: make(chan struct{}, 1),
		runs:        make(map[itemRef]*itemRun),
		held:        make(map[itemRef]heldItem),
		unloadable:  make(map[itemRef]loadFailure),
		lastRuns:    make(map[itemRef]lastRun),
		seenClaims:  make(map[itemRef]seenClaim),
		explained:   make(map[itemRef]time.Time),
		jobs:        make(map[string]*jobList),
	}
}

// SendHeartbeats sends the heartbeats that keep the runner's claims alive,
// until ctx is done.
func (r *Runner) SendHeartbeats(ctx context.Context) error { return r.heartbeats.sendLoop(ctx) }

// readJobs reads the open jobs of the partition, stops runs whose claims are lost
// and expires items.
func (r *Runner) readJobs(ctx context.Context, part string) error {
	sent := r.config.Clock.Now()
	jobs, now, err := r.config.Jobs.OpenJobs(ctx, part)
	if err != nil {
		return err
	}
	if holders := otherHolders(jobs, r.config.Holder); len(holders) > 0 {
		if err := r.heartbeats.observe(ctx, holders); err != nil {
			return err
		}
	}
	open := make(map[string]*Job, len(jobs))
	for _, job := range jobs {
		open[jobName(job.Account, job.ID)] = job
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	list := &jobList{jobs: jobs, readAt: sent}
	r.releaseUnattended(r.jobs[part], list)
	r.jobs[part], r.clockOffset = list, now-sent
	r.runTimes.setOpen(jobs)
	r.forgetFinished(part, open)
	r.noteClaims(jobs)
	r.explainWaiting(jobs, now)
	for _, run := range r.runs {
		if partition(run.job.Account) != part || run.phase == ending {
			continue
		}
		job := open[jobName(run.job.Account, run.job.ID)]
		if run.claimedAt < sent && (job == nil || claimedItem(job, run.item.ID, r.config.Holder) == nil) {
			run.drop("the claim was lost")
		} else if now > r.expires(run.job) {
			run.expire(now)
		}
	}
	return nil
}

// releaseUnattended releases the runner's claims of which both lists show that it has no
// run: the reply to the claim, or to its release, was lost too often. An engine that takes
// items has them claimed again before; others can't take them from a living runner. The
// caller holds r.mu.
func (r *Runner) releaseUnattended(previous, list *jobList) {
	list.unattended = make(map[itemRef]bool)
	for _, job := range list.jobs {
		for i := range job.Items {
			state := &job.Items[i]
			ref := refOf(job, state.ID)
			if state.Status != Claimed || state.Holder != r.config.Holder || r.runs[ref] != nil || r.claiming == jobName(job.Account, job.ID) {
				continue
			}
			list.unattended[ref] = true
			if previous == nil || !previous.unattended[ref] || r.closed {
				continue
			}
			run := &itemRun{runner: r, job: job, item: Item{ID: state.ID, Tokens: state.Tokens}, claimedAt: r.config.Clock.Now(), phase: paused, pausedAt: time.Now()}
			r.runs[ref] = run
			run.release("no run holds the claim")
		}
	}
}

// otherHolders returns the holders of claims on items of the jobs, except own.
func otherHolders(jobs []*Job, own string) map[string]bool {
	holders := make(map[string]bool)
	for _, job := range jobs {
		for i := range job.Items {
			if state := &job.Items[i]; state.Status == Claimed && state.Holder != own {
				holders[state.Holder] = true
			}
		}
	}
	return holders
}

// claimFromJob claims and starts items of one of the most urgent jobs.
func (r *Runner) claimFromJob(ctx context.Context) error {
	free := r.claimableCount()
	if free == 0 || !r.beginTask() {
		return nil
	}
	defer r.tasks.Done()
	defer r.setClaiming("")
	if err := r.heartbeats.sendIfStale(ctx); err != nil {
		return err
	}
	changed, ids, err := r.claim(ctx, free)
	if err != nil {
		return err
	}
	var failure error
	for _, id := range ids {
		if err := r.startClaimedItem(ctx, changed, id); err != nil {
			failure = err
		}
	}
	return failure
}

// setClaiming notes of which job items are claimed from now on. Claims that have no run yet aren't
// unattended.
func (r *Runner) setClaiming(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claiming = job
}

// beginTask counts a task, unless the runner is closed. It reports whether it did.
func (r *Runner) beginTask() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.tasks.Add(1)
	return true
}

// claim claims up to limit items of one of the most urgent jobs. It returns the
// changed job and the claimed items' ids. There are no ids if it found no items.
func (r *Runner) claim(ctx context.Context, limit int) (*Job, []string, error) {
	for range claimChoices {
		job, request := r.chooseJob()
		if job == nil {
			return nil, nil, nil
		}
		current, err := r.refreshJob(ctx, job)
		if err != nil {
			return nil, nil, err
		}
		if current == nil || len(request.claimable(current)) == 0 {
			continue // other runners were first
		}
		request.Limit = min(limit, maxItemsPerClaim)
		r.setClaiming(jobName(current.Account, current.ID))
		changed, ids, err := r.config.Jobs.Claim(ctx, current, request)
		if err != nil {
			return nil, nil, err
		}
		r.replaceJob(current, changed)
		if len(ids) > 0 {
			return changed, ids, nil
		}
	}
	return nil, nil, nil
}

// replaceJob replaces a job in the list by its newer record, or by an ended job
// if changed is nil.
func (r *Runner) replaceJob(old, changed *Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.jobs[partition(old.Account)]
	for i, job := range list.jobs {
		if job == old {
			if changed == nil {
				changed = &Job{Ended: true}
			}
			list.jobs[i] = changed
		}
	}
}

// newestRecord returns the job's present record, or the one given if that can't be
// read. A change that starts from an old record conflicts, since other runners
// claim and finish items of the same job.
func (r *Runner) newestRecord(ctx context.Context, job *Job) *Job {
	current, err := r.config.Jobs.OpenJob(ctx, job.Account, job.ID)
	if err != nil || current == nil {
		return job
	}
	return current
}

// startClaimedItem loads a claimed item and starts it if a slot is free. If the
// item can't be loaded, it returns the claim. If the record is unreadable or holds another item, which
// an earlier version stored under the same name, the item ends as one that can't be run.
func (r *Runner) startClaimedItem(ctx context.Context, job *Job, id string) error {
	item, err := r.config.Jobs.LoadItem(ctx, job, id)
	unreadable := errors.Is(err, errUnreadable)
	if unreadable {
		err = nil
	}
	var checkpoint Checkpoint
	if err == nil {
		checkpoint, err = r.config.Jobs.LoadCheckpoint(ctx, job, id)
	}
	if err != nil {
		r.returnUnloaded(job, id, err)
		return errors.Wrapf(err, "loading item %s", id)
	}
	loadedID := item.ID
	item.ID = id
	claimedRun := &itemRun{runner: r, job: job, item: item, checkpoint: checkpoint, claimedAt: r.config.Clock.Now(), phase: paused,
		pausedAt: time.Now(), events: eventCount(checkpoint.Text), resumed: checkpoint.LastEvent != ""}
	bhlog.Event(r.config.Logger, "item.claimed", "item", id, "job", job.ID, "account", job.Account, "version", job.Version,
		"after", checkpoint.LastEvent, "failures", job.item(id).Failures)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[claimedRun.ref()] = claimedRun
	delete(r.unloadable, claimedRun.ref())
	switch {
	case unreadable:
		claimedRun.recordResult(Result{ID: id, Status: Dead}, errUnreadable.Error())
		return nil
	case loadedID != id:
		claimedRun.recordResult(Result{ID: id, Status: Dead}, fmt.Sprintf("the store has item %q under its name", loadedID))
		return nil
	}
	switch {
	case r.closed:
		claimedRun.release("the runner is stopping")
	case r.freeSlots > 0 && !r.expired(job):
		r.freeSlots--
		claimedRun.start()
	}
	return nil
}

// Close stops all runs, returns their claims and those that are being made, and
// waits until that is done or ctx is. Then it removes the runner's heartbeat
// record, so that others soon take over the claims that are left, and returns the
// error of the removal.
func (r *Runner) Close(ctx context.Context) error {
	r.mu.Lock()
	r.closed = true
	for _, run := range r.runs {
		run.release("the runner is stopping")
	}
	r.mu.Unlock()
	done := make(chan struct{})
	go func() {
		r.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTimeout)
	defer cancel()
	return r.heartbeats.remove(ctx)
}
