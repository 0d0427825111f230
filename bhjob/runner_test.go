package bhjob

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
)

var dialect = bhforward.Dialect{
	RequestID: "Request-Id", Deadline: "Deadline", Instance: "Instance", Account: "Account",
	NotRun: "Not-Run", LastEvent: "Last-Event-Id", KeyHeader: "Authorization",
}

// engine is an upstream that produces events under the control of a test.
type engine struct {
	server *httptest.Server

	mu sync.Mutex
	// gap is the time between events, events their number.
	gap    time.Duration
	events int
	// status replaces the answer if it isn't 200.
	status int
	// cutAfter breaks the next stream off after so many events.
	cutAfter int
	// live is the number of live requests, waiting how many of them wait.
	live, waiting int
	running       int
	requests      []http.Header
}

func newEngine(t *testing.T) *engine {
	e := &engine{gap: time.Millisecond, events: 5, status: http.StatusOK}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *engine) set(change func(e *engine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// Report implements Engine.
func (e *engine) Report(context.Context, string) (LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return LoadReport{Running: e.running + e.live, Waiting: e.waiting}, nil
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a server notices a close only after the body
	e.mu.Lock()
	e.requests = append(e.requests, r.Header.Clone())
	gap, events, status, cut := e.gap, e.events, e.status, e.cutAfter
	e.cutAfter = 0
	e.running++
	e.mu.Unlock()
	defer e.set(func(e *engine) { e.running-- })
	w.Header().Set(dialect.RequestID, r.Header.Get(dialect.RequestID))
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	first, err := strconv.Atoi(r.Header.Get(dialect.LastEvent))
	if err != nil {
		first = 0
	}
	for i := first + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, r.Header.Get(dialect.RequestID), i)
		_ = http.NewResponseController(w).Flush()
		if cut > 0 && i == first+cut {
			fmt.Fprint(w, "id: 99\ndata: part")
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *engine) seen() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]http.Header(nil), e.requests...)
}

// fixedPolicies is a view that a test sets.
type fixedPolicies struct {
	mu   sync.Mutex
	view bhwatch.View
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
	view.Proof = bhclock.Boot{}.Now()
	return view
}

