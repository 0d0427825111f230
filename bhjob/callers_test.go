package bhjob

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhshare"
	"github.com/baobabhaven/baobabhaven/bhstand"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

func TestRunnerTellsItsCallersIfTheEngineIsFull(t *testing.T) {
	r := newRunnerFixture(t, bhstand.NewStore(bhstand.StoreConfig{}), "a")
	require.Eventually(t, func() bool { return r.runner.capacity().Slots == 2 }, 30*time.Second, time.Millisecond)
	var callers []bhwire.Caller
	// The engine's next report may come between the announcements and the question.
	require.Eventually(t, func() bool {
		r.runner.reserve(bhwire.Reserve{Account: bhshare.ID("x")})
		r.runner.reserve(bhwire.Reserve{Account: bhshare.ID("y"), Priority: 1})
		callers = r.runner.capacity().Callers
		return len(callers) > 0
	}, 30*time.Second, time.Millisecond)
	priorities := make(map[uint32]int)
	for _, caller := range callers {
		priorities[caller.Account] = caller.Priority
	}
	assert.Equal(t, map[uint32]int{bhshare.ID("x"): 0, bhshare.ID("y"): 1}, priorities)
	require.Eventually(t, func() bool { return r.runner.capacity().Live == 0 }, 30*time.Second, time.Millisecond)
	assert.Empty(t, r.runner.capacity().Callers, "slots are free")
}

func TestReserveOfOtherVersionsIsUnderstood(t *testing.T) {
	r := newRunnerFixture(t, bhstand.NewStore(bhstand.StoreConfig{}), "a").runner
	whole, err := bhwire.Encode(bhwire.KindReserve, 0, map[string]any{"account": uint32(7), "priority": 2, "newer": "field"})
	require.NoError(t, err)
	assert.Equal(t, bhwire.Reserve{Account: 7, Priority: 2}, r.decodeReserve(whole))
	for name, body := range map[string][]byte{"without a body": nil, "malformed": {0xff, 0x00}, "another type": {0x01}} {
		assert.Equal(t, bhwire.Reserve{Account: bhshare.Unknown}, r.decodeReserve(bhwire.Frame{Kind: bhwire.KindReserve, Body: body}), name)
	}
}

// A room must fit into a datagram of 1,400 bytes also where an engine runs many requests.
func TestRoomOfManyCallersFitsADatagram(t *testing.T) {
	r := &Runner{slots: 128}
	for i := range 128 {
		r.callers.Announce(bhshare.ID(fmt.Sprint(i)), 1000, 0)
	}
	room := bhwire.Room{Slots: 128, Live: 128, Items: 128, Age: time.Hour, Limit: 1e9, Heard: time.Hour, Wait: time.Hour, Callers: r.contenders(128)}
	frame, err := bhwire.Encode(bhwire.KindRoom, 1<<40, room)
	require.NoError(t, err)
	data, err := bhwire.AppendFrame(nil, frame)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(data), 1400)
	assert.Len(t, room.Callers, maxCallers)
}
