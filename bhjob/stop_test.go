package bhjob

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
)

// TestClaimThatArrivesDuringAStopIsReturned guards against an item that a stopping runner starts
// and keeps, since its claim was on the way when the runner returned the others.
func TestClaimThatArrivesDuringAStopIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		runner, _ := newIdleRunner(t, store, store, "a")
		require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
		require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
		changed, ids, err := runner.claim(t.Context(), 1)
		require.NoError(t, err)
		require.Equal(t, []string{"j-0"}, ids)
		runner.freeSlots = 1
		require.NoError(t, runner.Close(t.Context()))
		require.NoError(t, runner.startClaimedItem(t.Context(), changed, "j-0"))
		synctest.Wait()
		assert.Empty(t, runner.runs)
		assert.Equal(t, Waiting, stateOf(t, store, "j", "j-0").Status)
	})
}

// TestStopOutlivesClaimsThatAreOnTheWay guards against a stop that ends while a claim is being made.
func TestStopOutlivesClaimsThatAreOnTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slow atomic.Bool
		store := bhstand.NewStore(bhstand.StoreConfig{Fault: func(bool) bhstand.Fault {
			if slow.Load() {
				time.Sleep(100 * time.Millisecond)
			}
			return bhstand.Serve
		}})
		runner, _ := newIdleRunner(t, store, store, "a")
		require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
		require.NoError(t, runner.readJobs(t.Context(), partition("zoo")))
		runner.freeSlots = 1
		slow.Store(true)
		go func() { _ = runner.claimFromJob(t.Context()) }()
		synctest.Wait()
		require.NoError(t, runner.Close(t.Context()))
		assert.Equal(t, Waiting, stateOf(t, store, "j", "j-0").Status)
		assert.Empty(t, store.Records(runnerTable), "the claims of a runner without a record are soon taken over")
	})
}

// TestStopThatCannotReturnItsClaimsRemovesItsRecord guards against claims that stay with a runner
// that has ended: others took them over when its heartbeats had been missing for long.
func TestStopThatCannotReturnItsClaimsRemovesItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		store := bhstand.NewStore(bhstand.StoreConfig{Fault: func(write bool) bhstand.Fault {
			if write && down.Load() {
				return bhstand.Refuse
			}
			return bhstand.Serve
		}})
		runner, _ := newIdleRunner(t, store, store, "a")
		require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
		require.NoError(t, runner.heartbeats.sendIfStale(t.Context()))
		claimIdle(t, runner, "j", "j-0")
		require.NotEmpty(t, store.Records(runnerTable))
		down.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(900*time.Millisecond, func() { down.Store(false) })
		assert.NoError(t, runner.Close(ctx))
		assert.Empty(t, store.Records(runnerTable))
		synctest.Wait()
		time.Sleep(time.Minute) // the retries of the release end
	})
}
