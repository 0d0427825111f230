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
		ledger := newLedger(store)
		for _, id := range []string{"finished", "ended", "open"} {
			submission := sampleJob(id, 2)
			submission.Items[0].Body = []byte(strings.Repeat("b", 100<<10))
			require.NoError(t, ledger.Submit(t.Context(), submission))
		}
		job := claimAll(t, ledger, "finished", "r")
		for _, item := range job.Items {
			_, err := ledger.RecordResult(t.Context(), job, "r", Result{ID: item.ID, Status: Completed, Text: strings.Repeat("t", 100<<10)})
			require.NoError(t, err)
		}
		require.NoError(t, ledger.End(t.Context(), "zoo", "ended"))

		time.Sleep(2 * time.Minute)
		removed, err := ledger.Sweep(t.Context(), 2*time.Minute)
		require.NoError(t, err)
		assert.Zero(t, removed, "results may still be read")
		time.Sleep(sweepMargin + time.Second)
		removed, err = ledger.Sweep(t.Context(), 2*time.Minute)
		require.NoError(t, err)
		assert.Equal(t, 2, removed)
		assert.Empty(t, store.Records(doneTable))
		assert.Empty(t, store.Records(resultTable))
		assert.Len(t, store.Records(itemTable), 2, "those of the open job")
		assert.Len(t, store.Names(""), 1)
	})
}
