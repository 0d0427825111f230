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

func evenWeight(string) float64 { return 1 }

func TestLiveRequestTakesABatchSlotAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(1, evenWeight)
		place, err := admission.offer(t.Context())
		require.NoError(t, err)
		start := time.Now()
		release, err := admission.admit(t.Context(), bhwire.Submit{Account: "a", Work: 1})
		require.NoError(t, err)
		<-place.Preempted()
		assert.Zero(t, time.Since(start))
		place.Release()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = admission.offer(ctx)
		assert.Error(t, err, "no slot is free")
		release()
		next, err := admission.offer(t.Context())
		require.NoError(t, err)
		next.Release()
	})
}

func TestBatchTakesAFreedSlotAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(1, evenWeight)
		release, err := admission.admit(t.Context(), bhwire.Submit{Account: "a", Work: 1})
		require.NoError(t, err)
		var freed time.Time
		time.AfterFunc(time.Minute, func() {
			freed = time.Now()
			release()
		})
		place, err := admission.offer(t.Context())
		require.NoError(t, err)
		assert.LessOrEqual(t, time.Since(freed), 100*time.Millisecond)
		place.Release()
	})
}

func TestQueuedRequestIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(1, evenWeight)
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

func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(1, evenWeight)
		release, err := admission.admit(t.Context(), bhwire.Submit{Account: "a", Work: 1})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err = admission.admit(ctx, bhwire.Submit{Account: "b", Work: 1})
		assert.True(t, bhcode.Is(err, bhcode.Cancelled), "%v", err)
		release()
		next, err := admission.admit(t.Context(), bhwire.Submit{Account: "c", Work: 1})
		require.NoError(t, err)
		next()
		assert.Zero(t, admission.queue.Load().Running)
	})
}