// rig is a runner with its engine over a store in memory.
type rig struct {
	t        *testing.T
	store    *bhstand.Store
	engine   *engine
	policies *fixedPolicies
	runner   *Runner
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func newRig(t *testing.T, store *bhstand.Store, holder string) *rig {
	r := &rig{t: t, store: store, engine: newEngine(t), policies: &fixedPolicies{}}
	address := r.engine.server.Listener.Addr().(*net.TCPAddr).String()
	r.policies.view = bhwatch.View{
		Index: bhpolicy.NewIndex(&bhpolicy.Policy{Routes: []bhpolicy.Route{{
			Name: "drafts", Host: "one.example", Prefix: "/drafts/", Kind: bhpolicy.Batch,
			Backends: []bhpolicy.Backend{{Service: "llm", Weight: 1}},
		}}}),
		Fleet: map[string][]bhwatch.Instance{"llm": {{ID: "i-1", Service: "llm", Address: address, Slots: 2}}},
	}
	pool := bhforward.NewPool()
	r.runner = NewRunner(RunnerConfig{
		Holder:   holder,
		Jobs:   newLedger(store),
		Policies: r.policies,
		Engine:   r.engine,
		Pool:     pool,
		Dialect:  dialect,
		Clock:    bhclock.Boot{},
		Logger:   bhlog.Nop(),
		Scope:    tally.NoopScope,
		Address:  func() string { return address },
		StaleAfter:    func() time.Duration { return time.Hour },
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	for _, part := range []func(context.Context) error{r.runner.SendHeartbeats, r.runner.ClaimItems, r.runner.AdjustToLoad, r.runner.SaveCheckpoints} {
		r.done.Go(func() { _ = part(ctx) })
	}
	t.Cleanup(func() {
		r.stop()
		pool.Close()
	})
	return r
}

// stop stops the runner gracefully.
func (r *rig) stop() {
	r.cancel()
	r.done.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = r.runner.Close(ctx)
}

// results waits until the job has so many results.
func (r *rig) results(job string, count int) []Result {
	r.t.Helper()
	var results Results
	require.Eventually(r.t, func() bool {
		var err error
		results, err = newLedger(r.store).Results(r.t.Context(), "zoo", job, 0)
		return err == nil && len(results.Results) >= count
	}, 30*time.Second, 10*time.Millisecond)
	return results.Results
}

// output is the whole text of an item.
func output(item string, events int) string {
	var lines []string
	for i := range events {
		lines = append(lines, fmt.Sprintf("%s-%d", item, i+1))
	}
	return strings.Join(lines, "\n")
}

func TestRunnerCompletesJobs(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRig(t, store, "a")
	submission := sampleJob("j", 5)
	submission.Items[0].Header = map[string]string{"X-Model": "m", "Authorization": "secret"}
	require.NoError(t, newLedger(store).Submit(t.Context(), submission))
	for _, result := range r.results("j", 5) {
		assert.Equal(t, Completed, result.Status)
		assert.Equal(t, output(result.ID, 5), result.Text)
	}
	for _, header := range r.engine.seen() {
		assert.Equal(t, "zoo", header.Get(dialect.Account))
		assert.Equal(t, "i-1", header.Get(dialect.Instance))
		assert.Empty(t, header.Get("Authorization"))
	}
}

func TestItemsPauseForLiveRequestsAndGoOn(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRig(t, store, "a")
	r.engine.set(func(e *engine) { e.gap, e.events = 20*time.Millisecond, 30 })
	require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 2)))
	require.Eventually(t, func() bool { return len(r.engine.seen()) == 2 }, 30*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond) // some events flow
	r.engine.set(func(e *engine) { e.live, e.waiting = 2, 2 })
	require.Eventually(t, func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.running == 0
	}, 30*time.Second, time.Millisecond, "both items leave their slots")
	r.engine.set(func(e *engine) { e.live, e.waiting = 0, 0 })
	for _, result := range r.results("j", 2) {
		assert.Equal(t, output(result.ID, 30), result.Text)
	}
	resumed := 0
	for _, header := range r.engine.seen() {
		if header.Get(dialect.LastEvent) != "" {
			resumed++
		}
	}
	assert.GreaterOrEqual(t, resumed, 2, "items go on from where they were")
}

func TestAnnouncedRequestsGetASlotAtOnce(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRig(t, store, "a")
	r.engine.set(func(e *engine) { e.gap, e.events = 20*time.Millisecond, 100 })
	require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 3)))
	require.Eventually(t, func() bool { return len(r.engine.seen()) == 2 }, 30*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		room := r.runner.room()
		return room.Slots == 2 && room.Items == 2 && room.Live == 0
	}, 30*time.Second, time.Millisecond)
	r.runner.reserve()
	room := r.runner.room()
	assert.Equal(t, 1, room.Items, "an item leaves before the engine's next report")
	assert.Equal(t, 1, room.Live)
	for _, result := range r.results("j", 3) {
		assert.Equal(t, output(result.ID, 100), result.Text)
	}
}

func TestBrokenStreamsGoOn(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRig(t, store, "a")
	r.engine.set(func(e *engine) { e.cutAfter = 3 })
	require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 1)))
	results := r.results("j", 1)
	assert.Equal(t, output("j-0", 5), results[0].Text)
	requests := r.engine.seen()
	require.Len(t, requests, 2)
	assert.Equal(t, "3", requests[1].Get(dialect.LastEvent))
}

// panickingCounter panics at its first use.
type panickingCounter struct {
	tally.Counter
	once sync.Once
}

// Inc implements tally.Counter.
func (c *panickingCounter) Inc(int64) { c.once.Do(func() { panic("broken") }) }

func TestPanicOfARunEndsOnlyTheRun(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRig(t, store, "a")
	r.runner.metrics.sends = &panickingCounter{}
	require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 1)))
	assert.Equal(t, output("j-0", 5), r.results("j", 1)[0].Text)
	assert.Len(t, r.engine.seen(), 2)
}

func TestItemsThatCantBeDoneAreGivenUp(t *testing.T) {
	for status, sends := range map[int]int{http.StatusInternalServerError: 3, http.StatusUnprocessableEntity: 1} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRig(t, store, "a")
			r.engine.set(func(e *engine) { e.status = status })
			require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 1)))
			results := r.results("j", 1)
			assert.Equal(t, Dead, results[0].Status)
			assert.Len(t, r.engine.seen(), sends)
		})
	}
}

