package bhentry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhroute"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// An entry that was paused must not count its own pause as silence of sidecars.
func TestPausedBetweenDetectsLongGap(t *testing.T) {
	start := time.Now()
	assert.False(t, pausedBetween(start, start.Add(silenceCheckInterval)))
	assert.False(t, pausedBetween(start, start.Add(3*silenceCheckInterval/2)))
	assert.True(t, pausedBetween(start, start.Add(3*silenceCheckInterval)))
}

// TestPauseOfTheEntryIsNoSilenceOfSidecars guards against an entry that goes on after a pause,
// takes sound sidecars for silent before it has read their heartbeats, and aborts their sessions
// or refuses requests. The next check comes right after the one that notices the pause.
func TestPauseOfTheEntryIsNoSilenceOfSidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(fleetConfig{SelfHost: "e", Mesh: bhmesh.New(bhmesh.Config{Logger: bhlog.Nop()}), Logger: bhlog.Nop()})
		sidecar := f.ensureSidecar("s")
		sidecar.link = &liveLink{}
		isPicked := func() bool {
			_, err := f.pick(bhroute.Request{Group: "g"}, "id")
			return err == nil
		}
		f.checkSilence(time.Now())
		assert.False(t, isPicked(), "no heartbeat yet")
		load := bhwire.Load{Upstream: "u", Group: "g", Serving: true, Slots: 1}
		frame, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Whole: true, Loads: []bhwire.Load{load}})
		require.NoError(t, err)
		require.NoError(t, f.handleBeat(bhwire.Hello{Host: "s", Incarnation: 1}, frame))
		f.checkSilence(time.Now())

		time.Sleep(beatTimeout + time.Second) // the pause
		assert.True(t, isPicked(), "before the check")
		resumed := time.Now()
		f.checkSilence(resumed)
		time.Sleep(20 * time.Millisecond)
		for ; time.Since(resumed) <= beatTimeout; time.Sleep(silenceCheckInterval) {
			f.checkSilence(time.Now())
			assert.LessOrEqual(t, f.silence(sidecar, time.Now()), beatTimeout, "%s after the pause", time.Since(resumed))
			assert.True(t, isPicked(), "%s after the pause", time.Since(resumed))
		}
		assert.Greater(t, f.silence(sidecar, time.Now()), beatTimeout)
		assert.False(t, isPicked(), "%s after the pause", time.Since(resumed))
	})
}
