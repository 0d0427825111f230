package bhjob

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// finishTime is how long after the last request what was accepted must be done.
const finishTime = 18 * time.Second

// TestClaimsOfADeadRunnerAreTakenOverWhileTheStoreIsSlow guards against items whose runner is gone and
// that no other one takes, since each call of the store takes long and other items keep it busy.
func TestClaimsOfADeadRunnerAreTakenOverWhileTheStoreIsSlow(t *testing.T) {
	for _, latency := range []time.Duration{4 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			t.Parallel()
			store := bhstand.NewStore(bhstand.StoreConfig{})
			jobs := newTestJobStore(store)
			require.NoError(t, jobs.Submit(t.Context(), sampleJob("lost", 1)))
			claimAll(t, jobs, "lost", "gone.1")
			_, err := store.Apply(t.Context(), bhplatform.Transaction{Puts: []bhplatform.Put{{Key: heartbeatKey("gone.1"), Value: []byte("gone.1")}}})
			require.NoError(t, err)
			for i := range 12 {
				require.NoError(t, jobs.Submit(t.Context(), sampleJob(fmt.Sprintf("flood%d", i), 10)))
			}
			slow := bhstand.NewStore(bhstand.StoreConfig{Latency: latency})
			copyRecords(t, store, slow)
			r := newRunnerFixture(t, slow, "a", func(config *RunnerConfig) {
				config.StaleAfter = func() time.Duration { return 4 * time.Second }
			})
			r.engine.set(func(e *fakeEngine) { e.eventCount = 100 })
			began := time.Now()
			require.Eventually(t, func() bool {
				return strings.Contains(fmt.Sprint(r.engine.requestHeaders()), "lost-0")
			}, time.Minute, 10*time.Millisecond)
			assert.Less(t, time.Since(began), finishTime)
		})
	}
}

// TestItemsRunWhileTheStoreIsSlow guards against runners that start nothing, since each call of the store
// takes long and the lists of open jobs grow too old between claims.
func TestItemsRunWhileTheStoreIsSlow(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	accounts := []string{"zoo", "b", "c", "d", "e", "f"}
	for _, account := range accounts {
		submission := sampleJob(account, 10)
		submission.Account = account
		require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
	}
	const latency = 250 * time.Millisecond
	slow := bhstand.NewStore(bhstand.StoreConfig{Latency: latency})
	copyRecords(t, store, slow)
	r := newRunnerFixture(t, slow, "a", func(config *RunnerConfig) {
		config.StaleAfter = func() time.Duration { return 4 * time.Second }
	})
	began := time.Now()
	count := 10 * len(accounts)
	require.Eventually(t, func() bool { return len(r.engine.requestHeaders()) >= count }, 2*time.Minute, 10*time.Millisecond)
	// A claim of two items takes six calls: a heartbeat, the job, the claim and the content of each.
	assert.Less(t, time.Since(began), time.Duration(count/2)*8*latency)
}

// copyRecords copies the records of all tables that runners read.
func copyRecords(t *testing.T, from, to *bhstand.Store) {
	t.Helper()
	for _, table := range []string{jobTable, itemTable, runnerTable} {
		for _, part := range append(allPartitions(), "") {
			page, err := bhplatform.ScanAll(t.Context(), from, bhplatform.Range{Table: table, Partition: part})
			require.NoError(t, err)
			for _, record := range page.Records {
				require.NoError(t, to.Force(record.Key, record.Value))
			}
		}
	}
}
