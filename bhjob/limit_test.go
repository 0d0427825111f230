package bhjob

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// TestItemsKeepToTheLimitOfTheEngine guards against items that are sent to an engine beyond
// the limit that it names, also when they are resumed, and against items that stay behind when
// the limit ends.
func TestItemsKeepToTheLimitOfTheEngine(t *testing.T) {
	const limit, span = 2.0, 4 * time.Second
	store := bhstand.NewStore(bhstand.StoreConfig{})
	submission := sampleJob("j", 40)
	for i := range submission.Items {
		submission.Items[i].ID = fmt.Sprint("item-", i)
	}
	r := newRunnerFixture(t, store, "a")
	r.engine.set(func(e *fakeEngine) { e.limit = fmt.Sprint(limit) })
	time.Sleep(200 * time.Millisecond) // in which the runner reads a report
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	time.Sleep(span)
	sent := float64(len(r.engine.requestHeaders()))
	assert.LessOrEqual(t, sent, limit*span.Seconds()*1.5+5)
	assert.GreaterOrEqual(t, sent, limit*span.Seconds()*0.5, "the limit is used")
	r.engine.set(func(e *fakeEngine) { e.limit = "" })
	assert.Len(t, r.waitResults("j", 40), 40)
}

// TestItemsKeepToWhatAColdEngineTolerates guards against items that are sent to an engine that
// has just started, or is cold by its record, beyond what it tolerates, and against gateways that
// don't hear of it.
func TestItemsKeepToWhatAColdEngineTolerates(t *testing.T) {
	const tolerated, span = 2.0, 4 * time.Second
	for name, turnCold := range map[string]func(r *runnerFixture){
		"by its report": func(r *runnerFixture) { r.engine.set(func(e *fakeEngine) { e.born = 2 }) },
		"by its record": func(r *runnerFixture) {
			r.policies.set(func(view *bhwatch.View) {
				instance := view.Fleet["llm"][0]
				instance.ColdUntil = bhclock.Boot{}.Now() + time.Minute
				view.Fleet = map[string][]bhwatch.Instance{"llm": {instance}}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			submission := sampleJob("j", 40)
			for i := range submission.Items {
				submission.Items[i].ID = fmt.Sprint("item-", i)
			}
			r := newRunnerFixture(t, store, "a")
			r.engine.set(func(e *fakeEngine) { e.born = 1 })
			r.policies.set(func(view *bhwatch.View) {
				policy := *view.Index.Policy
				policy.Services = []bhpolicy.Service{{Name: "llm", Slots: 2, ColdTime: span, ColdRate: tolerated}}
				view.Index = bhpolicy.NewIndex(&policy)
				instance := view.Fleet["llm"][0]
				instance.Born = 1
				view.Fleet = map[string][]bhwatch.Instance{"llm": {instance}}
			})
			time.Sleep(200 * time.Millisecond) // in which the runner reads a report
			assert.Zero(t, r.runner.capacity().Cold)
			turnCold(r)
			require.Eventually(t, func() bool { return r.runner.capacity().Cold > 0 }, 30*time.Second, time.Millisecond)
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
			began := time.Now()
			time.Sleep(span - 500*time.Millisecond)
			sent := float64(len(r.engine.requestHeaders()))
			assert.LessOrEqual(t, sent, tolerated*time.Since(began).Seconds()+1)
			assert.Positive(t, sent)
			r.policies.set(func(view *bhwatch.View) {
				instance := view.Fleet["llm"][0]
				instance.ColdUntil = 0
				view.Fleet = map[string][]bhwatch.Instance{"llm": {instance}}
			})
			assert.Len(t, r.waitResults("j", 40), 40, "it is warm again")
		})
	}
}
