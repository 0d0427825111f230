package bhcrash

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// fakeTable is a table in memory. While down is set, it refuses every
// operation.
type fakeTable struct {
	bhplatform.Table
	mutex   sync.Mutex
	rows    map[string]bhplatform.Row
	version bhplatform.Version
	down    bool
}

func (t *fakeTable) Get(_ context.Context, key string) (bhplatform.Row, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row, ok := t.rows[key]
	switch {
	case t.down:
		return row, bhcode.New(bhcode.PlatformUnavailable, "down")
	case !ok:
		return row, bhcode.New(bhcode.NotFound, "%s", key)
	}
	return row, nil
}

func (t *fakeTable) Commit(_ context.Context, writes ...bhplatform.Write) ([]bhplatform.Version, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	w := writes[0]
	switch {
	case t.down:
		return nil, bhcode.New(bhcode.PlatformUnavailable, "down")
	case t.rows[w.Key].Version != w.Expect:
		return nil, bhcode.New(bhcode.PlatformConflict, "%s", w.Key)
	}
	t.version++
	delete(t.rows, w.Key)
	if !w.Delete {
		t.rows[w.Key] = bhplatform.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return []bhplatform.Version{t.version}, nil
}

// testEngine is one upstream with its sidecar. A request whose digest starts
// with "kill" crashes it after 100 ms.
type testEngine struct {
	source      Source
	ledger      *Ledger
	suspectSlot chan struct{}
	inflight    *Tracker[int]
	// crashed is closed at the next crash and then replaced.
	crashed chan struct{}
	crashes int
}

// acquireSuspectSlot waits until no other suspect runs on the engine, if the
// request is a suspect. It returns the function that releases the slot.
func (e *testEngine) acquireSuspectSlot(suspect bool) func() {
	if !suspect {
		return func() {}
	}
	e.suspectSlot <- struct{}{}
	return func() { <-e.suspectSlot }
}

// testFleet simulates entries and engines in the fake time of synctest. Crash
// reports reach each entry after a random delay.
type testFleet struct {
	table *fakeTable
	// trials and ledgers have one element per entry.
	trials  []*Trials
	ledgers []*Ledger
	engines []*testEngine
	mutex   sync.Mutex
	random  *rand.Rand
	lastID  int
	// maxReportDelay bounds the delay of crash reports to an entry.
	maxReportDelay time.Duration
}

func newTestFleet(entries, engines int) *testFleet {
	f := &testFleet{table: &fakeTable{rows: make(map[string]bhplatform.Row)}, random: rand.New(rand.NewPCG(1, 1)), maxReportDelay: 50 * time.Millisecond}
	for range entries {
		f.ledgers = append(f.ledgers, NewLedger())
		f.trials = append(f.trials, NewTrials(f.table))
	}
	for i := range engines {
		f.engines = append(f.engines, &testEngine{
			source: Source{Host: fmt.Sprint(i)}, ledger: NewLedger(), suspectSlot: make(chan struct{}, 1), inflight: NewTracker[int](), crashed: make(chan struct{}),
		})
	}
	return f
}

func (f *testFleet) randomInt(n int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(n)
}

func (f *testFleet) currentMaxReportDelay() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.maxReportDelay
}

// broadcast delivers the evidence to each entry after a random delay.
func (f *testFleet) broadcast(source Source, digest string, evidence Evidence) {
	for _, ledger := range f.ledgers {
		delay := time.Duration(f.randomInt(int(f.currentMaxReportDelay())))
		time.AfterFunc(delay, func() {
			delayed := evidence
			delayed.Age = delay
			ledger.Merge(source, digest, delayed)
		})
	}
}

// runOnEngine runs the request on the engine. If the engine crashes meanwhile,
// it returns the engine's evidence for the digest and true.
func (f *testFleet) runOnEngine(engine *testEngine, digest string, alone bool) (Evidence, bool) {
	defer engine.acquireSuspectSlot(alone)()
	f.mutex.Lock()
	f.lastID++
	id := f.lastID
	engineCrashed := engine.crashed
	f.mutex.Unlock()
	engine.inflight.Start(id)
	defer engine.inflight.Finish(id)
	if strings.HasPrefix(digest, "kill") {
		time.Sleep(100 * time.Millisecond)
		f.mutex.Lock()
		if engine.crashed == engineCrashed {
			close(engineCrashed)
			engine.crashed = make(chan struct{})
			engine.crashes++
		}
		f.mutex.Unlock()
	}
	select {
	case <-engineCrashed:
		others := engine.inflight.RecordFailure(id)
		evidence := engine.ledger.RecordCrash(engine.source, digest, alone || others == 0, true)
		f.broadcast(engine.source, digest, evidence)
		return evidence, true
	case <-time.After(2 * time.Second):
		return Evidence{}, false
	}
}

