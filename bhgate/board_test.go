package bhgate

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

func instances(ids ...string) []bhwatch.Instance {
	var result []bhwatch.Instance
	for _, id := range ids {
		result = append(result, bhwatch.Instance{ID: id, Slots: 4, Zone: "here"})
	}
	return result
}

// picked returns how often each instance is chosen, without ending the requests.
func picked(b *Balancer, count int, list []bhwatch.Instance) map[string]int {
	result := make(map[string]int)
	for range count {
		if instance, ok := b.Pick(list, nil, nil); ok {
			result[instance.ID]++
		}
	}
	return result
}

func TestPickSpreadsByLoadAndSlots(t *testing.T) {
	list := instances("a", "b", "c")
	list[2].Slots = 8
	got := picked(NewBalancer("here", bhlog.Nop()), 160, list)
	assert.InDelta(t, 40, got["a"], 4)
	assert.InDelta(t, 40, got["b"], 4)
	assert.InDelta(t, 80, got["c"], 4)
}

func TestPickPrefersTheOwnCentreAmongEquals(t *testing.T) {
	list := instances("far", "near")
	list[0].Zone = "there"
	board := NewBalancer("here", bhlog.Nop())
	for range 20 {
		instance, _ := board.Pick(list, nil, nil)
		assert.Equal(t, "near", instance.ID)
		board.Done("near")
	}
	picked(board, 1, list[1:])
	assert.Equal(t, map[string]int{"far": 1}, picked(board, 1, list), "load goes first")
}

func TestFailingUpstreamsRestLongerEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := NewBalancer("here", bhlog.Nop())
		rested := func() time.Duration {
			start := time.Now()
			for {
				instance, _ := board.Pick(instances("a", "b"), nil, nil)
				board.Done(instance.ID)
				if instance.ID == "a" {
					return time.Since(start)
				}
				time.Sleep(time.Millisecond)
			}
		}
		var last time.Duration
		for range 4 {
			board.Failed("a", errors.New("reset"))
			rest := rested()
			assert.Greater(t, rest, last+last/2)
			last = rest
		}
		board.Answered("a")
		board.Failed("a", errors.New("reset"))
		assert.Less(t, rested(), last, "an answer ends the count")
	})
}

func TestOnlyRestingUpstreamsAreStillTried(t *testing.T) {
	board := NewBalancer("here", bhlog.Nop())
	board.Failed("a", errors.New("reset"))
	assert.Equal(t, 1, picked(board, 1, instances("a"))["a"])
}

func TestMovedUpstreamsGetNothingForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := NewBalancer("here", bhlog.Nop())
		board.Moved("a")
		assert.Empty(t, picked(board, 1, instances("a")), "sending there would use up the attempts")
		time.Sleep(goneTime)
		assert.Equal(t, 1, picked(board, 1, instances("a"))["a"])
	})
}

func TestUnusedUpstreamsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := NewBalancer("here", bhlog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- board.Run(ctx) }()
		picked(board, 1, instances("busy"))
		picked(board, 1, instances("idle"))
		board.Done("idle")
		time.Sleep(3 * pruneInterval)
		cancel()
		<-done
		assert.Contains(t, board.upstreams, "busy")
		assert.NotContains(t, board.upstreams, "idle")
	})
}

// keeperOf returns the address of a made-up keeper.
func keeperOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1)
}

func TestPickPrefersTheEngineWithMostRoom(t *testing.T) {
	list := instances("full", "free", "silent", "stuck", "unlisted")
	for i := range list {
		list[i].Keeper = keeperOf(i)
	}
	rooms := map[netip.AddrPort]bhwire.Room{
		keeperOf(0): {Slots: 8, Live: 8},
		keeperOf(1): {Slots: 8, Live: 2, Items: 6},
		keeperOf(3): {Slots: 8, Age: time.Second},
		keeperOf(4): {Live: 0},
	}
	board := NewBalancer("here", bhlog.Nop())
	excluded := make(map[string]bool)
	var order []string
	for range list {
		instance, ok := board.Pick(list, excluded, rooms)
		require.True(t, ok)
		excluded[instance.ID] = true
		order = append(order, instance.ID)
	}
	assert.Equal(t, "free", order[0])
	assert.ElementsMatch(t, []string{"silent", "unlisted"}, order[1:3])
	assert.Equal(t, []string{"full", "stuck"}, order[3:])
}

func TestSampleAvoidsWhatCantServe(t *testing.T) {
	list := instances("near1", "near2", "near3", "near4", "far1", "far2", "far3", "far4", "draining", "resting", "excluded")
	for i := 4; i < 8; i++ {
		list[i].Zone = "there"
	}
	list[8].Draining = true
	board := NewBalancer("here", bhlog.Nop())
	board.Failed("resting", errors.New("reset"))
	excluded := map[string]bool{"excluded": true}
	drawn := make(map[string]int)
	for range 400 {
		sample := board.Sample(list, excluded, 4)
		require.Len(t, sample, 4)
		near := 0
		for _, instance := range sample {
			drawn[instance.ID]++
			if instance.Zone == "here" {
				near++
			}
		}
		assert.GreaterOrEqual(t, near, 2)
	}
	assert.Len(t, drawn, 8, "each that can serve, and no other: %v", drawn)
	assert.Len(t, board.Sample(list, excluded, 20), 9, "resting ones are the last resort")
}
