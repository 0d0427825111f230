package bhjob

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// losingTime is how long the store loses replies.
const losingTime = 10 * time.Second

// failingFleet is a model of runners whose engines fail some of the items, over a store that
// loses some of its replies.
type failingFleet struct {
	*bhstand.Store
	ends time.Time
	// failing is the share of the items that engines fail, and losing that of the writes
	// whose replies are lost.
	failing, losing float64

	mu     sync.Mutex
	random *rand.Rand
	// failed counts the failures that engines answered, by item.
	failed map[string]int
}

func (f *failingFleet) draw(share float64) bool { return f.draws() < share }

func (f *failingFleet) draws() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// Apply implements bhplatform.Store.
func (f *failingFleet) Apply(ctx context.Context, transaction bhplatform.Transaction) (bhplatform.Receipt, error) {
	receipt, err := f.Store.Apply(ctx, transaction)
	if err == nil && time.Now().Before(f.ends) && f.draw(f.losing) {
		time.Sleep(replyTimeout)
		return bhplatform.Receipt{}, bhcode.New(bhcode.PlatformUnknown, "no reply within %s", replyTimeout)
	}
	return receipt, err
}

// stoppingRunner is the store of a runner that stands still now and then, longer than others
// wait for its heartbeats. Some of its writes are made seconds after their replies were given up.
type stoppingRunner struct {
	*failingFleet
	stops, late float64
	writes      sync.WaitGroup

	mu    sync.Mutex
	until time.Time
}

// stand waits until the runner goes on, and has it stand still if that is drawn.
func (s *stoppingRunner) stand() {
	stops := time.Now().Before(s.ends) && s.draw(s.stops)
	s.mu.Lock()
	if stops && time.Now().After(s.until) {
		s.until = time.Now().Add(2 * heartbeatTimeout)
	}
	wait := time.Until(s.until)
	s.mu.Unlock()
	time.Sleep(wait)
}

// Scan implements bhplatform.Store.
func (s *stoppingRunner) Scan(ctx context.Context, scan bhplatform.Range) (bhplatform.Page, error) {
	s.stand()
	page, err := s.failingFleet.Scan(ctx, scan)
	s.stand()
	return page, err
}

// Apply implements bhplatform.Store.
func (s *stoppingRunner) Apply(ctx context.Context, transaction bhplatform.Transaction) (bhplatform.Receipt, error) {
	s.stand()
	if !time.Now().Before(s.ends) || !s.draw(s.late) {
		return s.failingFleet.Apply(ctx, transaction)
	}
	delay := time.Duration(1+5*s.draws()) * time.Second
	s.writes.Go(func() {
		time.Sleep(delay)
		_, _ = s.Store.Apply(context.WithoutCancel(ctx), transaction)
	})
	time.Sleep(replyTimeout)
	return bhplatform.Receipt{}, bhcode.New(bhcode.PlatformUnknown, "no reply within %s", replyTimeout)
}

// run has the runner claim items until ctx is done, and answers them for its engine.
func (f *failingFleet) run(ctx context.Context, runner *Runner) {
	for ctx.Err() == nil {
		_ = runner.readJobs(ctx, partition("zoo"))
		for range int(jobsReadInterval / claimInterval) {
			time.Sleep(claimInterval)
			changed, ids, err := runner.claim(ctx, maxItemsPerClaim)
			if err != nil {
				break
			}
			for _, id := range ids {
				if err := runner.startClaimedItem(ctx, changed, id); err == nil {
					f.answer(runner, changed, id)
				}
			}
		}
	}
}

// answer ends the runner's run of the item as its engine answers it.
func (f *failingFleet) answer(runner *Runner, job *Job, item string) {
	fails := f.draw(f.failing)
	if fails {
		f.mu.Lock()
		f.failed[item]++
		f.mu.Unlock()
	}
	time.Sleep(claimInterval)
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for _, run := range runner.runs {
		switch {
		case run.job.ID != job.ID || run.item.ID != item || run.phase != paused:
		case fails:
			run.handleOutcome(context.Background(), errFailed)
		default:
			run.handleOutcome(context.Background(), nil)
		}
	}
}

// TestNoMoreFailuresCountThanEnginesAnswered guards against items that are given up before
// engines have failed all of their attempts, whatever replies of the store are lost: records of
// a fleet showed items that were claimed with more failures than attempts.
func TestNoMoreFailuresCountThanEnginesAnswered(t *testing.T) {
	shares := [][2]float64{{0.4, 0.35}, {0.9, 0.9}}
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			share := shares[seed%2]
			fleet := newFailingFleet(seed, share[0], share[1])
			fleet.runJob(t, seed, func() bhplatform.Store { return fleet })
		})
	}
}

// TestNoMoreFailuresCountIfRunnersStandStill guards against items that are given up early by a
// runner that goes on after another one has taken its claims, or by a write that the store makes
// seconds after the runner gave its reply up.
func TestNoMoreFailuresCountIfRunnersStandStill(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFailingFleet(seed, 0.6, 0.2)
			var writes []*sync.WaitGroup
			fleet.runJob(t, seed, func() bhplatform.Store {
				store := &stoppingRunner{failingFleet: fleet, stops: 0.05, late: 0.2}
				writes = append(writes, &store.writes)
				return store
			})
			for _, late := range writes {
				late.Wait()
			}
		})
	}
}

func newFailingFleet(seed uint64, failing, losing float64) *failingFleet {
	return &failingFleet{
		failing: failing, losing: losing,
		Store: bhstand.NewStore(bhstand.StoreConfig{Latency: 4 * time.Millisecond}), ends: time.Now().Add(losingTime),
		random: rand.New(rand.NewPCG(seed, 1)), failed: make(map[string]int),
	}
}

// runJob has two runners run a job, each with a store of its own, and checks its record.
func (f *failingFleet) runJob(t *testing.T, seed uint64, newStore func() bhplatform.Store) {
	const items = 12
	require.NoError(t, newTestJobStore(f.Store).Submit(t.Context(), sampleJob("j", items)))
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i := range 2 {
		runner, _ := newIdleRunner(t, newStore(), f.Store, fmt.Sprintf("host-%d.1", i))
		group.Go(func() { _ = runner.SendHeartbeats(ctx) })
		group.Go(func() { f.run(ctx, runner) })
	}
	time.Sleep(3 * losingTime)
	cancel()
	group.Wait()
	job, err := newTestJobStore(f.Store).find(t.Context(), "zoo", "j")
	require.NoError(t, err)
	for _, state := range job.Items {
		assert.LessOrEqual(t, state.Failures, f.failed[state.ID], "seed %d, item %s", seed, state.ID)
		if state.Status == Dead {
			assert.GreaterOrEqual(t, f.failed[state.ID], job.Attempts, "seed %d, item %s was given up", seed, state.ID)
		}
		assert.False(t, state.Unfinished(), "seed %d, item %s", seed, state.ID)
	}
}
