package bhjob

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// newIdleRunner returns a runner without loops whose engine is listed as i-1 with two slots.
// Tests call its steps themselves, in paused time.
func newIdleRunner(t *testing.T, store bhplatform.Store, objects bhplatform.Objects, holder string) (*Runner, *fixedPolicies) {
	t.Helper()
	clock := bhclock.NewRuntime()
	policies := &fixedPolicies{clock: clock, view: bhwatch.View{
		Index: bhpolicy.NewIndex(&bhpolicy.Policy{Routes: []bhpolicy.Route{{
			Name: "drafts", Host: "one.example", Prefix: "/drafts/", Kind: bhpolicy.Batch, Backends: []bhpolicy.Backend{{Service: "llm", Weight: 1}},
		}}}),
		Fleet: map[string][]bhwatch.Instance{"llm": {{ID: "i-1", Service: "llm", Address: "192.0.2.1:80", Slots: 2}}},
	}}
	pool := bhforward.NewPool()
	runner := NewRunner(RunnerConfig{
		Holder: holder, Jobs: NewJobStore(JobStoreConfig{Store: store, Objects: objects, Logger: bhlog.Nop()}), Policies: policies, Pool: pool,
		Dialect: dialect, Clock: clock, Logger: bhlog.Nop(), Scope: tally.NoopScope,
		Address: func() string { return "192.0.2.1:80" }, StaleAfter: func() time.Duration { return time.Hour },
	})
	t.Cleanup(func() {
		_ = runner.Close(context.WithoutCancel(t.Context()))
		_ = pool.Close()
	})
	return runner, policies
}

// claimIdle has the runner claim an item that it doesn't start, as all slots are taken
// meanwhile.
func claimIdle(t *testing.T, runner *Runner, job, item string) {
	t.Helper()
	require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
	changed, ids, err := runner.claim(t.Context(), 1)
	require.NoError(t, err)
	require.Equal(t, []string{item}, ids)
	require.Equal(t, job, changed.ID)
	require.NoError(t, runner.startClaimedItem(t.Context(), changed, item))
}

// stateOf returns the state of an item in the store.
func stateOf(t *testing.T, store *bhstand.Store, job, item string) ItemState {
	t.Helper()
	open, err := newTestJobStore(store).OpenJob(t.Context(), "zoo", job)
	require.NoError(t, err)
	require.NotNil(t, open)
	return *open.item(item)
}

// TestClaimThatWasNeverStartedIsReleasedInTime guards against an item that a runner claimed,
// couldn't start, and kept when its engine was lost for good.
func TestClaimThatWasNeverStartedIsReleasedInTime(t *testing.T) {
	const reported = 100 * time.Millisecond
	for _, c := range []struct {
		name   string
		lose   func(view *bhwatch.View)
		report LoadReport
		reads  bool
	}{
		{"the engine is silent and listed", func(*bhwatch.View) {}, LoadReport{}, false},
		{"the engine is gone from the list", func(view *bhwatch.View) { view.Fleet = nil }, LoadReport{}, false},
		{"live requests keep all slots", func(*bhwatch.View) {}, LoadReport{Running: 2, Waiting: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := bhstand.NewStore(bhstand.StoreConfig{})
				runner, policies := newIdleRunner(t, store, store, "a.1")
				require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
				claimIdle(t, runner, "j", "j-0")
				policies.set(c.lose)
				for range 20 {
					runner.applyReport(c.report, c.reads, runner.config.Clock.Now())
					time.Sleep(reported)
				}
				assert.Equal(t, Claimed, stateOf(t, store, "j", "j-0").Status, "the engine may be back soon")
				for range 10 {
					runner.applyReport(c.report, c.reads, runner.config.Clock.Now())
					time.Sleep(reported)
				}
				synctest.Wait()
				assert.Equal(t, Waiting, stateOf(t, store, "j", "j-0").Status)
			})
		})
	}
}

