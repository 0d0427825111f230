package bhsidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

func isPreempted(slot *batchSlot) bool {
	select {
	case <-slot.Preempted():
		return true
	default:
		return false
	}
}

// Batch items without a first token are preempted as soon as a live request
// arrives, and no batch item starts before the live request's first token.
func TestLiveRequestPreemptsBatchItemsWithoutToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUpstream(bhconf.Upstream{Slots: 4}, equalWeight)
		slots := make([]*batchSlot, 4)
		for i := range slots {
			slots[i] = u.batchLimiter.tryStart(u)
			require.NotNil(t, slots[i])
		}
		require.Nil(t, u.batchLimiter.tryStart(u), "all slots are taken")
		for _, slot := range slots[:2] {
			slot.finishPrefill()
		}
		release, err := u.admission.admit(t.Context(), bhwire.Submit{Account: "zoo", Work: 1})
		require.NoError(t, err)
		monitor := u.batchLimiter.beginLive()
		assert.True(t, isPreempted(slots[3]), "no slot is left for it")
		assert.True(t, isPreempted(slots[2]), "it has no token yet")
		assert.False(t, isPreempted(slots[0]), "it runs within the limit")
		for _, slot := range slots {
			if isPreempted(slot) {
				slot.Release()
			}
		}
		assert.Nil(t, u.batchLimiter.tryStart(u), "nothing starts before the first token")
		monitor.chunkReceived(time.Now())
		assert.Nil(t, u.batchLimiter.tryStart(u), "the limit beside live requests is one until more is learned")
		monitor.end()
		release()
		assert.NotNil(t, u.batchLimiter.tryStart(u))
	})
}

func TestForwardingTimeIsNotCountedAsTokenInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUpstream(bhconf.Upstream{Slots: 4}, equalWeight)
		monitor := u.batchLimiter.beginLive()
		defer monitor.end()
		for range 1000 {
			monitor.chunkReceived(time.Now())
			monitor.chunkForwarded(time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		steadyMedian := u.batchLimiter.pacer.MedianTokenInterval()
		for range 1000 {
			monitor.chunkReceived(time.Now())
			time.Sleep(time.Second)
			monitor.chunkForwarded(time.Now())
		}
		assert.InDelta(t, steadyMedian, u.batchLimiter.pacer.MedianTokenInterval(), float64(time.Millisecond))
	})
}
