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

// Heartbeats and picks run concurrently, and each takes the locks of both the
// fleet and its table. If they take them in opposite orders, the test
// deadlocks.
func TestHeartbeatsAndPicksDoNotDeadlock(t *testing.T) {
	const rounds = 20_000
	mesh := bhmesh.New(bhmesh.Config{Logger: bhlog.Nop()})
	f := newFleet(fleetConfig{Mesh: mesh, Logger: bhlog.Nop()})
	peer := bhwire.Hello{Host: "s", Role: "sidecar", Incarnation: 1}
	load := bhwire.Load{Upstream: "u", Group: "g", Serving: true, Slots: 1}
	frame, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Whole: true, Loads: []bhwire.Load{load}})
	require.NoError(t, err)
	require.NoError(t, f.handleBeat(peer, frame))
	var group sync.WaitGroup
	group.Go(func() {
		for range rounds {
			assert.NoError(t, f.handleBeat(peer, frame))
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

func TestHeartbeatOfEarlierIncarnationIsIgnored(t *testing.T) {
	f := newFleet(fleetConfig{Mesh: bhmesh.New(bhmesh.Config{Logger: bhlog.Nop()}), Logger: bhlog.Nop()})
	wholeBeat, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Whole: true})
	require.NoError(t, err)
	leavingBeat, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Leaving: true})
	require.NoError(t, err)
	change, err := f.recordBeat(bhwire.Hello{Host: "s", Incarnation: 2}, wholeBeat)
	require.NoError(t, err)
	assert.False(t, change.stale)
	change, err = f.recordBeat(bhwire.Hello{Host: "s", Incarnation: 1}, leavingBeat)
	require.NoError(t, err)
	assert.True(t, change.stale)
	assert.False(t, f.sidecars["s"].reported.Leaving)
}

func TestUpstreamMissingFromHeartbeatIsNotPicked(t *testing.T) {
	f := newFleet(fleetConfig{Mesh: bhmesh.New(bhmesh.Config{Logger: bhlog.Nop()}), Logger: bhlog.Nop()})
	peer := bhwire.Hello{Host: "s", Incarnation: 1}
	f.ensureSidecar("s").link = &liveLink{}
	sendBeat := func(upstreams ...string) {
		var loads []bhwire.Load
		for _, name := range upstreams {
			loads = append(loads, bhwire.Load{Upstream: name, Group: "g", Serving: true, Slots: 1})
		}
		frame, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Whole: true, Loads: loads})
		require.NoError(t, err)
		require.NoError(t, f.handleBeat(peer, frame))
	}
	sendBeat("a", "b")
	sendBeat("b")
	for range 20 {
		target, err := f.pick(bhroute.Request{Group: "g"}, "id")
		require.NoError(t, err)
		assert.Equal(t, "b", target.upstream)
	}
}

// A silent sidecar gets no new requests after 2 s, and a leaving one none after
// the heartbeat that says so. A restarted one gets requests from its first
// heartbeat on.
func TestSilentAndLeavingSidecarsAreNotPicked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(fleetConfig{SelfHost: "e", Mesh: bhmesh.New(bhmesh.Config{Logger: bhlog.Nop()}), Logger: bhlog.Nop()})
		f.ensureSidecar("s").link = &liveLink{}
		sendBeat := func(incarnation uint64, leaving bool) {
			load := bhwire.Load{Upstream: "u", Group: "g", Serving: true, Slots: 1}
			frame, err := bhwire.Encode(bhwire.KindBeat, 0, bhwire.Beat{Whole: true, Leaving: leaving, Loads: []bhwire.Load{load}})
			require.NoError(t, err)
			require.NoError(t, f.handleBeat(bhwire.Hello{Host: "s", Incarnation: incarnation}, frame))
		}
		isPicked := func() bool {
			_, err := f.pick(bhroute.Request{Group: "g"}, "id")
			return err == nil
		}
		assert.False(t, isPicked(), "no heartbeat yet")
		sendBeat(1, false)
		assert.True(t, isPicked())
		time.Sleep(beatTimeout)
		assert.True(t, isPicked())
		time.Sleep(time.Millisecond)
		assert.False(t, isPicked(), "silent for over 2 s")
		sendBeat(2, false)
		assert.True(t, isPicked(), "after a restart")
		sendBeat(2, true)
		for range 60 {
			assert.False(t, isPicked(), "leaving")
			time.Sleep(time.Second)
		}
		sendBeat(1, false)
		assert.False(t, isPicked(), "heartbeat of an earlier incarnation")
		sendBeat(3, false)
		assert.True(t, isPicked())
	})
}
