package bhjob

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// lookInterval is how often the open jobs are read. Ended jobs stop and new
	// jobs start within it.
	lookInterval = 500 * time.Millisecond
	// claimInterval is the least time between two claims of a runner.
	claimInterval = 50 * time.Millisecond
	// claimBatch bounds the items of one claim, so that runners share a job.
	claimBatch = 2
	// candidates is how many of the most urgent jobs a runner chooses from at
	// random, which keeps runners from claiming from the same record at once.
	candidates = 3
	// runTime is the estimate of an item's run when jobs are ordered: one that
	// can't be in time any more comes after those that can.
	runTime = 5 * time.Second
)

// LoadReport is what an engine says of its load.
type LoadReport struct {
	Running int
	Waiting int
}

// Engine is the upstream beside a runner.
type Engine interface {
	// Report returns the engine's load at this moment.
	Report(ctx context.Context, address string) (LoadReport, error)
}

// PolicySource is where a runner learns the policy and its engine's instance.
type PolicySource interface {
	View() bhwatch.View
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Holder names this process and start in claims.
	Holder   string
	Jobs   *JobStore
	Policies PolicySource
	Engine   Engine
	Pool     *bhforward.Pool
	Dialect  bhforward.Dialect
	Clock    bhclock.Clock
	Logger   bhlog.Logger
	Scope    tally.Scope
	// Address returns the engine's address.
	Address func() string
	// StaleAfter returns the age at which a policy is too old to start items by.
	StaleAfter func() time.Duration
	// Retention returns for how long results stay readable.
	Retention func() time.Duration
}

// Runner runs items at the engine beside it, in the slots that live requests
// leave.
type Runner struct {
	config  RunnerConfig
	metrics runnerMetrics
	beats   *beats
	want    chan struct{}

	mu   sync.Mutex
	runs map[string]*run
	// slots is how many requests the engine runs at once; zero if it takes none.
	slots int
	load  load
	// free is how many more items the engine can take.
	free     int
	pausedAt time.Time
	jobs     []*Job
	looked   time.Duration
	// skew is the store's clock less the runner's.
	skew   time.Duration
	ending sync.WaitGroup
	closed bool
}

// NewRunner returns a runner without claims.
func NewRunner(config RunnerConfig) *Runner {
	return &Runner{
		config:  config,
		metrics: newRunnerMetrics(config.Scope),
		beats:   newBeats(config.Holder, config.Jobs.config.Store, config.Clock, config.Logger),
		want:    make(chan struct{}, 1),
		runs:    make(map[string]*run),
	}
}

// SendHeartbeats keeps the runner's claims alive until ctx is done.
func (r *Runner) SendHeartbeats(ctx context.Context) error { return r.beats.run(ctx) }

// ClaimItems follows the open jobs and claims items until ctx is done.
func (r *Runner) ClaimItems(ctx context.Context) error {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		if err := r.look(ctx); err != nil && ctx.Err() == nil {
			bhlog.Problem(r.config.Logger, "jobs.unread", err, "age", r.config.Clock.Now()-r.looked)
		}
		if !r.claimUntil(ctx, ticker.C) {
			return nil
		}
	}
}

// claimUntil claims items whenever there is room, until the next tick.
func (r *Runner) claimUntil(ctx context.Context, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case <-r.want:
			pause := claimInterval
			if err := r.claim(ctx); err != nil && ctx.Err() == nil {
				bhlog.Problem(r.config.Logger, "claim.failed", err)
				pause = lookInterval // the store is away, and refused calls cost as much
			}
			if !bhtree.Sleep(ctx, pause) {
				return false
			}
		}
	}
}

// look reads the open jobs and stops runs whose claims are gone.
func (r *Runner) look(ctx context.Context) error {
	sent := r.config.Clock.Now()
	jobs, now, err := r.config.Jobs.OpenJobs(ctx)
	if err != nil {
		return err
	}
	if holders := otherHolders(jobs, r.config.Holder); len(holders) > 0 {
		if err := r.beats.observe(ctx, holders); err != nil {
			return err
		}
	}
	open := make(map[string]*Job, len(jobs))
	for _, job := range jobs {
		open[jobName(job.Account, job.ID)] = job
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs, r.looked, r.skew = jobs, sent, now-sent
	for _, run := range r.runs {
		job := open[jobName(run.job.Account, run.job.ID)]
		if run.claimed < sent && (job == nil || mine(job, run.item.ID, r.config.Holder) == nil) {
			run.drop("the claim is gone")
		} else if run.phase != ending && now > run.job.Expires {
			run.expire()
		}
	}
	return nil
}

// otherHolders returns the holders of claims other than the runner itself.
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

// claim claims items of one of the most urgent jobs.
func (r *Runner) claim(ctx context.Context) error {
	free := r.claimable()
	if free == 0 {
		return nil
	}
	job := r.choose()
	if job == nil {
		return nil
	}
	if err := r.beats.ensure(ctx); err != nil {
		return err
	}
	changed, ids, err := r.config.Jobs.Claim(ctx, job, r.config.Holder, min(free, claimBatch), r.lost)
	if err != nil {
		return err
	}
	r.replace(job, changed)
	var failure error
	for _, id := range ids {
		if err := r.take(ctx, changed, id); err != nil {
			failure = err
		}
	}
	return failure
}

// claimable returns how many items may be claimed now.
func (r *Runner) claimable() int {
	instance, ok := r.instance()
	if !ok || instance.Draining || !r.fresh() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return 0
	}
	idle := 0
	for _, run := range r.runs {
		if run.phase == paused {
			idle++
		}
	}
	return max(0, r.free-idle)
}

