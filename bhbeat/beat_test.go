package bhbeat

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

func drawLoads(t *rapid.T) []bhwire.Load {
	var loads []bhwire.Load
	for i := range rapid.IntRange(0, 3).Draw(t, "upstreams") {
		loads = append(loads, bhwire.Load{
			Upstream: string(rune('a' + i)),
			Group:    "g",
			Serving:  rapid.Bool().Draw(t, "serving"),
			Models:   []string{rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")},
			Slots:    8,
		})
	}
	return loads
}

// The receiver has the sender's state at the latest one heartbeat after the state
// stopped changing, and returns each changed load.
func TestReceiverReproducesSenderState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender Sender
		var receiver Receiver
		reported := make(map[string]bhwire.Load)
		state := State{Loads: drawLoads(t)}
		sendHeartbeat := func() State {
			frame, err := sender.Next(state)
			require.NoError(t, err)
			known, changed, err := receiver.Apply(frame)
			require.NoError(t, err)
			for _, load := range changed {
				reported[load.Upstream] = load
			}
			return known
		}
		for range rapid.IntRange(1, 20).Draw(t, "beats") {
			if rapid.IntRange(0, 9).Draw(t, "reshape") == 0 {
				state.Loads = drawLoads(t)
			}
			state.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			state.Config += rapid.Int64Range(0, 1).Draw(t, "config")
			for i := range state.Loads {
				state.Loads[i].Running = rapid.IntRange(0, 3).Draw(t, "running")
				state.Loads[i].Work = rapid.Int64Range(0, 5).Draw(t, "work")
			}
			known := sendHeartbeat()
			require.Equal(t, state.Leaving, known.Leaving)
			require.Equal(t, state.Config, known.Config)
		}
		known := sendHeartbeat()
		require.Len(t, known.Loads, len(state.Loads))
		for i, load := range state.Loads {
			require.Equal(t, load, known.Loads[i])
			require.Equal(t, load, reported[load.Upstream])
		}
	})
}

func TestInvalidWorkMessagesAreRefused(t *testing.T) {
	for name, work := range map[string]bhwire.Work{
		"beyond":    {1, 0, 0, 0},
		"negative":  {-1, 0, 0, 0},
		"cut short": {0, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			receiver := Receiver{state: State{Loads: make([]bhwire.Load, 1)}}
			frame, err := bhwire.Encode(bhwire.KindWork, 0, work)
			require.NoError(t, err)
			_, _, err = receiver.Apply(frame)
			assert.True(t, bhcode.Is(err, bhcode.FrameInvalid), "%v", err)
		})
	}
}

// The heartbeats of 320 sidecars with two upstreams each, all of whose counters
// change between heartbeats, must leave room in an entry's budget of 14 KB/s for
// control traffic.
func TestHeartbeatsFitTheControlBudget(t *testing.T) {
	const (
		sidecars             = 320
		beatsPerSecond       = 1 / 0.9
		websocketBytes       = 4
		budgetBytesPerSecond = 14_000
	)
	loads := make([]bhwire.Load, 2)
	var sender Sender
	_, err := sender.Next(State{Loads: loads})
	require.NoError(t, err)
	for i := range loads {
		loads[i] = bhwire.Load{Running: 16, Queued: 3, Work: 40_000}
	}
	nextHeartbeatBytes := func() int {
		frame, err := sender.Next(State{Loads: loads})
		require.NoError(t, err)
		data, err := bhwire.AppendFrame(nil, frame)
		require.NoError(t, err)
		return len(data) + websocketBytes
	}
	busy, idle := nextHeartbeatBytes(), nextHeartbeatBytes()
	t.Logf("busy %d bytes, idle %d bytes a heartbeat", busy, idle)
	assert.Less(t, float64(busy)*beatsPerSecond*sidecars, float64(budgetBytesPerSecond))
	assert.Less(t, float64(idle)*beatsPerSecond*sidecars, float64(budgetBytesPerSecond)/2)
}
