package bhjob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// setCentre puts the runner's engine into the data centre north and lists another one there or
// elsewhere.
func (r *runnerFixture) setCentre(otherCentre string) {
	r.policies.set(func(view *bhwatch.View) {
		instance := view.Fleet["llm"][0]
		instance.Zone = "north"
		other := bhwatch.Instance{ID: "i-2", Service: "llm", Address: "10.0.0.2:80", Zone: otherCentre, Slots: 2}
		view.Fleet = map[string][]bhwatch.Instance{"llm": {instance, other}}
	})
}

func (r *runnerFixture) evacuate(centres ...string) {
	r.policies.set(func(view *bhwatch.View) {
		view.Evacuated = make(map[string]bool)
		for _, centre := range centres {
			view.Evacuated[centre] = true
		}
	})
}

// TestItemsLeaveAnEvacuatedDataCentre guards against items that are sent to an engine, or stay
// there, whose data centre is evacuated, and against ones whose output is lost thereby.
func TestItemsLeaveAnEvacuatedDataCentre(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	evacuated := newRunnerFixture(t, store, "a")
	evacuated.setCentre("south")
	evacuated.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = 20*time.Millisecond, 500 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 4)))
	waitEvents(t, evacuated)
	evacuated.evacuate("north")
	require.Eventually(t, func() bool { return evacuated.runner.capacity().Leaving }, 30*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		evacuated.engine.mu.Lock()
		defer evacuated.engine.mu.Unlock()
		return evacuated.engine.running == 0
	}, 30*time.Second, time.Millisecond)
	sent := len(evacuated.engine.requestHeaders())
	other := newRunnerFixture(t, store, "b")
	other.engine.set(func(e *fakeEngine) { e.eventCount = 500 })
	for _, result := range other.waitResults("j", 4) {
		assert.Equal(t, expectedOutput(result.ID, 500), result.Text)
	}
	resumed := 0
	for _, header := range other.engine.requestHeaders() {
		if header.Get(dialect.LastEvent) != "" {
			resumed++
		}
	}
	assert.Positive(t, resumed, "items go on after their last event")
	assert.Len(t, evacuated.engine.requestHeaders(), sent)
	evacuated.evacuate()
	other.stop()
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("later", 2)))
	evacuated.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = time.Millisecond, 5 })
	assert.Len(t, evacuated.waitResults("later", 2), 2, "the engine is used again")
}

// TestItemsEndWhereNoOtherDataCentreTakesThem guards against items that are stopped by an
// evacuation although no engine could go on with them, and against further ones that are sent.
func TestItemsEndWhereNoOtherDataCentreTakesThem(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.setCentre("south")
	r.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount = 20*time.Millisecond, 50 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 4)))
	require.Eventually(t, func() bool { return len(r.engine.requestHeaders()) == 2 }, 30*time.Second, time.Millisecond)
	waitEvents(t, r)
	r.evacuate("north", "south")
	for _, result := range r.waitResults("j", 2) {
		assert.Equal(t, expectedOutput(result.ID, 50), result.Text)
	}
	time.Sleep(500 * time.Millisecond)
	assert.Len(t, r.engine.requestHeaders(), 2)
	r.evacuate("south")
	assert.Len(t, r.waitResults("j", 4), 4)
}