// choose returns one of the most urgent jobs with items to claim, or nil.
func (r *Runner) choose() *Job {
	view := r.config.Policies.View()
	instance, ok := r.instance()
	if !ok {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock.Now() + r.skew
	var best []*Job
	for _, job := range r.jobs {
		if r.hasClaimable(job) && runsAt(view.Index, job, instance.Service) {
			best = append(best, job)
		}
	}
	if len(best) == 0 {
		return nil
	}
	sortByUrgency(best, now)
	return best[rand.IntN(min(candidates, len(best)))]
}

func (r *Runner) hasClaimable(job *Job) bool {
	if job.Done() {
		return false
	}
	for i := range job.Items {
		state := &job.Items[i]
		if state.Status == Waiting || state.Status == Claimed && r.lostLocked(state.Holder, state.ID) {
			return true
		}
	}
	return false
}

// lost reports whether nobody runs a claimed item: its holder is dead, or is
// this runner, which knows nothing of the claim.
func (r *Runner) lost(holder, item string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lostLocked(holder, item)
}

func (r *Runner) lostLocked(holder, item string) bool {
	if holder == r.config.Holder {
		return r.runs[item] == nil
	}
	return r.beats.dead(holder)
}

// runsAt reports whether the job's route leads to the service. Jobs of a route
// that is gone run nowhere; whoever claims their items gives them up.
func runsAt(index *bhpolicy.Index, job *Job, service string) bool {
	if index == nil {
		return false
	}
	route := index.RouteNamed(job.Route)
	return route == nil || route.Serves(service)
}

// replace puts the newer record of a job into the list.
func (r *Runner) replace(old, changed *Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, job := range r.jobs {
		if job == old {
			if changed == nil {
				changed = &Job{Ended: true}
			}
			r.jobs[i] = changed
		}
	}
}

// take loads a claimed item and starts it.
func (r *Runner) take(ctx context.Context, job *Job, id string) error {
	item, err := r.config.Jobs.LoadItem(ctx, job, id)
	var saved Checkpoint
	if err == nil {
		saved, err = r.config.Jobs.LoadCheckpoint(ctx, job, id)
	}
	if err != nil {
		if failure := r.giveBack(job, ItemRelease{ID: id}); failure != nil {
			bhlog.Problem(r.config.Logger, "item.kept", failure, "item", id, "job", job.ID)
		}
		return errors.Wrapf(err, "loading item %s", id)
	}
	claimed := &run{runner: r, job: job, item: item, saved: saved, claimed: r.config.Clock.Now(), phase: paused}
	bhlog.Event(r.config.Logger, "item.claimed", "item", id, "job", job.ID, "account", job.Account, "version", job.Version,
		"after", saved.LastEvent, "failures", job.item(id).Failures)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = claimed
	if r.free > 0 {
		r.free--
		claimed.start()
	}
	return nil
}

// instance returns the engine's instance, false if it isn't listed.
func (r *Runner) instance() (bhwatch.Instance, bool) {
	address := r.config.Address()
	for _, instances := range r.config.Policies.View().Fleet {
		for _, instance := range instances {
			if instance.Address == address {
				return instance, true
			}
		}
	}
	return bhwatch.Instance{}, false
}

// fresh reports whether the policy and the open jobs were read lately enough to
// start items by.
func (r *Runner) fresh() bool {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return now-r.config.Policies.View().Proof < r.config.StaleAfter() && now-r.looked < r.config.StaleAfter()
}

// Close stops all runs, gives their claims back and waits for that.
func (r *Runner) Close(ctx context.Context) error {
	r.mu.Lock()
	r.closed = true
	for _, run := range r.runs {
		run.release("the runner stops")
	}
	r.mu.Unlock()
	done := make(chan struct{})
	go func() {
		r.ending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return r.beats.remove(ctx)
}
