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

// TestResultsOfLongJobsCanBeRead guards against results that are removed as soon as their job
// finishes, since it took longer than results are kept, as a policy's longer retention allows.
func TestResultsOfLongJobsCanBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = 2 * time.Minute
		store := bhstand.NewStore(bhstand.StoreConfig{})
		jobs, restarted := newTestJobStore(store), newTestJobStore(store)
		for _, id := range []string{"j", "ended"} {
			require.NoError(t, jobs.Submit(t.Context(), sampleJob(id, 1)))
		}
		time.Sleep(time.Hour)
		removed, err := jobs.Sweep(t.Context(), retention)
		require.NoError(t, err)
		assert.Zero(t, removed, "the jobs are open")
		job := claimAll(t, jobs, "j", "r")
		_, err = jobs.RecordResult(t.Context(), job, "r", Result{ID: "j-0", Status: Completed, Text: "t"})
		require.NoError(t, err)
		require.NoError(t, jobs.End(t.Context(), "zoo", "ended"))

		for finished := time.Now(); time.Since(finished) < sweepMargin; time.Sleep(time.Minute) {
			for _, sweeper := range []*JobStore{jobs, newTestJobStore(store)} {
				removed, err := sweeper.Sweep(t.Context(), retention)
				require.NoError(t, err)
				require.Zero(t, removed, "%s after the job finished", time.Since(finished))
			}
			results, err := jobs.Results(t.Context(), "zoo", "j", 0)
			require.NoError(t, err)
			require.Len(t, results.Results, 1)
		}
		removed, err = restarted.Sweep(t.Context(), retention)
		require.NoError(t, err)
		assert.Zero(t, removed, "a runner that starts doesn't know for how long the jobs are finished")
		removed, err = jobs.Sweep(t.Context(), retention)
		require.NoError(t, err)
		assert.Equal(t, 2, removed)
		assert.Empty(t, store.Records(finishedTable))
		assert.Empty(t, store.Records(resultTable))
		_, err = jobs.Sweep(t.Context(), retention)
		require.NoError(t, err)
		assert.Empty(t, jobs.finishedSince, "removed jobs are forgotten")
	})
}
