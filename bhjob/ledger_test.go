package bhjob

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

func newLedger(store *bhstand.Store) *JobStore {
	return NewJobStore(JobStoreConfig{Store: store, Objects: store, Logger: bhlog.Nop()})
}

func sampleJob(id string, items int) Submission {
	submission := Submission{
		ID: id, Account: "zoo", Route: "drafts", Host: "one.example",
		RunTarget: 18 * time.Second, Retention: time.Minute, Attempts: 3,
	}
	for i := range items {
		submission.Items = append(submission.Items, Item{
			ID: fmt.Sprintf("%s-%d", id, i), Target: "/drafts/x", Body: []byte{1, 2, 3}, Tokens: 100,
		})
	}
	return submission
}

// claimAll claims all items of the job for the holder.
func claimAll(t *testing.T, ledger *JobStore, id, holder string) *Job {
	t.Helper()
	job, err := ledger.find(t.Context(), "zoo", id)
	require.NoError(t, err)
	job, _, err = ledger.Claim(t.Context(), job, holder, len(job.Items), func(string, string) bool { return true })
	require.NoError(t, err)
	return job
}

func TestSubmitIsIdempotent(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	ledger := newLedger(store)
	require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 3)))
	require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 3)))
	assert.Len(t, store.Records(jobTable), 1)
	results, err := ledger.Results(t.Context(), "zoo", "j", 0)
	require.NoError(t, err)
	assert.Equal(t, Results{Total: 3}, results)

	job := claimAll(t, ledger, "j", "r")
	for _, item := range job.Items {
		_, err := ledger.RecordResult(t.Context(), job, "r", Result{ID: item.ID, Status: Completed})
		require.NoError(t, err)
	}
	assert.Empty(t, store.Records(jobTable), "finished jobs leave the open ones")
	require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 3)), "also after its end")
	assert.Empty(t, store.Records(jobTable))
}

// TestUnsettledSubmissionsMayComeAgain loses the reply of the first write and then
// the store: the client has to be told so by an answer after which it tries again.
func TestUnsettledSubmissionsMayComeAgain(t *testing.T) {
	var writes atomic.Bool
	store := bhstand.NewStore(bhstand.StoreConfig{Fault: func(write bool) bhstand.Fault {
		switch {
		case writes.Load():
			return bhstand.Refuse
		case write:
			writes.Store(true)
			return bhstand.Lose
		}
		return bhstand.Serve
	}})
	err := newLedger(store).Submit(t.Context(), sampleJob("j", 1))
	failure := bhcode.From(err)
	assert.Equal(t, bhcode.PlatformUnknown, failure.Code, "%v", err)
	assert.Equal(t, bhcode.RanUnknown, failure.Ran)
	assert.GreaterOrEqual(t, failure.Code.Info().Status, 500)
}

func TestSubmitValidates(t *testing.T) {
	ledger := newLedger(bhstand.NewStore(bhstand.StoreConfig{}))
	doubled := sampleJob("j", 2)
	doubled.Items[1].ID = doubled.Items[0].ID
	for name, submission := range map[string]Submission{
		"no id": sampleJob("", 1), "no items": sampleJob("j", 0), "too many items": sampleJob("j", maxItems+1), "doubled item": doubled,
	} {
		assert.True(t, bhcode.Is(ledger.Submit(t.Context(), submission), bhcode.BatchInvalid), name)
	}
}

func TestQueueLimitHoldsAmongConcurrentSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{Latency: 5 * time.Millisecond})
		var group sync.WaitGroup
		var mu sync.Mutex
		accepted, refused := 0, 0
		for i := range 12 {
			group.Go(func() {
				submission := sampleJob(fmt.Sprintf("j%d", i), 5)
				submission.MaxQueued = 2000 // four jobs of 500 tokens
				err := newLedger(store).Submit(t.Context(), submission)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					accepted++
				case bhcode.Is(err, bhcode.RateExceeded):
					refused++
					assert.Positive(t, bhcode.From(err).RetryAfter)
				default:
					// Conflicts without end refuse too, and nothing was stored.
					assert.True(t, bhcode.Is(err, bhcode.PlatformConflict), "%v", err)
				}
			})
		}
		group.Wait()
		assert.Equal(t, 4, accepted)
		assert.Len(t, store.Records(jobTable), 4)
		assert.Positive(t, refused)
	})
}