func TestExpiredItemsAreGivenUp(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRig(t, store, "a")
	r.engine.set(func(e *engine) { e.gap = time.Hour })
	submission := sampleJob("j", 1)
	submission.Retention = 1500 * time.Millisecond
	require.NoError(t, newLedger(store).Submit(t.Context(), submission))
	assert.Equal(t, Dead, r.results("j", 1)[0].Status)
}

func TestStoppedRunnerHandsItemsOn(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	a := newRig(t, store, "a")
	a.engine.set(func(e *engine) { e.gap, e.events = 30*time.Millisecond, 40 })
	require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 1)))
	require.Eventually(t, func() bool { return len(a.engine.seen()) == 1 }, 30*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	a.stop()
	b := newRig(t, store, "b")
	b.engine.set(func(e *engine) { e.events = 40 })
	assert.Equal(t, output("j-0", 40), b.results("j", 1)[0].Text)
	assert.NotEmpty(t, b.engine.seen()[0].Get(dialect.LastEvent))
}

func TestDrainingEngineGetsNothingNew(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	a := newRig(t, store, "a")
	a.policies.set(func(view *bhwatch.View) {
		fleet := view.Fleet["llm"][0]
		fleet.Draining = true
		view.Fleet = map[string][]bhwatch.Instance{"llm": {fleet}}
	})
	require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 3)))
	b := newRig(t, store, "b")
	b.results("j", 3)
	assert.Empty(t, a.engine.seen())
}

func TestEndedJobStops(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRig(t, store, "a")
	r.engine.set(func(e *engine) { e.gap, e.events = 50*time.Millisecond, 1000 })
	require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 2)))
	require.Eventually(t, func() bool { return len(r.engine.seen()) == 2 }, 30*time.Second, time.Millisecond)
	require.NoError(t, newLedger(store).End(t.Context(), "zoo", "j"))
	require.Eventually(t, func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.running == 0
	}, 30*time.Second, time.Millisecond)
}

func TestItemsOfAKilledRunnerGoOnFromWhatItSaved(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	a := newRig(t, store, "host.1")
	a.engine.set(func(e *engine) { e.gap, e.events = 50*time.Millisecond, 1000 })
	submission := sampleJob("j", 1)
	require.NoError(t, newLedger(store).Submit(t.Context(), submission))
	var saved Checkpoint
	require.Eventually(t, func() bool {
		var err error
		saved, err = newLedger(store).LoadCheckpoint(t.Context(), &Job{Account: "zoo", ID: "j", Items: []ItemState{{ID: "j-0", SavedBy: "host.1"}}}, "j-0")
		return err == nil && saved.LastEvent != ""
	}, 30*time.Second, 10*time.Millisecond)
	a.cancel() // without Close: nothing is given back
	a.done.Wait()
	b := newRig(t, store, "host.2")
	b.engine.set(func(e *engine) { e.events = 1000 })
	assert.Equal(t, output("j-0", 1000), b.results("j", 1)[0].Text)
	resumed, err := strconv.Atoi(b.engine.seen()[0].Get(dialect.LastEvent))
	require.NoError(t, err)
	first, err := strconv.Atoi(saved.LastEvent)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, resumed, first)
}

func TestDeadRunnersItemsAreTakenOver(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 2)))
	claimAll(t, newLedger(store), "j", "dead")
	b := newRig(t, store, "b")
	b.results("j", 2)
}

func TestUrgency(t *testing.T) {
	now := 100 * time.Second
	jobs := []*Job{{ID: "late", Due: now + time.Second}, {ID: "later", Due: now + 20*time.Second}, {ID: "soon", Due: now + 6*time.Second}}
	sortByUrgency(jobs, now)
	assert.Equal(t, []string{"soon", "later", "late"}, []string{jobs[0].ID, jobs[1].ID, jobs[2].ID})
}

func TestClaimsThatNobodyRunsAreTakenUpAgain(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	require.NoError(t, newLedger(store).Submit(t.Context(), sampleJob("j", 2)))
	claimAll(t, newLedger(store), "j", "me") // by a claim whose outcome this process never learnt
	r := newRig(t, store, "me")
	r.results("j", 2)
}
