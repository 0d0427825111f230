package bhevidence

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// TestOnlyOneTrialRuns guards against several machines that run a trial of the same
// request at a time.
func TestOnlyOneTrialRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 9, bhstand.NewStore(bhstand.StoreConfig{}))
		defer f.stop()
		for range 3 {
			f.processes[0].serve(lethal)
		}
		time.Sleep(1300 * time.Millisecond)
		var permits []*Permit
		for _, p := range f.processes {
			if permit, err := p.registry.Admit(t.Context(), lethal); err == nil {
				permits = append(permits, permit)
			} else {
				assert.True(t, bhcode.Is(err, bhcode.Withheld))
				assert.Positive(t, bhcode.From(err).RetryAfter)
			}
		}
		require.Len(t, permits, 1)
		permits[0].Return()
		time.Sleep(time.Millisecond)
		_, err := f.processes[8].registry.Admit(t.Context(), lethal)
		require.NoError(t, err, "the trial that was given back is free at once")
	})
}

// TestTrialWhoseGrantIsLostDeniesNoOther guards against requests that are refused for as long as
// a granted trial may take, although its answer was lost and it never ran.
func TestTrialWhoseGrantIsLostDeniesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 9, bhstand.NewStore(bhstand.StoreConfig{}))
		defer f.stop()
		for range 3 {
			f.processes[0].serve(lethal)
		}
		time.Sleep(1300 * time.Millisecond)
		last, other := f.processes[8], f.processes[7]
		entered, _ := other.registry.enterTrial(t.Context(), lethal.Content)
		require.True(t, entered)
		f.set(func() { f.answersLost = true })
		_, err := last.registry.Admit(t.Context(), lethal)
		require.True(t, bhcode.Is(err, bhcode.Withheld), "the store has the record of another trial: %v", err)
		f.set(func() { f.answersLost = false })
		time.Sleep(trialRecordTime)
		_, err = other.registry.Admit(t.Context(), lethal)
		require.NoError(t, err)
	})
}

// TestTrialAfterACrashedOneIsGrantedWhenDue guards against a suspect that waits for the end
// of a trial that has crashed, and against two trials at a time because an earlier
// clearing of the digest is heard of again.
func TestTrialAfterACrashedOneIsGrantedWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, bhstand.NewStore(bhstand.StoreConfig{}))
		defer f.stop()
		f.processes[0].serve(lethal)
		f.processes[0].serve(lethal)
		f.processes[0].registry.Whole(lethal)
		time.Sleep(10 * time.Millisecond)
		for range 3 {
			f.processes[0].serve(lethal)
		}
		time.Sleep(2500 * time.Millisecond) // the first two crashes, which were cleared, disturb the calm
		permit, err := f.processes[1].registry.Admit(t.Context(), lethal)
		require.NoError(t, err)
		time.Sleep(time.Second) // gossip tells of the clearing again
		_, err = f.processes[2].registry.Admit(t.Context(), lethal)
		require.True(t, bhcode.Is(err, bhcode.Withheld), "%v", err)
		f.processes[1].registry.Lost(t.Context(), Loss{Traits: lethal, Upstream: bhcrash.Source{Host: "trial"}, SentAt: time.Now(), Permit: permit})
		time.Sleep(3800 * time.Millisecond)
		_, err = f.processes[2].registry.Admit(t.Context(), lethal)
		require.NoError(t, err)
	})
}
