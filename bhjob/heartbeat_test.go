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

// observeFor lets h observe the other runners for the duration.
func observeFor(t *testing.T, h *heartbeats, duration time.Duration) {
	t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		_ = h.observe(t.Context(), nil)
	}
}

func TestRunnerIsDeadAfterHeartbeatTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		observer := newHeartbeats("me", store, bhclock.NewRuntime(), bhlog.Nop())
		peer := newHeartbeats("other", store, bhclock.NewRuntime(), bhlog.Nop())
		require.NoError(t, peer.send(t.Context()))
		assert.False(t, observer.dead("other"), "nothing has been observed yet")
		for range 20 {
			require.NoError(t, peer.send(t.Context()))
			observeFor(t, observer, time.Second)
			assert.False(t, observer.dead("other"))
		}
		observeFor(t, observer, heartbeatTimeout-500*time.Millisecond)
		assert.False(t, observer.dead("other"))
		observeFor(t, observer, 2*time.Second)
		assert.True(t, observer.dead("other"))
		require.NoError(t, peer.send(t.Context()))
		observeFor(t, observer, observeInterval+time.Second)
		assert.False(t, observer.dead("other"), "the peer sends heartbeats again")
	})
}

func TestRunnerWithRemovedRecordIsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		observer := newHeartbeats("me", store, bhclock.NewRuntime(), bhlog.Nop())
		peer := newHeartbeats("other", store, bhclock.NewRuntime(), bhlog.Nop())
		require.NoError(t, peer.send(t.Context()))
		observeFor(t, observer, 3*time.Second)
		require.NoError(t, peer.remove(t.Context()))
		observeFor(t, observer, observeInterval+250*time.Millisecond)
		assert.True(t, observer.dead("other"))
	})
}

func TestEarlierHolderOfHostIsDeadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := bhstand.NewStore(bhstand.StoreConfig{})
		start := func(holder string) *heartbeats {
			return newHeartbeats(holder, store, bhclock.NewRuntime(), bhlog.Nop())
		}
		observer, earlier := start("me.2"), start("other.1")
		require.NoError(t, earlier.send(t.Context()))
		require.NoError(t, observer.observe(t.Context(), map[string]bool{"other.1": true}))
		assert.False(t, observer.dead("other.1"))
		later := start("other.2")
		require.NoError(t, later.send(t.Context()))
		require.NoError(t, observer.observe(t.Context(), map[string]bool{"other.1": true, "other.2": true}), "only the unknown holder makes the read due")
		assert.True(t, observer.dead("other.1"))
		assert.False(t, observer.dead("other.2"))
		assert.True(t, observer.dead("me.1"))
		assert.False(t, observer.dead("me.2"))
	})
}

func TestNoRunnerIsDeadRightAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		store := bhstand.NewStore(bhstand.StoreConfig{Fault: func(bool) bhstand.Fault {
			if down.Load() {
				return bhstand.Refuse
			}
			return bhstand.Serve
		}})
		observer := newHeartbeats("me", store, bhclock.NewRuntime(), bhlog.Nop())
		peer := newHeartbeats("other", store, bhclock.NewRuntime(), bhlog.Nop())
		require.NoError(t, peer.send(t.Context()))
		observeFor(t, observer, 2*time.Second)
		down.Store(true)
		observeFor(t, observer, 20*time.Second)
		assert.False(t, observer.dead("other"), "no runner can send heartbeats")
		down.Store(false)
		observeFor(t, observer, 2*time.Second)
		assert.False(t, observer.dead("other"), "the peer has had no time to send a heartbeat")
		observeFor(t, observer, heartbeatTimeout)
		assert.True(t, observer.dead("other"))
	})
}
