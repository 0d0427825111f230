package bhjob

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

var dialect = bhforward.Dialect{
	RequestID: "Request-Id", Deadline: "Deadline", Instance: "Instance", Occupant: "Occupant", Account: "Account",
	NotRun: "Not-Run", Leaving: "Leaving", LastEvent: "Last-Event-Id", KeyHeader: "Authorization",
	Limit:  "Limit",
	Parts:  func(header http.Header) []string { return strings.Fields(header.Get("Parts")) },
	Prompt: func(header http.Header) string { return header.Get("Parts") },
}

// fixedPolicies provides a view that the test sets and that is always current.
type fixedPolicies struct {
	// clock tells when the view is proven; nil stands for bhclock.Boot.
	clock bhclock.Clock

	mu   sync.Mutex
	view bhwatch.View
	// provenAt is when the view was last proven; zero stands for now.
	provenAt time.Duration
}

func (p *fixedPolicies) set(change func(view *bhwatch.View)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.view)
}

// View implements Policies.
func (p *fixedPolicies) View() bhwatch.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.view
	switch {
	case p.provenAt != 0:
		view.ProvenAt = p.provenAt
	case p.clock != nil:
		view.ProvenAt = p.clock.Now()
	default:
		view.ProvenAt = bhclock.Boot{}.Now()
	}
	return view
}

// MarkLeaving implements PolicySource.
func (p *fixedPolicies) MarkLeaving(instance bhwatch.Instance) {
	p.set(func(view *bhwatch.View) {
		fleet := make(map[string][]bhwatch.Instance)
		for service, instances := range view.Fleet {
			for _, listed := range instances {
				listed.Draining = listed.Draining || listed.ID == instance.ID && listed.Born <= instance.Born
				fleet[service] = append(fleet[service], listed)
			}
		}
		view.Fleet = fleet
	})
}

// ObserveOccupant implements PolicySource.
func (p *fixedPolicies) ObserveOccupant(bhwatch.Instance, string, time.Duration) {}

// ObserveStart implements PolicySource.
func (p *fixedPolicies) ObserveStart(string, int64, time.Duration) {}

// runnerFixture is a running Runner with a fake engine and a store in memory.
type runnerFixture struct {
	t        *testing.T
	store    *bhstand.Store
	engine   *fakeEngine
	policies *fixedPolicies
	runner   *Runner
	cancel   context.CancelFunc
	loops    sync.WaitGroup
}

// newRunnerFixture starts a runner. The changes of its configuration are made before.
func newRunnerFixture(t *testing.T, store *bhstand.Store, holder string, changes ...func(config *RunnerConfig)) *runnerFixture {
	r := &runnerFixture{t: t, store: store, engine: newFakeEngine(t), policies: &fixedPolicies{}}
	address := r.engine.server.Listener.Addr().(*net.TCPAddr).String()
	r.policies.view = bhwatch.View{
		Index: bhpolicy.NewIndex(&bhpolicy.Policy{Routes: []bhpolicy.Route{{
			Name: "drafts", Host: "one.example", Prefix: "/drafts/", Kind: bhpolicy.Batch,
			Backends: []bhpolicy.Backend{{Service: "llm", Weight: 1}},
		}}}),
		Fleet: map[string][]bhwatch.Instance{"llm": {{ID: "i-1", Service: "llm", Address: address, Slots: 2}}},
	}
	pool := bhforward.NewPool()
	config := RunnerConfig{
		Holder:     holder,
		Jobs:       newTestJobStore(store),
		Policies:   r.policies,
		Engine:     r.engine,
		Pool:       pool,
		Dialect:    dialect,
		Clock:      bhclock.Boot{},
		Logger:     bhlog.Nop(),
		Scope:      tally.NoopScope,
		Address:    func() string { return address },
		StaleAfter: func() time.Duration { return time.Hour },
	}
	for _, change := range changes {
		change(&config)
	}
	r.runner = NewRunner(config)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	for _, loop := range []func(context.Context) error{
		r.runner.SendHeartbeats, r.runner.ObserveRunners, r.runner.ReadJobs, r.runner.ClaimItems, r.runner.AdjustToLoad, r.runner.SaveCheckpoints,
	} {
		r.loops.Go(func() { _ = loop(ctx) })
	}
	t.Cleanup(func() {
		r.stop()
		pool.Close()
	})
	return r
}

// stop stops the runner's loops and closes the runner, which releases its
// claims.
func (r *runnerFixture) stop() {
	r.cancel()
	r.loops.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = r.runner.Close(ctx)
}

// waitResults waits until the job has at least count results and returns them.
func (r *runnerFixture) waitResults(job string, count int) []Result {
	r.t.Helper()
	var results Results
	require.Eventually(r.t, func() bool {
		var err error
		results, err = newTestJobStore(r.store).Results(r.t.Context(), "zoo", job, 0)
		return err == nil && len(results.Results) >= count
	}, 30*time.Second, 10*time.Millisecond)
	return results.Results
}

