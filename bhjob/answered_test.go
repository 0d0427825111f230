package bhjob

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// lossRecorder keeps the losses that it passes on.
type lossRecorder struct {
	Crashes
	mu     sync.Mutex
	losses []bhevidence.Loss
}

// Lost implements Crashes.
func (r *lossRecorder) Lost(ctx context.Context, loss bhevidence.Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losses = append(r.losses, loss)
	r.Crashes.Lost(ctx, loss)
}

// TestTrialThatWasAnsweredHasNotFailed guards against an item that is withheld for minutes because
// engines ended for other reasons in the middle of its trials.
func TestTrialThatWasAnsweredHasNotFailed(t *testing.T) {
	for name, c := range map[string]struct {
		events int
		failed bool
	}{
		"at its first event":       {1, true},
		"long after its first one": {20, false},
	} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			losses := &lossRecorder{Crashes: onlyTrials{r.runner.config.Crashes}}
			r.runner.config.Crashes = losses
			r.engine.set(func(e *fakeEngine) { e.eventInterval, e.eventCount, e.abortAfter = 20*time.Millisecond, 30, c.events })
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
			assert.Equal(t, Completed, r.waitResults("j", 1)[0].Status)
			losses.mu.Lock()
			defer losses.mu.Unlock()
			require.Len(t, losses.losses, 1)
			assert.Equal(t, c.failed, losses.losses[0].Permit != nil, "the trial failed")
		})
	}
}
