package bhjob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
)

// TestResultThatCannotBeStoredEndsWithItsJob guards against an item that is never listed, since the
// store refuses its long output for good.
func TestResultThatCannotBeStoredEndsWithItsJob(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	submission := sampleJob("j", 2)
	submission.Retention = 3 * time.Second
	r, objects := newRefusingRunner(t, store)
	objects.refuse(true, false)
	r.engine.set(func(e *fakeEngine) { e.eventCount, e.eventInterval = recordLimit/4, time.Microsecond })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	began := time.Now()
	for _, result := range r.waitResults("j", 2) {
		assert.Equal(t, Dead, result.Status)
	}
	assert.GreaterOrEqual(t, time.Since(began), submission.Retention)
}

// TestResultIsListedOnceTheStoreTakesIt guards against an item that is given up though its output is
// there and the store takes it in time.
func TestResultIsListedOnceTheStoreTakesIt(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r, objects := newRefusingRunner(t, store)
	objects.refuse(true, false)
	r.engine.set(func(e *fakeEngine) { e.eventCount, e.eventInterval = recordLimit/4, time.Microsecond })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
	require.Eventually(t, func() bool { return len(r.engine.requestHeaders()) == 1 }, 30*time.Second, time.Millisecond)
	time.Sleep(2 * time.Second)
	objects.refuse(false, false)
	results := r.waitResults("j", 1)
	assert.Equal(t, Completed, results[0].Status)
	assert.Greater(t, len(results[0].Text), recordLimit)
}
