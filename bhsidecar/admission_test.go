package bhsidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

func equalWeight(string) float64 { return 1 }

func TestLiveRequestPreemptsBatchSlotImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(1, equalWeight)
		slot, err := admission.acquireBatch(t.Context())
		require.NoError(t, err)
		start := time.Now()
		release, err := admission.admit(t.Context(), bhwire.Submit{Account: "a", Work: 1})
		require.NoError(t, err)
		<-slot.Preempted()
		assert.Zero(t, time.Since(start))
		slot.Release()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = admission.acquireBatch(ctx)
		assert.Error(t, err, "no slot is free")
		release()
		nextSlot, err := admission.acquireBatch(t.Context())
		require.NoError(t, err)
		nextSlot.Release()
	})
}

func TestBatchAcquiresFreedSlotWithin100ms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(1, equalWeight)
		release, err := admission.admit(t.Context(), bhwire.Submit{Account: "a", Work: 1})
		require.NoError(t, err)
		var freedAt time.Time
		time.AfterFunc(time.Minute, func() {
			freedAt = time.Now()
			release()
		})
		slot, err := admission.acquireBatch(t.Context())
		require.NoError(t, err)
		assert.LessOrEqual(t, time.Since(freedAt), 100*time.Millisecond)
		slot.Release()
	})
}

func TestQueuedRequestIsRefusedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(1, equalWeight)
		release, err := admission.admit(t.Context(), bhwire.Submit{Account: "a", Work: 1})
		require.NoError(t, err)
		defer release()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, err = admission.admit(ctx, bhwire.Submit{Account: "b", Work: 1})
		assert.True(t, bhcode.Is(err, bhcode.QueueTimeout), "%v", err)
		assert.Equal(t, bhcode.RanNo, bhcode.From(err).Ran)
		assert.LessOrEqual(t, time.Since(start), time.Second)
		assert.Zero(t, admission.queue.Load().Queued)
	})
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(1, equalWeight)
		release, err := admission.admit(t.Context(), bhwire.Submit{Account: "a", Work: 1})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err = admission.admit(ctx, bhwire.Submit{Account: "b", Work: 1})
		assert.True(t, bhcode.Is(err, bhcode.Cancelled), "%v", err)
		release()
		releaseNext, err := admission.admit(t.Context(), bhwire.Submit{Account: "c", Work: 1})
		require.NoError(t, err)
		releaseNext()
		assert.Zero(t, admission.queue.Load().Running)
	})
}