// expectedOutput returns the complete text of an item with the number of
// events.
func expectedOutput(item string, events int) string {
	var lines []string
	for i := range events {
		lines = append(lines, fmt.Sprintf("%s-%d", item, i+1))
	}
	return strings.Join(lines, "\n")
}

func TestRunnerCompletesJobs(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	submission := sampleJob("j", 5)
	submission.Items[0].Header = map[string]string{"X-Model": "m", "Authorization": "secret"}
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	for _, result := range r.waitResults("j", 5) {
		assert.Equal(t, Completed, result.Status)
		assert.Equal(t, expectedOutput(result.ID, 5), result.Text)
	}
	for _, header := range r.engine.requestHeaders() {
		assert.Equal(t, "zoo", header.Get(dialect.Account))
		assert.Equal(t, "i-1", header.Get(dialect.Instance))
		assert.Empty(t, header.Get("Authorization"))
	}
}

func TestItemsPauseForLiveRequestsAndResume(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = 20*time.Millisecond, 30 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 2)))
	require.Eventually(t, func() bool { return len(r.engine.requestHeaders()) == 2 }, 30*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond) // some events arrive
	r.engine.set(func(e *fakeEngine) { e.live, e.waiting = 2, 2 })
	require.Eventually(t, func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.running == 0
	}, 30*time.Second, time.Millisecond, "both items free their slots")
	r.engine.set(func(e *fakeEngine) { e.live, e.waiting = 0, 0 })
	for _, result := range r.waitResults("j", 2) {
		assert.Equal(t, expectedOutput(result.ID, 30), result.Text)
	}
	resumed := 0
	for _, header := range r.engine.requestHeaders() {
		if header.Get(dialect.LastEvent) != "" {
			resumed++
		}
	}
	assert.GreaterOrEqual(t, resumed, 2, "items resume after their last event")
}

func TestAnnouncedRequestPausesItemAtOnce(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = 20*time.Millisecond, 100 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 3)))
	require.Eventually(t, func() bool { return len(r.engine.requestHeaders()) == 2 }, 30*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		capacity := r.runner.capacity()
		return capacity.Slots == 2 && capacity.Items == 2 && capacity.Live == 0
	}, 30*time.Second, time.Millisecond)
	r.runner.reserve(bhwire.Reserve{})
	capacity := r.runner.capacity()
	assert.Equal(t, 1, capacity.Items, "an item is paused before the engine's next report")
	assert.Equal(t, 1, capacity.Live)
	for _, result := range r.waitResults("j", 3) {
		assert.Equal(t, expectedOutput(result.ID, 100), result.Text)
	}
}

func TestLeavingEngineGetsNoItems(t *testing.T) {
	for name, leave := range map[string]func(e *fakeEngine){
		"said in the load report": func(e *fakeEngine) { e.reportsLeaving = true },
		"said in an answer":       func(e *fakeEngine) { e.leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			leaving := newRunnerFixture(t, store, "a")
			leaving.engine.set(leave)
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("first", 1)))
			require.Eventually(t, func() bool { return leaving.runner.capacity().Leaving || len(leaving.engine.requestHeaders()) > 0 }, 30*time.Second, time.Millisecond)
			require.Eventually(t, func() bool { return leaving.runner.capacity().Leaving }, 30*time.Second, time.Millisecond,
				"the list says that the engine is ready")
			sent := len(leaving.engine.requestHeaders())
			require.LessOrEqual(t, sent, 1)
			other := newRunnerFixture(t, store, "b")
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("second", 6)))
			for _, result := range other.waitResults("second", 6) {
				assert.Equal(t, Completed, result.Status)
			}
			assert.Len(t, leaving.engine.requestHeaders(), sent)
		})
	}
}

func TestBrokenStreamResumesAfterLastEvent(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.engine.set(func(e *fakeEngine) { e.abortAfter = 3 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
	results := r.waitResults("j", 1)
	assert.Equal(t, expectedOutput("j-0", 5), results[0].Text)
	requests := r.engine.requestHeaders()
	require.Len(t, requests, 2)
	assert.Equal(t, "3", requests[1].Get(dialect.LastEvent))
}

// panickingCounter panics on the first call of Inc.
type panickingCounter struct {
	tally.Counter
	once sync.Once
}

// Inc implements tally.Counter.
func (c *panickingCounter) Inc(int64) { c.once.Do(func() { panic("broken") }) }

func TestItemIsRetriedAfterPanic(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.runner.metrics.sends = &panickingCounter{}
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
	assert.Equal(t, expectedOutput("j-0", 5), r.waitResults("j", 1)[0].Text)
	assert.Len(t, r.engine.requestHeaders(), 2)
}

func TestFailingItemsAreGivenUp(t *testing.T) {
	for status, sends := range map[int]int{http.StatusInternalServerError: 3, http.StatusUnprocessableEntity: 1} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			r.engine.set(func(e *fakeEngine) { e.status = status })
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
			results := r.waitResults("j", 1)
			assert.Equal(t, Dead, results[0].Status)
			assert.Len(t, r.engine.requestHeaders(), sends)
		})
	}
}

