package soak

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowRunTime is how long a job may take over a slow store.
const slowRunTime = 100 * time.Second

// TestItemsOfALostRunnerAreTakenWhileTheStoreIsSlow guards against accepted items on which nothing works:
// their runner is gone for good, and the others don't notice as long as each call of the store takes long.
func TestItemsOfALostRunnerAreTakenWhileTheStoreIsSlow(t *testing.T) {
	for _, latency := range []time.Duration{250 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 1, 1, 3)
			time.Sleep(lead)
			w.store.latency.Store(int64(latency))
			ctx, cancel := context.WithTimeout(t.Context(), slowRunTime)
			defer cancel()
			for i := range 3 {
				newClient(w, fmt.Sprintf("flood%d", i), 1).submitFlood(ctx)
			}
			lost, runner := w.engines[0], w.processes[1]
			require.Equal(t, "runner-0", runner.name)
			require.Eventually(t, func() (running bool) {
				lost.set(func(e *engine) { running = e.running > 0 })
				return running
			}, 30*time.Second, time.Millisecond)
			runner.kill()
			w.judgeStuck(ctx)
			assert.Empty(t, w.record.finish(rates))
		})
	}
}
