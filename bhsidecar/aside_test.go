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

func stopped(place *batchPlace) bool {
	select {
	case <-place.Preempted():
		return true
	default:
		return false
	}
}

// TestBatchStepsAsideForALiveRequest: whatever has no token yet is stopped the
// moment a live request arrives, and nothing starts before its first token.
func TestBatchStepsAsideForALiveRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUpstream(bhconf.Upstream{Slots: 4}, evenWeight)
		places := make([]*batchPlace, 4)
		for i := range places {
			places[i] = u.aside.start(u)
			require.NotNil(t, places[i])
		}
		require.Nil(t, u.aside.start(u), "all slots are taken")
		for _, place := range places[:2] {
			place.begun()
		}
		release, err := u.admission.admit(t.Context(), bhwire.Submit{Account: "zoo", Work: 1})
		require.NoError(t, err)
		watch := u.aside.arrive()
		assert.True(t, stopped(places[3]), "no slot is left for it")
		assert.True(t, stopped(places[2]), "it has no token yet")
		assert.False(t, stopped(places[0]), "it runs within the limit")
		for _, place := range places {
			if stopped(place) {
				place.Release()
			}
		}
		assert.Nil(t, u.aside.start(u), "nothing starts before the first token")
		watch.token(time.Now())
		assert.Nil(t, u.aside.start(u), "the limit beside live requests is one until more is learned")
		watch.end()
		release()
		assert.NotNil(t, u.aside.start(u))
	})
}

func TestTimeSpentOnPassingAPieceOnIsNotTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUpstream(bhconf.Upstream{Slots: 4}, evenWeight)
		watch := u.aside.arrive()
		defer watch.end()
		for range 1000 {
			watch.token(time.Now())
			watch.passed(time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		steady := u.aside.pacer.Middle()
		for range 1000 {
			watch.token(time.Now())
			time.Sleep(time.Second)
			watch.passed(time.Now())
		}
		assert.InDelta(t, steady, u.aside.pacer.Middle(), float64(time.Millisecond))
	})
}
