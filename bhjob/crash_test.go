package bhjob

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// maxRunsOfCrashing is the number of engines that one crashing item may end: three
// before it counts as crashing, and three retries.
const maxRunsOfCrashing = 6

// maxRunsOfCrashingPart is the number of engines that items with one crashing part of
// their prompts may end: five before it counts as crashing, and three retries.
const maxRunsOfCrashingPart = 8

// restartingEngine ends the fixture's engine when it runs the lethal item, and starts
// it again at its address under another ID.
type restartingEngine struct {
	fixture *runnerFixture

	mu      sync.Mutex
	servers []*http.Server
	ends    int
}

func newRestartingEngine(t *testing.T, fixture *runnerFixture, lethal string) *restartingEngine {
	e := &restartingEngine{fixture: fixture, servers: []*http.Server{fixture.engine.server.Config}}
	fixture.engine.set(func(engine *fakeEngine) { engine.lethal, engine.onEnd = lethal, e.end })
	t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, server := range e.servers {
			_ = server.Close()
		}
	})
	return e
}

// end closes the listener and all connections, and starts a new engine soon after.
func (e *restartingEngine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends++
	_ = e.servers[len(e.servers)-1].Close()
	time.AfterFunc(20*time.Millisecond, e.start)
}

func (e *restartingEngine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", e.fixture.engine.server.Listener.Addr().String())
	if err != nil {
		time.AfterFunc(20*time.Millisecond, e.start)
		return
	}
	server := &http.Server{Handler: e.fixture.engine, ReadHeaderTimeout: time.Minute}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(listener) }()
	id := fmt.Sprint("i-", len(e.servers))
	e.fixture.policies.set(func(view *bhwatch.View) {
		restarted := view.Fleet["llm"][0]
		restarted.ID = id
		view.Fleet = map[string][]bhwatch.Instance{"llm": {restarted}}
	})
}

func (e *restartingEngine) endCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ends
}

// TestCrashingItemIsNotRepeatedForever guards against an item that ends each engine
// that runs it and is run again as soon as an engine is back. The job's other items
// complete, and the item isn't given up.
func TestCrashingItemIsNotRepeatedForever(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	submission := sampleJob("j", 3)
	for i := range submission.Items {
		submission.Items[i].Body = []byte(submission.Items[i].ID) // one of them crashes engines, not all
	}
	r := newRunnerFixture(t, store, "a")
	engine := newRestartingEngine(t, r, submission.Items[0].ID)
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	for _, result := range r.waitResults("j", 2) {
		assert.Equal(t, Completed, result.Status)
	}
	time.Sleep(6 * time.Second)
	assert.LessOrEqual(t, engine.endCount(), maxRunsOfCrashing)
	results, err := newTestJobStore(store).Results(t.Context(), "zoo", "j", 0)
	require.NoError(t, err)
	assert.Len(t, results.Results, 2, "the item is still owed")
}

// TestCrashingPartOfItemsIsNotSentForever guards against items with one part in their
// prompts that end each engine that runs them. Items with the same other parts complete,
// and those with the part aren't given up.
func TestCrashingPartOfItemsIsNotSentForever(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	submission := sampleJob("j", 12)
	for i := range submission.Items {
		submission.Items[i].Body = []byte(submission.Items[i].ID)
		parts := "system bad own"
		if i%2 == 1 {
			parts = "system own"
		}
		submission.Items[i].Header = map[string]string{"Parts": parts}
	}
	r := newRunnerFixture(t, store, "a")
	engine := newRestartingEngine(t, r, "")
	r.engine.set(func(e *fakeEngine) { e.lethalPart = "bad" })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	for _, result := range r.waitResults("j", 6) {
		assert.Equal(t, Completed, result.Status)
	}
	time.Sleep(6 * time.Second)
	assert.LessOrEqual(t, engine.endCount(), maxRunsOfCrashingPart)
	results, err := newTestJobStore(store).Results(t.Context(), "zoo", "j", 0)
	require.NoError(t, err)
	assert.Len(t, results.Results, 6, "the items with the part are still owed")
}

