package bhjob

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

func observeFor(t *testing.T, b *beats, length time.Duration) {
	t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		_ = b.observe(t.Context(), nil)
	}
}

func TestOnlyRunnersThatStandStillAreDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		observer := newBeats("me", store, bhclock.NewRuntime(), bhlog.Nop())
		other := newBeats("other", store, bhclock.NewRuntime(), bhlog.Nop())
		require.NoError(t, other.beat(t.Context()))
		assert.False(t, observer.dead("other"), "nothing was observed yet")
		for range 20 {
			require.NoError(t, other.beat(t.Context()))
			observeFor(t, observer, time.Second)
			assert.False(t, observer.dead("other"))
		}
		observeFor(t, observer, beatTimeout-500*time.Millisecond)
		assert.False(t, observer.dead("other"))
		observeFor(t, observer, 2*time.Second)
		assert.True(t, observer.dead("other"))
		require.NoError(t, other.beat(t.Context()))
		observeFor(t, observer, observeInterval+time.Second)
		assert.False(t, observer.dead("other"), "it has come back")
	})
}

func TestRunnersThatLeftAreDeadSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		observer := newBeats("me", store, bhclock.NewRuntime(), bhlog.Nop())
		other := newBeats("other", store, bhclock.NewRuntime(), bhlog.Nop())
		require.NoError(t, other.beat(t.Context()))
		observeFor(t, observer, 3*time.Second)
		require.NoError(t, other.remove(t.Context()))
		observeFor(t, observer, observeInterval+250*time.Millisecond)
		assert.True(t, observer.dead("other"))
	})
}

func TestEarlierStartsOfAHostAreDeadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		start := func(holder string) *beats { return newBeats(holder, store, bhclock.NewRuntime(), bhlog.Nop()) }
		observer, before := start("me.2"), start("other.1")
		require.NoError(t, before.beat(t.Context()))
		require.NoError(t, observer.observe(t.Context(), map[string]bool{"other.1": true}))
		assert.False(t, observer.dead("other.1"))
		after := start("other.2")
		require.NoError(t, after.beat(t.Context()))
		require.NoError(t, observer.observe(t.Context(), map[string]bool{"other.1": true, "other.2": true}), "not due but for the unknown holder")
		assert.True(t, observer.dead("other.1"))
		assert.False(t, observer.dead("other.2"))
		assert.True(t, observer.dead("me.1"))
		assert.False(t, observer.dead("me.2"))
	})
}

func TestNobodyIsDeadRightAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		store := bhstand.NewStore(bhstand.StoreConfig{Fault: func(bool) bhstand.Fault {
			if down.Load() {
				return bhstand.Refuse
			}
			return bhstand.Serve
		}})
		observer := newBeats("me", store, bhclock.NewRuntime(), bhlog.Nop())
		other := newBeats("other", store, bhclock.NewRuntime(), bhlog.Nop())
		require.NoError(t, other.beat(t.Context()))
		observeFor(t, observer, 2*time.Second)
		down.Store(true)
		observeFor(t, observer, 20*time.Second)
		assert.False(t, observer.dead("other"), "nobody can beat")
		down.Store(false)
		observeFor(t, observer, 2*time.Second)
		assert.False(t, observer.dead("other"), "it has had no time to beat")
		observeFor(t, observer, beatTimeout)
		assert.True(t, observer.dead("other"))
	})
}
