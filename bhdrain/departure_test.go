package bhdrain

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// TestDepartureRefusesLateWorkAndEndsTheRest guards against work that is taken late in a planned
// stop and cut at its end without an answer.
func TestDepartureRefusesLateWorkAndEndsTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDeparture(10 * time.Second)
		waiting, releaseWaiting := d.BindWaiting(t.Context())
		defer releaseWaiting()
		running, releaseRunning := d.Bind(t.Context())
		defer releaseRunning()
		time.Sleep(time.Hour)
		assert.NoError(t, d.Refusal())
		d.Begin()
		for after, want := range []struct{ refuses, ended bool }{{}, {}, {}, {}, {}, {refuses: true}, {true, false}, {true, false}, {true, false}, {true, true}} {
			synctest.Wait()
			err := d.Refusal()
			assert.Equal(t, want.refuses, err != nil, "after %d s", after)
			assert.Equal(t, want.refuses, bhcode.Is(context.Cause(waiting), bhcode.Leaving), "after %d s", after)
			assert.Equal(t, want.ended, bhcode.Is(context.Cause(running), bhcode.Leaving), "after %d s", after)
			if err != nil {
				assert.Equal(t, bhcode.RanNo, bhcode.From(err).Ran)
				assert.Positive(t, bhcode.From(err).RetryAfter)
			}
			time.Sleep(time.Second)
		}
	})
}
