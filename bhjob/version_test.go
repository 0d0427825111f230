package bhjob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

func (r *runnerFixture) setVersion(version string) {
	r.policies.set(func(view *bhwatch.View) {
		instance := view.Fleet["llm"][0]
		instance.Version = version
		view.Fleet = map[string][]bhwatch.Instance{"llm": {instance}}
	})
}

// Guards against an item whose output was continued by an engine of another software
// version, at the same runner or at another one.
func TestItemGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	for _, c := range []struct {
		name, version string
		resumes       bool
	}{
		{"same version", "v1", true},
		{"other version", "v1.1", false},
	} {
		t.Run(c.name+" at another runner", func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			first := newRunnerFixture(t, store, "a")
			first.setVersion("v1")
			first.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = 20*time.Millisecond, 200 })
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
			waitEvents(t, first)
			first.stop()
			second := newRunnerFixture(t, store, "b")
			second.setVersion(c.version)
			second.engine.set(func(e *fakeEngine) { e.eventCount = 200 })
			assert.Equal(t, expectedOutput("j-0", 200), second.waitResults("j", 1)[0].Text)
			assert.Equal(t, c.resumes, second.engine.requestHeaders()[0].Get(dialect.LastEvent) != "")
		})
		t.Run(c.name+" at the same runner", func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			r.setVersion("v1")
			r.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount, e.abortAfter = 20*time.Millisecond, 30, 20 })
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
			waitEvents(t, r)
			r.setVersion(c.version)
			assert.Equal(t, expectedOutput("j-0", 30), r.waitResults("j", 1)[0].Text)
			requests := r.engine.requestHeaders()
			require.Len(t, requests, 2)
			assert.Equal(t, c.resumes, requests[1].Get(dialect.LastEvent) != "")
		})
	}
}

// waitEvents waits until the runner has received an event of an item.
func waitEvents(t *testing.T, r *runnerFixture) {
	t.Helper()
	require.Eventually(t, func() bool {
		r.runner.mu.Lock()
		defer r.runner.mu.Unlock()
		for _, run := range r.runner.runs {
			if run.checkpoint.LastEvent != "" {
				return true
			}
		}
		return false
	}, 30*time.Second, time.Millisecond)
}