// handleRequest does what an entry does with one request: it runs the request,
// as a trial if the digest is a suspect, until the request is answered or
// refused.
func (f *testFleet) handleRequest(ledger *Ledger, digest string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for {
		status, _ := ledger.StatusOf(digest)
		if status == Quarantined {
			return bhcode.New(bhcode.Quarantined, "")
		}
		var trial *Trial
		if status == Suspect {
			var err error
			trials := f.trials[slices.Index(f.ledgers, ledger)]
			trial, err = trials.Begin(ctx, digest, deadline, func() bool { return statusOf(ledger, digest) == Suspect })
			if err != nil {
				return err
			}
			if trial == nil {
				continue
			}
		}
		engine := f.engines[f.randomInt(len(f.engines))]
		evidence, crashed := f.runOnEngine(engine, digest, trial != nil)
		if crashed {
			ledger.Merge(engine.source, digest, evidence)
		}
		if trial == nil && !crashed {
			return nil
		}
		if trial != nil {
			if !crashed {
				ledger.Clear(digest)
			}
			if err := trial.End(ctx, crashed); err != nil {
				return err
			}
			if !crashed {
				return nil
			}
		}
	}
}

func (f *testFleet) totalCrashes() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	total := 0
	for _, engine := range f.engines {
		total += engine.crashes
	}
	return total
}

// startInnocentRequests sends requests that crash no engine, spread over all
// entries, and requires that each is answered. The caller waits for the
// returned group.
func (f *testFleet) startInnocentRequests(t *testing.T, requests int) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			require.NoError(t, f.handleRequest(f.ledgers[i%len(f.ledgers)], fmt.Sprint("ok", i)), "request %d", i)
		})
	}
	return &group
}

// TestResentCrashingRequestIsQuarantinedAfterTwoCrashes guards against more
// than two crashes from one request that its client sends again after each
// refusal, through changing entries, while other requests run.
func TestResentCrashingRequestIsQuarantinedAfterTwoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4, 6)
		group := f.startInnocentRequests(t, 400)
		time.Sleep(time.Second)
		for i := range 30 {
			err := f.handleRequest(f.ledgers[(i*7)%4], "kill")
			require.True(t, bhcode.Is(err, bhcode.Quarantined), "%v", err)
			time.Sleep(time.Duration(f.randomInt(int(300 * time.Millisecond))))
		}
		group.Wait()
		require.Equal(t, 2, f.totalCrashes())
		require.Empty(t, f.innocentTrialKeys(), "trial rows of other requests are left in the table")
	})
}

// TestCrashingRequestThroughSeveralEntriesAtOnceCrashesTwoUpstreams guards
// against several entries that each run a trial of the same request: the
// request is sent once and then through all entries at once, before its trial
// has ended. The report of the second crash reaches the entries late, so the
// trial's row must refuse the requests.
func TestCrashingRequestThroughSeveralEntriesAtOnceCrashesTwoUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4, 6)
		group := f.startInnocentRequests(t, 200)
		time.Sleep(time.Second)
		group.Go(func() { _ = f.handleRequest(f.ledgers[0], "kill") })
		time.Sleep(100*time.Millisecond + f.maxReportDelay)
		f.mutex.Lock()
		f.maxReportDelay = 5 * time.Second
		f.mutex.Unlock()
		for i := range 12 {
			group.Go(func() {
				err := f.handleRequest(f.ledgers[i%4], "kill")
				require.True(t, bhcode.Is(err, bhcode.Quarantined), "%v", err)
			})
		}
		group.Wait()
		require.Equal(t, 2, f.totalCrashes())
	})
}

// TestResentCrashingRequestIsQuarantinedDuringTableOutage guards against more
// than two crashes while the table is unavailable: the request is sent again
// after each refusal, through changing entries. All other requests are
// answered.
func TestResentCrashingRequestIsQuarantinedDuringTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(4, 6)
		f.table.down = true
		group := f.startInnocentRequests(t, 400)
		time.Sleep(time.Second)
		for i := range 30 {
			err := f.handleRequest(f.ledgers[(i*7)%4], "kill")
			require.True(t, bhcode.Is(err, bhcode.Quarantined), "%v", err)
			time.Sleep(f.currentMaxReportDelay() + time.Duration(f.randomInt(int(300*time.Millisecond))))
		}
		group.Wait()
		require.Equal(t, 2, f.totalCrashes())
	})
}

// TestTrialOfLostEntryExpires guards against a suspect that can never run again
// because its entry was lost during the trial, and checks that the row of a
// trial that quarantined the digest refuses it.
func TestTrialOfLostEntryExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: make(map[string]bhplatform.Row)}
		alwaysNeeded := func() bool { return true }
		_, err := NewTrials(table).Begin(context.Background(), "d", time.Now().Add(10*time.Second), alwaysNeeded)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = NewTrials(table).Begin(ctx, "d", time.Now().Add(time.Second), alwaysNeeded)
		require.True(t, bhcode.Is(err, bhcode.QueueTimeout), "%v", err)
		time.Sleep(15 * time.Second)
		trial, err := NewTrials(table).Begin(context.Background(), "d", time.Now().Add(time.Minute), alwaysNeeded)
		require.NoError(t, err)
		require.NoError(t, trial.End(context.Background(), true))
		_, err = NewTrials(table).Begin(context.Background(), "d", time.Now().Add(time.Minute), alwaysNeeded)
		require.True(t, bhcode.Is(err, bhcode.Quarantined), "%v", err)
	})
}

// innocentTrialKeys returns the keys of the trial rows of requests that crash
// no engine.
func (f *testFleet) innocentTrialKeys() []string {
	var keys []string
	for key := range f.table.rows {
		if strings.HasPrefix(key, TrialPrefix+"ok") {
			keys = append(keys, key)
		}
	}
	return keys
}
