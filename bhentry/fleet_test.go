package bhentry

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhmesh"
	"github.com/baobabhaven/baobabhaven/bhroute"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// Heartbeats and choices go on side by side; each uses the locks of both the
// fleet and its table. With the locks taken in two orders this never ends.
func TestHeartbeatsAndChoicesDoNotBlockEachOther(t *testing.T) {
	const rounds = 20_000
	mesh := bhmesh.New(bhmesh.Config{Logger: bhlog.Nop()})
	f := newFleet(fleetConfig{Mesh: mesh, Logger: bhlog.Nop()})
	peer := bhwire.Hello{Host: "s", Role: "sidecar", Incarnation: 1}
	load := bhwire.Load{Upstream: "u", Group: "g", Serving: true, Slots: 1}
	frame, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Whole: true, Loads: []bhwire.Load{load}})
	require.NoError(t, err)
	require.NoError(t, f.takeBeat(peer, frame))
	var group sync.WaitGroup
	group.Go(func() {
		for range rounds {
			assert.NoError(t, f.takeBeat(peer, frame))
		}
	})
	group.Go(func() {
		for range rounds {
			_, err := f.pick(bhroute.Request{Group: "g"}, "id")
			assert.True(t, bhcode.Is(err, bhcode.NoUpstream), "%v", err)
		}
	})
	group.Wait()
}

func TestHeartbeatOfAnEarlierStartIsPassedOver(t *testing.T) {
	f := newFleet(fleetConfig{Mesh: bhmesh.New(bhmesh.Config{Logger: bhlog.Nop()}), Logger: bhlog.Nop()})
	whole, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Whole: true})
	require.NoError(t, err)
	leaving, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Leaving: true})
	require.NoError(t, err)
	news, err := f.note(bhwire.Hello{Host: "s", Incarnation: 2}, whole)
	require.NoError(t, err)
	assert.False(t, news.stale)
	news, err = f.note(bhwire.Hello{Host: "s", Incarnation: 1}, leaving)
	require.NoError(t, err)
	assert.True(t, news.stale)
	assert.False(t, f.sidecars["s"].state.Leaving)
}

func TestUpstreamsThatAreNoLongerListedGetNoWork(t *testing.T) {
	f := newFleet(fleetConfig{Mesh: bhmesh.New(bhmesh.Config{Logger: bhlog.Nop()}), Logger: bhlog.Nop()})
	peer := bhwire.Hello{Host: "s", Incarnation: 1}
	f.sidecar("s").live = &liveLink{}
	beat := func(upstreams ...string) {
		var loads []bhwire.Load
		for _, name := range upstreams {
			loads = append(loads, bhwire.Load{Upstream: name, Group: "g", Serving: true, Slots: 1})
		}
		frame, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Whole: true, Loads: loads})
		require.NoError(t, err)
		require.NoError(t, f.takeBeat(peer, frame))
	}
	beat("a", "b")
	beat("b")
	for range 20 {
		target, err := f.pick(bhroute.Request{Group: "g"}, "id")
		require.NoError(t, err)
		assert.Equal(t, "b", target.upstream)
	}
}

// A silent host gets no new work after 2 s, a leaving one none from its next
// heartbeat on; one that starts again is used from its first heartbeat on.
func TestWhoGetsNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(fleetConfig{Self: "e", Mesh: bhmesh.New(bhmesh.Config{Logger: bhlog.Nop()}), Logger: bhlog.Nop()})
		f.sidecar("s").live = &liveLink{}
		beat := func(incarnation uint64, leaving bool) {
			load := bhwire.Load{Upstream: "u", Group: "g", Serving: true, Slots: 1}
			frame, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Whole: true, Leaving: leaving, Loads: []bhwire.Load{load}})
			require.NoError(t, err)
			require.NoError(t, f.takeBeat(bhwire.Hello{Host: "s", Incarnation: incarnation}, frame))
		}
		getsWork := func() bool {
			_, err := f.pick(bhroute.Request{Group: "g"}, "id")
			return err == nil
		}
		assert.False(t, getsWork(), "no heartbeat yet")
		beat(1, false)
		assert.True(t, getsWork())
		time.Sleep(beatTimeout)
		assert.True(t, getsWork())
		time.Sleep(time.Millisecond)
		assert.False(t, getsWork(), "silent for over 2 s")
		beat(2, false)
		assert.True(t, getsWork(), "started again")
		beat(2, true)
		for range 60 {
			assert.False(t, getsWork(), "leaving")
			time.Sleep(time.Second)
		}
		beat(1, false)
		assert.False(t, getsWork(), "heartbeat of the earlier start")
		beat(3, false)
		assert.True(t, getsWork())
	})
}