func TestLargeItemsAndResultsLieInObjects(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	ledger := newLedger(store)
	submission := sampleJob("j", 1)
	submission.Items[0].Body = []byte(strings.Repeat("b", 200<<10))
	require.NoError(t, ledger.Submit(t.Context(), submission))
	body, err := ledger.Body(t.Context(), "zoo", "j", "j-0")
	require.NoError(t, err)
	assert.Equal(t, submission.Items[0].Body, body)

	job := claimAll(t, ledger, "j", "r")
	item, err := ledger.LoadItem(t.Context(), job, "j-0")
	require.NoError(t, err)
	assert.Equal(t, submission.Items[0], item)
	text := strings.Repeat("t", 300<<10)
	listed, err := ledger.RecordResult(t.Context(), job, "r", Result{ID: "j-0", Status: Completed, Text: text})
	require.NoError(t, err)
	assert.True(t, listed)
	results, err := ledger.Results(t.Context(), "zoo", "j", 0)
	require.NoError(t, err)
	require.Len(t, results.Results, 1)
	assert.Equal(t, text, results.Results[0].Text)
	assert.NotEmpty(t, store.Names(resultTable))
}

func TestManyItemsAreStoredInSeveralTransactions(t *testing.T) {
	ledger := newLedger(bhstand.NewStore(bhstand.StoreConfig{}))
	submission := sampleJob("j", maxItems)
	for i := range submission.Items {
		submission.Items[i].Body = []byte(strings.Repeat("b", 20<<10))
	}
	require.NoError(t, ledger.Submit(t.Context(), submission))
	for _, item := range submission.Items {
		body, err := ledger.Body(t.Context(), "zoo", "j", item.ID)
		require.NoError(t, err)
		require.Equal(t, item.Body, body)
	}
}

func TestUnknownJobsAndItemsAreNotFound(t *testing.T) {
	ledger := newLedger(bhstand.NewStore(bhstand.StoreConfig{}))
	require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 1)))
	_, err := ledger.Results(t.Context(), "zoo", "k", 0)
	assert.True(t, bhcode.Is(err, bhcode.NotFound))
	_, err = ledger.Results(t.Context(), "other", "j", 0)
	assert.True(t, bhcode.Is(err, bhcode.NotFound), "another account's job")
	_, err = ledger.Body(t.Context(), "zoo", "j", "x")
	assert.True(t, bhcode.Is(err, bhcode.NotFound))
	assert.True(t, bhcode.Is(ledger.End(t.Context(), "zoo", "k"), bhcode.NotFound))
}

func TestStoreOutageIsNeverNotFound(t *testing.T) {
	fault := bhstand.Serve
	ledger := newLedger(bhstand.NewStore(bhstand.StoreConfig{Fault: func(bool) bhstand.Fault { return fault }}))
	require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 1)))
	fault = bhstand.Refuse
	_, err := ledger.Results(t.Context(), "zoo", "j", 0)
	assert.True(t, bhcode.Is(err, bhcode.PlatformUnavailable))
	err = ledger.Submit(t.Context(), sampleJob("k", 1))
	assert.True(t, bhcode.Is(err, bhcode.PlatformUnavailable))
	assert.Equal(t, bhcode.RanNo, bhcode.From(err).Ran)
}

func TestEndedJobsListNothingMore(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	ledger := newLedger(store)
	require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 2)))
	job := claimAll(t, ledger, "j", "r")
	listed, err := ledger.RecordResult(t.Context(), job, "r", Result{ID: "j-0", Status: Completed, Text: "a"})
	require.NoError(t, err)
	assert.True(t, listed)
	require.NoError(t, ledger.End(t.Context(), "zoo", "j"))
	require.NoError(t, ledger.End(t.Context(), "zoo", "j"), "may be repeated")
	listed, err = ledger.RecordResult(t.Context(), job, "r", Result{ID: "j-1", Status: Completed, Text: "b"})
	require.NoError(t, err)
	assert.False(t, listed)
	results, err := ledger.Results(t.Context(), "zoo", "j", 0)
	require.NoError(t, err)
	assert.Len(t, results.Results, 1)
}

func TestFailuresSurviveAChangeOfHolder(t *testing.T) {
	ledger := newLedger(bhstand.NewStore(bhstand.StoreConfig{}))
	require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 1)))
	for i := range 2 {
		job := claimAll(t, ledger, "j", fmt.Sprint(i))
		assert.Equal(t, i, job.Items[0].Failures)
		require.NoError(t, ledger.Release(t.Context(), job, fmt.Sprint(i), []ItemRelease{{ID: "j-0", Failed: true}}))
	}
	assert.Equal(t, 2, claimAll(t, ledger, "j", "x").Items[0].Failures)
}

func TestCheckpointsPassToTheNextHolder(t *testing.T) {
	ledger := newLedger(bhstand.NewStore(bhstand.StoreConfig{}))
	require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 1)))
	job := claimAll(t, ledger, "j", "a")
	saved := Checkpoint{LastEvent: "7", Text: "so far"}
	require.NoError(t, ledger.Release(t.Context(), job, "a", []ItemRelease{{ID: "j-0", Checkpoint: saved}}))
	require.NoError(t, ledger.Release(t.Context(), job, "a", []ItemRelease{{ID: "j-0", Checkpoint: Checkpoint{LastEvent: "9"}}}), "a late one changes nothing")
	job = claimAll(t, ledger, "j", "b")
	assert.Equal(t, "a", job.Items[0].SavedBy)
	loaded, err := ledger.LoadCheckpoint(t.Context(), job, "j-0")
	require.NoError(t, err)
	assert.Equal(t, saved, loaded)
}

