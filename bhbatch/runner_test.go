package bhbatch

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// fakeEngine answers an item with its custom_id, in pieces with a delay before
// each.
type fakeEngine struct {
	mu         sync.Mutex
	pieces     int
	pieceDelay time.Duration
	// itemErrors holds the codes with which items fail, by custom_id. An item
	// with UpstreamLost crashes the engine.
	itemErrors map[string]bhcode.Code
	active     map[int]context.CancelFunc
	lastRunID  int
	started    map[string]int
	starts     []time.Time
	crashes    int
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		pieces: 10, pieceDelay: 100 * time.Millisecond, itemErrors: map[string]bhcode.Code{},
		active: map[int]context.CancelFunc{}, started: map[string]int{},
	}
}

func (e *fakeEngine) Run(ctx context.Context, item Item, resume ResumePoint, emit func(Piece)) (Result, error) {
	engineCtx, id := e.beginRun(item)
	defer e.endRun(id)
	for i := resume.Tokens; i < e.pieces; i++ {
		select {
		case <-ctx.Done():
			return Result{}, bhcode.New(bhcode.Cancelled, "")
		case <-engineCtx.Done():
			return Result{}, bhcode.New(bhcode.UpstreamLost, "engine crashed")
		case <-time.After(e.pieceDelay):
		}
		if code, ok := e.itemErrors[item.CustomID]; ok && i == e.pieces/2 {
			if code != bhcode.UpstreamLost {
				return Result{}, bhcode.New(code, "poison")
			}
			e.crash()
			return Result{}, bhcode.New(bhcode.UpstreamLost, "engine crashed")
		}
		emit(Piece{Text: "x", Tokens: 1})
	}
	body, err := json.Marshal(map[string]string{"answer": item.CustomID, "run": fmt.Sprintf("%p-%d", e, id)})
	return Result{Body: body, Tokens: e.pieces}, err
}

func (e *fakeEngine) beginRun(item Item) (context.Context, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e.lastRunID++
	e.active[e.lastRunID] = cancel
	e.started[item.CustomID]++
	e.starts = append(e.starts, time.Now())
	return ctx, e.lastRunID
}

func (e *fakeEngine) endRun(id int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel, ok := e.active[id]; ok {
		cancel()
	}
	delete(e.active, id)
}

func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	for _, cancel := range e.active {
		cancel()
	}
}

// fakeGate grants a fixed number of slots and preempts them on demand.
type fakeGate struct {
	engine  Engine
	slots   chan struct{}
	mu      sync.Mutex
	preempt chan struct{}
	// reopened is closed when a preemption ends; nil while there is none.
	reopened chan struct{}
}

func newFakeGate(slots int) *fakeGate {
	return &fakeGate{slots: make(chan struct{}, slots), preempt: make(chan struct{})}
}

func (g *fakeGate) Acquire(ctx context.Context) (Slot, error) {
	for {
		select {
		case g.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		g.mu.Lock()
		reopened, preempt := g.reopened, g.preempt
		g.mu.Unlock()
		if reopened == nil {
			return &fakeSlot{gate: g, preempted: preempt}, nil
		}
		<-g.slots
		select {
		case <-reopened:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// preemptAll preempts all slots. No slot is granted until the returned function
// is called.
func (g *fakeGate) preemptAll() func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.preempt)
	g.preempt = make(chan struct{})
	g.reopened = make(chan struct{})
	reopened := g.reopened
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.reopened = nil
		close(reopened)
	}
}

type fakeSlot struct {
	gate      *fakeGate
	preempted chan struct{}
}

func (s *fakeSlot) Engine() Engine             { return s.gate.engine }
func (s *fakeSlot) Preempted() <-chan struct{} { return s.preempted }
func (s *fakeSlot) Release()                   { <-s.gate.slots }

// startNewRunner starts a runner. The returned function stops it.
func startNewRunner(store *Store, engine Engine, gate *fakeGate, name string) (*Runner, func()) {
	gate.engine = engine
	runner := NewRunner(RunnerConfig{Store: store, Gate: gate, Name: name})
	return runner, startRunner(runner)
}

func startRunner(runner *Runner) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = runner.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// awaitEnd waits up to timeout until the job has ended.
func awaitEnd(t *testing.T, store *Store, id string, timeout time.Duration) Status {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		status, err := store.Get(context.Background(), testAccount, id)
		if err == nil && status.Job.State != Running {
			return status
		}
		time.Sleep(time.Second)
	}
	require.Fail(t, "the job has not ended")
	return Status{}
}

// readResults returns the results by custom_id and requires each custom_id only
// once.
func readResults(t *testing.T, store *Store, id string) map[string]ResultLine {
	t.Helper()
	body, err := store.Results(context.Background(), testAccount, id, SelectAll)
	require.NoError(t, err)
	defer body.Close()
	lines := map[string]ResultLine{}
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		var line ResultLine
		require.NoError(t, json.Unmarshal(scanner.Bytes(), &line))
		assert.NotContains(t, lines, line.CustomID)
		lines[line.CustomID] = line
	}
	require.NoError(t, scanner.Err())
	return lines
}

// requireAnswers requires the right answer for each item, or the error code
// that failed holds for it.
func requireAnswers(t *testing.T, lines map[string]ResultLine, items int, failed map[string]string) {
	t.Helper()
	require.Len(t, lines, items)
	for i := range items {
		id := fmt.Sprintf("item-%d", i)
		line := lines[id]
		if code, ok := failed[id]; ok {
			require.NotNil(t, line.Error, id)
			assert.Equal(t, code, line.Error.Code)
			continue
		}
		require.NotNil(t, line.Response, id)
		assert.Contains(t, string(line.Response.Body), fmt.Sprintf(`{"answer":%q`, id))
	}
}

func TestRunnerCompletesEachItemOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 10)
		job := submitBatch(t, store, 95, "a")
		engine := newFakeEngine()
		_, stop := startNewRunner(store, engine, newFakeGate(8), "s1")
		status := awaitEnd(t, store, job.ID, time.Hour)
		stop()
		assert.Equal(t, Completed, status.Job.State)
		assert.Equal(t, Counts{Completed: 95, Tokens: 950}, status.Counts)
		requireAnswers(t, readResults(t, store, job.ID), 95, nil)
		assert.Len(t, engine.starts, 95)
	})
}

func TestBadItemsFailWithTheirOwnErrorAndOthersComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 20)
		job := submitBatch(t, store, 40, "a")
		engine := newFakeEngine()
		engine.itemErrors["item-3"] = bhcode.BadRequest
		engine.itemErrors["item-7"] = bhcode.UpstreamLost
		engine.itemErrors["item-11"] = bhcode.UpstreamFailed
		_, stop := startNewRunner(store, engine, newFakeGate(8), "s1")
		status := awaitEnd(t, store, job.ID, time.Hour)
		stop()
		assert.Equal(t, 37, status.Counts.Completed)
		assert.Equal(t, 3, status.Counts.Failed)
		requireAnswers(t, readResults(t, store, job.ID), 40, map[string]string{
			"item-3": "bad_request (1001)", "item-7": "item_crashed (6005)", "item-11": "upstream_failed (2005)",
		})
		assert.Equal(t, 1, engine.started["item-3"])
		assert.Equal(t, MaxCrashes+1, engine.crashes)
		assert.Equal(t, MaxTries, engine.started["item-11"])
		body, err := store.Results(context.Background(), testAccount, job.ID, SelectFailed)
		require.NoError(t, err)
		data, err := io.ReadAll(body)
		require.NoError(t, err)
		assert.Contains(t, string(data), "item_crashed")
		assert.NotContains(t, string(data), "answer")
	})
}

// Guards against sound items that are given up because engines died under them in
// bursts that had nothing to do with them.
func TestItemsUnderWhichEnginesDiedAreStillOwed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 20)
		job := submitBatch(t, store, 3, "a")
		engine := newFakeEngine()
		_, stop := startNewRunner(store, engine, newFakeGate(8), "s1")
		for range 3 { // bursts of two seconds, six seconds apart
			for range 5 {
				time.Sleep(400 * time.Millisecond)
				engine.crash()
			}
			time.Sleep(4 * time.Second)
		}
		status := awaitEnd(t, store, job.ID, time.Hour)
		stop()
		assert.Equal(t, 3, status.Counts.Completed)
		requireAnswers(t, readResults(t, store, job.ID), 3, nil)
	})
}

func TestRefusingEngineFailsNoItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 5)
		job := submitBatch(t, store, 400, "a")
		refusing := newFakeEngine()
		for i := range 400 {
			refusing.itemErrors[fmt.Sprintf("item-%d", i)] = bhcode.Overloaded
		}
		runner, stop := startNewRunner(store, refusing, newFakeGate(8), "s1")
		for range 600 {
			time.Sleep(time.Second)
			require.LessOrEqual(t, runner.Totals().HeldChunks, DefaultMaxChunks)
		}
		_, stopOther := startNewRunner(store, newFakeEngine(), newFakeGate(8), "s2")
		status := awaitEnd(t, store, job.ID, time.Hour)
		stop()
		stopOther()
		assert.Equal(t, 400, status.Counts.Completed)
	})
}

func TestCancelStopsItemsWithinDelayAndKeepsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 60)
		job := submitBatch(t, store, 500, "a")
		engine := newFakeEngine()
		_, stop := startNewRunner(store, engine, newFakeGate(4), "s1")
		defer stop()
		time.Sleep(35 * time.Second)
		status, err := store.Cancel(context.Background(), testAccount, job.ID)
		require.NoError(t, err)
		acknowledged := time.Now()
		time.Sleep(time.Minute)
		engine.mu.Lock()
		assert.Empty(t, engine.active, "running items were stopped")
		for _, started := range engine.starts {
			assert.LessOrEqual(t, started.Sub(acknowledged), CancelDelay)
		}
		engine.mu.Unlock()
		after, err := store.Get(context.Background(), testAccount, job.ID)
		require.NoError(t, err)
		assert.Equal(t, Cancelled, after.Job.State)
		assert.Equal(t, status.Counts, after.Counts, "nothing completes after the acknowledgement")
		assert.Greater(t, after.Counts.Completed, 0)
		assert.Equal(t, 500, after.Counts.Completed+after.Counts.Failed+after.Remaining())
		assert.Len(t, readResults(t, store, job.ID), after.Counts.Completed)
	})
}

func TestPreemptedItemsResumeWithoutRegeneratingTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 10)
		job := submitBatch(t, store, 100, "a")
		gate := newFakeGate(4)
		engine := newFakeEngine()
		runner, stop := startNewRunner(store, engine, gate, "s1")
		for range 20 {
			time.Sleep(1030 * time.Millisecond)
			end := gate.preemptAll()
			time.Sleep(50 * time.Millisecond)
			engine.mu.Lock()
			assert.Empty(t, engine.active)
			engine.mu.Unlock()
			end()
		}
		awaitEnd(t, store, job.ID, time.Hour)
		stop()
		totals := runner.Totals()
		assert.Greater(t, totals.Preempted, 20)
		assert.Equal(t, totals.Tokens, totals.Generated, "no token is generated twice")
		requireAnswers(t, readResults(t, store, job.ID), 100, nil)
	})
}
