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

// fakeEngine answers item n with "answer n" after a time, in pieces.
type fakeEngine struct {
	mu      sync.Mutex
	pieces  int
	piece   time.Duration
	poison  map[string]bhcode.Code
	active  map[int]context.CancelFunc
	next    int
	started map[string]int
	starts  []time.Time
	crashes int
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		pieces: 10, piece: 100 * time.Millisecond, poison: map[string]bhcode.Code{},
		active: map[int]context.CancelFunc{}, started: map[string]int{},
	}
}

func (e *fakeEngine) Run(ctx context.Context, item Item, resume Resume, emit func(string, int)) (Result, error) {
	engineCtx, id := e.enter(item)
	defer e.leave(id)
	for i := resume.Tokens; i < e.pieces; i++ {
		select {
		case <-ctx.Done():
			return Result{}, bhcode.New(bhcode.Cancelled, "")
		case <-engineCtx.Done():
			return Result{}, bhcode.New(bhcode.UpstreamLost, "engine crashed")
		case <-time.After(e.piece):
		}
		if code, ok := e.poison[item.CustomID]; ok && i == e.pieces/2 {
			if code != bhcode.UpstreamLost {
				return Result{}, bhcode.New(code, "poison")
			}
			e.crash()
			return Result{}, bhcode.New(bhcode.UpstreamLost, "engine crashed")
		}
		emit("x", 1)
	}
	body, err := json.Marshal(map[string]string{"answer": item.CustomID, "run": fmt.Sprintf("%p-%d", e, id)})
	return Result{Body: body, Tokens: e.pieces}, err
}

func (e *fakeEngine) enter(item Item) (context.Context, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e.next++
	e.active[e.next] = cancel
	e.started[item.CustomID]++
	e.starts = append(e.starts, time.Now())
	return ctx, e.next
}

func (e *fakeEngine) leave(id int) {
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

// fakeGate gives a fixed number of places and preempts them on demand.
type fakeGate struct {
	engine  Engine
	places  chan struct{}
	mu      sync.Mutex
	preempt chan struct{}
	closed  chan struct{}
}

func newFakeGate(places int) *fakeGate {
	return &fakeGate{places: make(chan struct{}, places), preempt: make(chan struct{})}
}

func (g *fakeGate) Acquire(ctx context.Context) (Place, error) {
	for {
		select {
		case g.places <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		g.mu.Lock()
		closed, preempt := g.closed, g.preempt
		g.mu.Unlock()
		if closed == nil {
			return &fakePlace{gate: g, preempted: preempt}, nil
		}
		<-g.places
		select {
		case <-closed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// burst preempts all places; the function returned ends the burst.
func (g *fakeGate) burst() func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.preempt)
	g.preempt = make(chan struct{})
	g.closed = make(chan struct{})
	closed := g.closed
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.closed = nil
		close(closed)
	}
}

type fakePlace struct {
	gate      *fakeGate
	preempted chan struct{}
}

func (p *fakePlace) Engine() Engine             { return p.gate.engine }
func (p *fakePlace) Preempted() <-chan struct{} { return p.preempted }
func (p *fakePlace) Release()                   { <-p.gate.places }

// start runs a runner until the function returned is called.
func start(store *Store, engine Engine, gate *fakeGate, name string) (*Runner, func()) {
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

// await waits until the job has ended.
func await(t *testing.T, store *Store, id string, limit time.Duration) Status {
	t.Helper()
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		status, err := store.Get(context.Background(), account, id)
		if err == nil && status.Job.State != Running {
			return status
		}
		time.Sleep(time.Second)
	}
	require.Fail(t, "the job has not ended")
	return Status{}
}

// results reads the results by custom_id and requires each only once.
func results(t *testing.T, store *Store, id string) map[string]Line {
	t.Helper()
	body, err := store.Results(context.Background(), account, id, SelectAll)
	require.NoError(t, err)
	defer body.Close()
	lines := map[string]Line{}
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		var line Line
		require.NoError(t, json.Unmarshal(scanner.Bytes(), &line))
		assert.NotContains(t, lines, line.CustomID)
		lines[line.CustomID] = line
	}
	require.NoError(t, scanner.Err())
	return lines
}

// requireAnswers requires the right answer to each item but the failed ones.
func requireAnswers(t *testing.T, lines map[string]Line, items int, failed map[string]string) {
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
		job := submit(t, store, 95, "a")
		engine := newFakeEngine()
		_, stop := start(store, engine, newFakeGate(8), "s1")
		status := await(t, store, job.ID, time.Hour)
		stop()
		assert.Equal(t, Completed, status.Job.State)
		assert.Equal(t, Counts{Completed: 95, Tokens: 950}, status.Counts)
		requireAnswers(t, results(t, store, job.ID), 95, nil)
		assert.Len(t, engine.starts, 95)
	})
}

func TestBadItemsEndAloneWithTheirOwnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 20)
		job := submit(t, store, 40, "a")
		engine := newFakeEngine()
		engine.poison["item-3"] = bhcode.BadRequest
		engine.poison["item-7"] = bhcode.UpstreamLost
		engine.poison["item-11"] = bhcode.UpstreamFailed
		_, stop := start(store, engine, newFakeGate(8), "s1")
		status := await(t, store, job.ID, time.Hour)
		stop()
		assert.Equal(t, 37, status.Counts.Completed)
		assert.Equal(t, 3, status.Counts.Failed)
		requireAnswers(t, results(t, store, job.ID), 40, map[string]string{
			"item-3": "bad_request (1001)", "item-7": "item_crashed (6005)", "item-11": "upstream_failed (2005)",
		})
		assert.Equal(t, 1, engine.started["item-3"])
		assert.Equal(t, MaxCrashes+1, engine.crashes)
		assert.Equal(t, MaxTries, engine.started["item-11"])
		body, err := store.Results(context.Background(), account, job.ID, SelectFailed)
		require.NoError(t, err)
		data, err := io.ReadAll(body)
		require.NoError(t, err)
		assert.Contains(t, string(data), "item_crashed")
		assert.NotContains(t, string(data), "answer")
	})
}

func TestEngineThatTakesNothingChargesNoItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 5)
		job := submit(t, store, 400, "a")
		closed := newFakeEngine()
		for i := range 400 {
			closed.poison[fmt.Sprintf("item-%d", i)] = bhcode.Overloaded
		}
		runner, stop := start(store, closed, newFakeGate(8), "s1")
		for range 600 {
			time.Sleep(time.Second)
			require.LessOrEqual(t, runner.Totals().Held, DefaultMaxHeld)
		}
		_, stopOther := start(store, newFakeEngine(), newFakeGate(8), "s2")
		status := await(t, store, job.ID, time.Hour)
		stop()
		stopOther()
		assert.Equal(t, 400, status.Counts.Completed)
	})
}

func TestCancelStopsStartsWithinDelayAndKeepsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 60)
		job := submit(t, store, 500, "a")
		engine := newFakeEngine()
		_, stop := start(store, engine, newFakeGate(4), "s1")
		defer stop()
		time.Sleep(35 * time.Second)
		status, err := store.Cancel(context.Background(), account, job.ID)
		require.NoError(t, err)
		acknowledged := time.Now()
		time.Sleep(time.Minute)
		engine.mu.Lock()
		assert.Empty(t, engine.active, "running items were stopped")
		for _, started := range engine.starts {
			assert.LessOrEqual(t, started.Sub(acknowledged), CancelDelay)
		}
		engine.mu.Unlock()
		after, err := store.Get(context.Background(), account, job.ID)
		require.NoError(t, err)
		assert.Equal(t, Cancelled, after.Job.State)
		assert.Equal(t, status.Counts, after.Counts, "nothing completes after the acknowledgement")
		assert.Greater(t, after.Counts.Completed, 0)
		assert.Equal(t, 500, after.Counts.Completed+after.Counts.Failed+after.Remaining())
		assert.Len(t, results(t, store, job.ID), after.Counts.Completed)
	})
}

func TestPreemptedItemsResumeFromWhatTheyHad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(newFakePlatform(1), 10)
		job := submit(t, store, 100, "a")
		gate := newFakeGate(4)
		engine := newFakeEngine()
		runner, stop := start(store, engine, gate, "s1")
		for range 20 {
			time.Sleep(1030 * time.Millisecond)
			end := gate.burst()
			time.Sleep(50 * time.Millisecond)
			engine.mu.Lock()
			assert.Empty(t, engine.active)
			engine.mu.Unlock()
			end()
		}
		await(t, store, job.ID, time.Hour)
		stop()
		totals := runner.Totals()
		assert.Greater(t, totals.Preempted, 20)
		assert.Equal(t, totals.Tokens, totals.Generated, "no token is generated twice")
		requireAnswers(t, results(t, store, job.ID), 100, nil)
	})
}
