package bhjob

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
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