// TestClaimWithoutRunIsReturnedIfTheEngineTakesNothing guards against an item whose claim was
// made although the store's answers were lost, so that its runner has no run of it, and whose
// engine takes nothing from then on.
func TestClaimWithoutRunIsReturnedIfTheEngineTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		runner, policies := newIdleRunner(t, store, store, "a.1")
		require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 2)))
		claimAll(t, newTestJobStore(store), "j", "a.1")
		policies.set(func(view *bhwatch.View) { view.Fleet = nil })
		for range 3 * partitions {
			for _, part := range allPartitions() {
				require.NoError(t, runner.readJobs(t.Context(), part))
			}
			time.Sleep(partitions * jobsReadInterval)
		}
		synctest.Wait()
		for _, item := range []string{"j-0", "j-1"} {
			assert.Equal(t, Waiting, stateOf(t, store, "j", item).Status)
			assert.Zero(t, stateOf(t, store, "j", item).Failures)
		}
	})
}

// TestClaimWithRunIsNotReturned guards against a claim that its runner returns beside the run
// that it has of the item.
func TestClaimWithRunIsNotReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		runner, _ := newIdleRunner(t, store, store, "a.1")
		require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
		claimIdle(t, runner, "j", "j-0")
		version := stateVersion(t, store, "j")
		for range 5 {
			require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
			time.Sleep(partitions * jobsReadInterval)
		}
		assert.Equal(t, version, stateVersion(t, store, "j"), "nothing was written")
	})
}

func stateVersion(t *testing.T, store *bhstand.Store, job string) bhplatform.Version {
	t.Helper()
	open, err := newTestJobStore(store).OpenJob(t.Context(), "zoo", job)
	require.NoError(t, err)
	return open.Version
}

// TestItemThatItsEngineTakesNotIsReleasedInTime guards against an item that stays with a
// runner whose engine reports free slots and refuses each request.
func TestItemThatItsEngineTakesNotIsReleasedInTime(t *testing.T) {
	for _, outcome := range []error{errRefused, errSuspectRuns, errRouteUnknown, &limitedError{wait: 100 * time.Millisecond}} {
		t.Run(outcome.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := bhstand.NewStore(bhstand.StoreConfig{})
				runner, _ := newIdleRunner(t, store, store, "a.1")
				require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
				claimIdle(t, runner, "j", "j-0")
				run := onlyRun(t, runner)
				for end := time.Now().Add(2 * maxPause); run.phase == paused && time.Now().Before(end); time.Sleep(refusedRetryDelay) {
					run.handle(t.Context(), outcome)
					runner.applyReport(LoadReport{}, false, runner.config.Clock.Now())
				}
				synctest.Wait()
				assert.Equal(t, Waiting, stateOf(t, store, "j", "j-0").Status)
			})
		})
	}
}

// handle is handleOutcome for callers that don't hold the runner's mutex.
func (ir *itemRun) handle(ctx context.Context, err error) {
	ir.runner.mu.Lock()
	defer ir.runner.mu.Unlock()
	ir.handleOutcome(ctx, err)
}

// TestClaimThatIsBeingLoadedIsKept guards against a claim that is returned as one without a run while
// its item is still being loaded, so that the item runs at two engines.
func TestClaimThatIsBeingLoadedIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
		runner, _ := newIdleRunner(t, store, store, "a")
		require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
		changed, ids, err := runner.claim(t.Context(), 1)
		require.NoError(t, err)
		require.Equal(t, []string{"j-0"}, ids)
		for range 5 {
			require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
			synctest.Wait()
			require.Equal(t, "a", stateOf(t, store, "j", "j-0").Holder)
		}
		require.NoError(t, runner.startClaimedItem(t.Context(), changed, "j-0"))
		runner.setClaiming("")
		require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
		require.Equal(t, "a", stateOf(t, store, "j", "j-0").Holder)
	})
}
