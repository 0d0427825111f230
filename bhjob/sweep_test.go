package bhjob

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
)

func TestSweepRemovesOldFinishedJobsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		jobs := newTestJobStore(store)
		for _, id := range []string{"finished", "ended", "open"} {
			submission := sampleJob(id, 2)
			submission.Items[0].Body = []byte(strings.Repeat("b", 100<<10))
			require.NoError(t, jobs.Submit(t.Context(), submission))
		}
		job := claimAll(t, jobs, "finished", "r")
		for _, item := range job.Items {
			_, err := jobs.RecordResult(t.Context(), job, "r", Result{ID: item.ID, Status: Completed, Text: strings.Repeat("t", 100<<10)})
			require.NoError(t, err)
		}
		require.NoError(t, jobs.End(t.Context(), "zoo", "ended"))

		time.Sleep(2 * time.Minute)
		removed, err := jobs.Sweep(t.Context(), 2*time.Minute)
		require.NoError(t, err)
		assert.Zero(t, removed, "results are still within their retention")
		time.Sleep(sweepMargin + time.Second)
		removed, err = jobs.Sweep(t.Context(), 2*time.Minute)
		require.NoError(t, err)
		assert.Equal(t, 2, removed)
		assert.Empty(t, store.Records(finishedTable))
		assert.Empty(t, store.Records(resultTable))
		assert.Len(t, store.Records(itemTable), 2, "items of the open job")
		assert.Len(t, store.Names(""), 1)
	})
}
