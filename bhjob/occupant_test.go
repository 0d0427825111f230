package bhjob

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// listSource lists instances to a Watcher.
type listSource struct {
	policy *bhpolicy.Policy

	mu   sync.Mutex
	list []bhwatch.Instance
}

func (s *listSource) set(list ...bhwatch.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

// Directives implements bhwatch.Source.
func (s *listSource) Directives(context.Context, bhplatform.Version) (bhwatch.Directives, error) {
	return bhwatch.Directives{Version: 1, Policy: s.policy, PolicyVersion: 1}, nil
}

// Instances implements bhwatch.Source.
func (s *listSource) Instances(context.Context) ([]bhwatch.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list, nil
}

// newListedRunner starts a runner beside the engine i-1, which started at 100, over a list that a
// Watcher reads. The list function gets the engine's sound instance.
func newListedRunner(t *testing.T, store *bhstand.Store, reports bool, list func(engine bhwatch.Instance) []bhwatch.Instance) (*runnerFixture, *bhwatch.Watcher) {
	var watcher *bhwatch.Watcher
	r := newRunnerFixture(t, store, "a", func(config *RunnerConfig) {
		source := &listSource{policy: &bhpolicy.Policy{
			Services: []bhpolicy.Service{{Name: "llm"}},
			Routes:   config.Policies.View().Index.Policy.Routes,
		}}
		source.set(list(bhwatch.Instance{ID: "i-1", Service: "llm", Address: config.Address(), Slots: 2, Born: 100})...)
		engine := config.Engine.(*fakeEngine)
		engine.set(func(e *fakeEngine) {
			if e.id = "i-1"; reports {
				e.born = 100
			}
		})
		watcher = bhwatch.New(bhwatch.Config{Source: source, Clock: bhclock.Boot{}, Logger: bhlog.Nop(), Scope: tally.NoopScope})
		config.Policies = watcher
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = watcher.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	})
	return r, watcher
}

// TestConflictingEntryLeavesNoItemStuck guards against accepted items that no engine runs, since an
// entry of another writer has the address of their engine and a later start.
func TestConflictingEntryLeavesNoItemStuck(t *testing.T) {
	for name, c := range map[string]struct {
		other   bhwatch.Instance
		reports bool
	}{
		"ready, and the engine reports its start":    {bhwatch.Instance{Born: 200}, true},
		"draining, and the engine reports its start": {bhwatch.Instance{Born: 200, Draining: true}, true},
		"ready, and the engine reports none":         {bhwatch.Instance{Born: 200}, false},
		"draining, and the engine reports none":      {bhwatch.Instance{Born: 200, Draining: true}, false},
		"a copy of the engine's":                     {bhwatch.Instance{ID: "i-0", Born: 100}, true},
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r, _ := newListedRunner(t, store, c.reports, func(engine bhwatch.Instance) []bhwatch.Instance {
				other := engine
				other.ID, other.Born, other.Draining = "other", c.other.Born, c.other.Draining
				if c.other.ID != "" {
					other.ID = c.other.ID
				}
				return []bhwatch.Instance{engine, other}
			})
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 6)))
			for _, result := range r.waitResults("j", 6) {
				assert.Equal(t, Completed, result.Status)
			}
			refused := 0
			for _, header := range r.engine.requestHeaders() {
				if header.Get(dialect.Instance) != "i-1" {
					refused++
				}
			}
			assert.LessOrEqual(t, refused, 2, "requests of one claim may be on their way before the first answer")
		})
	}
}

// TestEngineOfAnUnlistedStartIsNotAskedAgainAndAgain guards against items that go round between the
// store and an engine that isn't the listed one.
func TestEngineOfAnUnlistedStartIsNotAskedAgainAndAgain(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r, _ := newListedRunner(t, store, true, func(engine bhwatch.Instance) []bhwatch.Instance {
		engine.ID, engine.Born = "earlier", 50
		return []bhwatch.Instance{engine}
	})
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 2)))
	require.Eventually(t, func() bool { return len(r.engine.requestHeaders()) > 0 }, 30*time.Second, time.Millisecond)
	time.Sleep(3 * time.Second)
	assert.LessOrEqual(t, len(r.engine.requestHeaders()), 4)
}

// TestEngineThatCannotRunAnItemStaysListed guards against an engine that gets no items for a while
// after it has refused one itself with status 421, as for other weights than it has.
func TestEngineThatCannotRunAnItemStaysListed(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r, watcher := newListedRunner(t, store, true, func(engine bhwatch.Instance) []bhwatch.Instance { return []bhwatch.Instance{engine} })
	r.engine.set(func(e *fakeEngine) {
		e.next = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(dialect.RequestID, r.Header.Get(dialect.RequestID))
			w.Header().Set(dialect.Occupant, "i-1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
	})
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 4)))
	require.Eventually(t, func() bool { return len(r.engine.requestHeaders()) > 0 }, 30*time.Second, time.Millisecond)
	view := watcher.View()
	_, listed := view.At(r.runner.config.Address())
	assert.True(t, listed)
	for _, result := range r.waitResults("j", 4) {
		assert.Equal(t, Completed, result.Status)
	}
}