// TestCrashingPromptOfItemsIsNotSentForever guards against a prompt that ends each engine
// that runs it, in items of several accounts with different bodies: each of them ended three
// engines before it was held. Items beside them complete, and they aren't given up.
func TestCrashingPromptOfItemsIsNotSentForever(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	engine := newRestartingEngine(t, r, "")
	r.engine.set(func(e *fakeEngine) { e.lethalPrompt = "system bad" })
	jobs := newTestJobStore(store)
	accounts := []string{"zoo", "farm", "park", "aquarium", "reserve"}
	for _, account := range accounts {
		submission := sampleJob("j", 2)
		submission.Account = account
		for i := range submission.Items {
			submission.Items[i].ID = fmt.Sprint(account, i)
			submission.Items[i].Body = []byte(submission.Items[i].ID)
			submission.Items[i].Header = map[string]string{"Parts": []string{"system bad", "system " + account}[i]}
		}
		require.NoError(t, jobs.Submit(t.Context(), submission))
	}
	completed := func(account string) int {
		results, err := jobs.Results(t.Context(), account, "j", 0)
		require.NoError(t, err)
		for _, result := range results.Results {
			assert.Equal(t, Completed, result.Status)
		}
		return len(results.Results)
	}
	require.Eventually(t, func() bool {
		done := 0
		for _, account := range accounts {
			done += completed(account)
		}
		return done == len(accounts)
	}, 15*time.Second, 50*time.Millisecond)
	time.Sleep(6 * time.Second)
	assert.LessOrEqual(t, engine.endCount(), maxRunsOfCrashing)
	for _, account := range accounts {
		assert.Equal(t, 1, completed(account), "the item with the prompt is still owed")
	}
}

// trialCounter counts the trials that ended in a crash.
type trialCounter struct {
	Crashes
	trials atomic.Int64
}

// Lost implements Crashes.
func (c *trialCounter) Lost(ctx context.Context, loss bhevidence.Loss) {
	if loss.Permit != nil {
		c.trials.Add(1)
	}
	c.Crashes.Lost(ctx, loss)
}

// TestItemBesideACrashingOneIsToldApart guards against an item that is held because it runs
// at each engine that a crashing item of the same runner ends, while that one goes on.
func TestItemBesideACrashingOneIsToldApart(t *testing.T) {
	for range 4 {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		submission := sampleJob("j", 2)
		for i := range submission.Items {
			submission.Items[i].ID = rand.Text()
			submission.Items[i].Body = []byte(submission.Items[i].ID)
		}
		r := newRunnerFixture(t, store, "a")
		engine := newRestartingEngine(t, r, submission.Items[0].ID)
		r.engine.set(func(e *fakeEngine) { e.eventInterval = 300 * time.Millisecond })
		losses := &trialCounter{Crashes: r.runner.config.Crashes}
		r.runner.config.Crashes = losses
		require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
		assert.Equal(t, submission.Items[1].ID, r.waitResults("j", 1)[0].ID)
		assert.LessOrEqual(t, int64(engine.endCount()), 3+losses.trials.Load(), "ends but for trials")
	}
}

// TestCrashingItemIsGivenUpInTime guards against an item that is held and never listed,
// although it may be given up, and against one that is sent to an engine then.
func TestCrashingItemIsGivenUpInTime(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	submission := sampleJob("j", 1)
	submission.Retention = 5 * time.Second
	r := newRunnerFixture(t, store, "a")
	engine := newRestartingEngine(t, r, submission.Items[0].ID)
	began := time.Now()
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	results := r.waitResults("j", 1)
	assert.Equal(t, Dead, results[0].Status)
	assert.GreaterOrEqual(t, time.Since(began), submission.Retention)
	ends := engine.endCount()
	assert.LessOrEqual(t, ends, maxRunsOfCrashing)
	time.Sleep(time.Second)
	assert.Equal(t, ends, engine.endCount(), "the item isn't sent any more")
}

// onlyTrials grants each item as a trial.
type onlyTrials struct{ Crashes }

// Admit implements Crashes.
func (onlyTrials) Admit(context.Context, bhcrash.Traits) (*bhevidence.Permit, error) {
	return new(bhevidence.Permit), nil
}

// TestTrialOfAnItemIsNotPaused guards against a trial that is paused for a live request: it has
// reached an engine without an outcome, so that the item is sent once more than is allowed.
func TestTrialOfAnItemIsNotPaused(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.runner.config.Crashes = onlyTrials{r.runner.config.Crashes}
	r.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = 20*time.Millisecond, 30 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
	require.Eventually(t, func() bool { return len(r.engine.requestHeaders()) == 1 }, 30*time.Second, time.Millisecond)
	r.engine.set(func(e *fakeEngine) { e.live, e.waiting = 2, 2 })
	assert.Equal(t, Completed, r.waitResults("j", 1)[0].Status)
	assert.Len(t, r.engine.requestHeaders(), 1, "it ran to its end at once")
}