func TestExpiredItemsAreGivenUp(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.engine.set(func(e *fakeEngine) { e.eventInterval = time.Hour })
	submission := sampleJob("j", 1)
	submission.Retention = 1500 * time.Millisecond
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	assert.Equal(t, Dead, r.waitResults("j", 1)[0].Status)
}

func TestItemResumesElsewhereAfterRunnerStops(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	a := newRunnerFixture(t, store, "a")
	a.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = 30*time.Millisecond, 40 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
	require.Eventually(t, func() bool { return len(a.engine.requestHeaders()) == 1 }, 30*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	a.stop()
	b := newRunnerFixture(t, store, "b")
	b.engine.set(func(e *fakeEngine) { e.eventCount = 40 })
	assert.Equal(t, expectedOutput("j-0", 40), b.waitResults("j", 1)[0].Text)
	assert.NotEmpty(t, b.engine.requestHeaders()[0].Get(dialect.LastEvent))
}

func TestDrainingEngineGetsNoItems(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	a := newRunnerFixture(t, store, "a")
	a.policies.set(func(view *bhwatch.View) {
		fleet := view.Fleet["llm"][0]
		fleet.Draining = true
		view.Fleet = map[string][]bhwatch.Instance{"llm": {fleet}}
	})
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 3)))
	b := newRunnerFixture(t, store, "b")
	b.waitResults("j", 3)
	assert.Empty(t, a.engine.requestHeaders())
}

func TestEndedJobStopsItsItems(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = 50*time.Millisecond, 1000 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 2)))
	require.Eventually(t, func() bool { return len(r.engine.requestHeaders()) == 2 }, 30*time.Second, time.Millisecond)
	require.NoError(t, newTestJobStore(store).End(t.Context(), "zoo", "j"))
	require.Eventually(t, func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.running == 0
	}, 30*time.Second, time.Millisecond)
}

func TestItemOfKilledRunnerResumesFromCheckpoint(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	a := newRunnerFixture(t, store, "host.1")
	a.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = 50*time.Millisecond, 1000 })
	submission := sampleJob("j", 1)
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	var saved Checkpoint
	require.Eventually(t, func() bool {
		var err error
		saved, err = newTestJobStore(store).LoadCheckpoint(t.Context(), &Job{Account: "zoo", ID: "j", Items: []ItemState{{ID: "j-0", SavedBy: "host.1"}}}, "j-0")
		return err == nil && saved.LastEvent != ""
	}, 30*time.Second, 10*time.Millisecond)
	a.cancel() // without Close, so that no claim is released
	a.loops.Wait()
	b := newRunnerFixture(t, store, "host.2")
	b.engine.set(func(e *fakeEngine) { e.eventCount = 1000 })
	assert.Equal(t, expectedOutput("j-0", 1000), b.waitResults("j", 1)[0].Text)
	resumedEvent, err := strconv.Atoi(b.engine.requestHeaders()[0].Get(dialect.LastEvent))
	require.NoError(t, err)
	savedEvent, err := strconv.Atoi(saved.LastEvent)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, resumedEvent, savedEvent)
}

func TestDeadRunnersItemsAreTakenOver(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 2)))
	claimAll(t, newTestJobStore(store), "j", "dead")
	b := newRunnerFixture(t, store, "b")
	b.waitResults("j", 2)
}

func TestOwnClaimsWithoutRunAreReclaimed(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 2)))
	claimAll(t, newTestJobStore(store), "j", "me") // a claim whose reply the runner never received
	r := newRunnerFixture(t, store, "me")
	r.waitResults("j", 2)
}

// Guards against an item that is given up, or never placed again, after several
// engines died while they ran it.
func TestItemUnderWhichEnginesDiedIsStillOwed(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	runners := []*runnerFixture{newRunnerFixture(t, store, "a"), newRunnerFixture(t, store, "b")}
	for _, r := range runners {
		r.engine.set(func(e *fakeEngine) { e.crashes = 3 * maxInterruptions })
	}
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 2)))
	for _, result := range runners[0].waitResults("j", 2) {
		assert.Equal(t, Completed, result.Status)
		assert.Equal(t, expectedOutput(result.ID, 5), result.Text)
	}
	sends := len(runners[0].engine.requestHeaders()) + len(runners[1].engine.requestHeaders())
	assert.Greater(t, sends, 2*maxInterruptions, "engines died more often than one claim lasts")
}