// TestEachItemIsListedOnce lets holders that don't know of each other work on
// one job over a store that loses and delays replies. BAOBAB_SEARCH=1 draws
// other traces than CI does.
func TestEachItemIsListedOnce(t *testing.T) {
	first := uint64(1)
	if os.Getenv("BAOBAB_SEARCH") != "" {
		first = rand.Uint64N(1 << 32)
	}
	for seed := first; seed < first+60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playJob(t, seed) })
		})
	}
}

func playJob(t *testing.T, seed uint64) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	store := bhstand.NewStore(bhstand.StoreConfig{
		Latency: 5 * time.Millisecond,
		Late:    700 * time.Millisecond,
		Fault: func(write bool) bhstand.Fault {
			mu.Lock()
			defer mu.Unlock()
			if !write || random.IntN(3) > 0 {
				return bhstand.Serve
			}
			return bhstand.Fault(random.IntN(4))
		},
	})
	submission := sampleJob("j", 6)
	require.Eventually(t, func() bool { return newLedger(store).Submit(t.Context(), submission) == nil }, time.Minute, time.Second)
	var group sync.WaitGroup
	for holder := range 4 {
		group.Go(func() { workOn(t, newLedger(store), fmt.Sprintf("h%d", holder)) })
	}
	group.Wait()
	require.NoError(t, store.Close())
	results, err := newLedger(store).Results(t.Context(), "zoo", "j", 0)
	require.NoError(t, err)
	seen := make(map[string]bool)
	for _, result := range results.Results {
		assert.False(t, seen[result.ID], "item %s is listed twice", result.ID)
		seen[result.ID] = true
	}
	assert.Len(t, seen, 6)
	assert.Len(t, store.Records(resultTable), 6)
}

// workOn claims and lists items until the job is finished. It believes that all
// others are dead, so that claims are taken over all the time.
func workOn(t *testing.T, ledger *JobStore, holder string) {
	for range 500 {
		time.Sleep(50 * time.Millisecond)
		job, err := ledger.find(t.Context(), "zoo", "j")
		if err != nil || job == nil {
			continue
		}
		if job.Done() {
			return
		}
		job, ids, err := ledger.Claim(t.Context(), job, holder, 2, func(string, string) bool { return true })
		if err != nil {
			continue
		}
		for _, id := range ids {
			_, _ = ledger.RecordResult(context.Background(), job, holder, Result{ID: id, Status: Completed, Text: holder})
		}
	}
	t.Errorf("holder %s never saw the job finished", holder)
}

func TestReadResultsNeverChange(t *testing.T) {
	ledger := newLedger(bhstand.NewStore(bhstand.StoreConfig{}))
	require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 5)))
	job := claimAll(t, ledger, "j", "r")
	var before Results
	for i := range 5 {
		_, err := ledger.RecordResult(t.Context(), job, "r", Result{ID: fmt.Sprintf("j-%d", 4-i), Status: Completed, Text: fmt.Sprint(i)})
		require.NoError(t, err)
		after, err := ledger.Results(t.Context(), "zoo", "j", 0)
		require.NoError(t, err)
		require.Len(t, after.Results, i+1)
		assert.Equal(t, before.Results, append([]Result(nil), after.Results[:i]...))
		rest, err := ledger.Results(t.Context(), "zoo", "j", i)
		require.NoError(t, err)
		assert.Equal(t, after.Results[i:], rest.Results)
		assert.Equal(t, i+1, rest.Next)
		before = after
	}
}

func TestClaimWhoseReplyWasLostIsKnown(t *testing.T) {
	for name, fault := range map[string]bhstand.Fault{"lost": bhstand.Lose, "late": bhstand.Delay} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				next := bhstand.Serve
				store := bhstand.NewStore(bhstand.StoreConfig{Late: 20 * time.Millisecond, Latency: 30 * time.Millisecond, Fault: func(write bool) bhstand.Fault {
					if !write {
						return bhstand.Serve
					}
					fault := next
					next = bhstand.Serve
					return fault
				}})
				ledger := newLedger(store)
				require.NoError(t, ledger.Submit(t.Context(), sampleJob("j", 3)))
				job, err := ledger.find(t.Context(), "zoo", "j")
				require.NoError(t, err)
				next = fault
				_, ids, err := ledger.Claim(t.Context(), job, "me", 2, func(string, string) bool { return false })
				require.NoError(t, err)
				assert.Equal(t, []string{"j-0", "j-1"}, ids)
				require.NoError(t, store.Close())
			})
		})
	}
}
