package bhcache

import (
	"math"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhstand"
)

// A reader that applies the changes returned by After has the cache's contents,
// except for blocks that changed among dropped changes; After then reports a gap.
func TestAfterReportsLatestStatesAndGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log Log
		var cursor Cursor
		expected, observed := map[uint64]bool{}, map[uint64]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "reads") {
			n := rapid.SampledFrom([]int{0, 1, 5, 50, LogSize, 3 * LogSize}).Draw(t, "changes")
			for i := range n {
				change := Change{Hash: uint64(i % 7), Stored: rapid.Bool().Draw(t, "stored")}
				log.Add(change)
				expected[change.Hash] = change.Stored
			}
			changes, next := log.After(cursor, math.MaxInt)
			require.LessOrEqual(t, cursor, next)
			require.Equal(t, n > 2*LogSize, changes.Gap)
			cursor = next
			for _, hash := range changes.Cached {
				observed[hash] = true
			}
			for _, hash := range changes.Evicted {
				observed[hash] = false
			}
			require.Equal(t, expected, observed)
			rest, _ := log.After(cursor, math.MaxInt)
			require.True(t, rest.Empty())
		}
	})
}

func TestFollowerAddsGapForMissingEventsAndRestarts(t *testing.T) {
	stored := func(seq uint64) cacheEvent { return cacheEvent{Seq: seq, Kind: kindStore, Block: seq * SampleEvery} }
	for name, test := range map[string]struct {
		replies []eventsReply
		gaps    int
		cached  int
	}{
		"in order":       {[]eventsReply{{Epoch: 1, Events: []cacheEvent{stored(1), stored(2)}}, {Epoch: 1, Events: []cacheEvent{stored(3)}}}, 0, 3},
		"one missing":    {[]eventsReply{{Epoch: 1, Events: []cacheEvent{stored(1)}}, {Epoch: 1, Events: []cacheEvent{stored(3)}}}, 1, 2},
		"sent twice":     {[]eventsReply{{Epoch: 1, Events: []cacheEvent{stored(1)}}, {Epoch: 1, Events: []cacheEvent{stored(1), stored(2)}}}, 0, 2},
		"engine restart": {[]eventsReply{{Epoch: 1, Events: []cacheEvent{stored(1), stored(2)}}, {Epoch: 2, Events: []cacheEvent{stored(1)}}}, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			log := &Log{}
			follower := NewFollower(FollowerConfig{Log: log})
			for _, reply := range test.replies {
				follower.apply(reply)
			}
			gaps := 0
			for _, change := range log.changes[1:] {
				if change.Gap {
					gaps++
				}
			}
			assert.True(t, log.changes[0].Gap, "nothing is known at the start")
			assert.Equal(t, test.gaps, gaps)
			changes, _ := log.After(0, math.MaxInt)
			assert.Len(t, changes.Cached, test.cached)
		})
	}
}

func TestFollowerReadsEventsOfStandInEngine(t *testing.T) {
	engine := bhstand.NewEngine(bhstand.EngineConfig{Name: "e", Models: map[string]string{"m": "1"}})
	server := httptest.NewServer(engine)
	defer server.Close()
	log := &Log{}
	follower := NewFollower(FollowerConfig{URL: server.URL, Client: http.DefaultClient, Log: log})
	reply, err := follower.fetchEvents(t.Context())
	require.NoError(t, err)
	follower.apply(reply)
	assert.True(t, follower.epochKnown)
}

func TestAfterWithLimitReturnsRestLater(t *testing.T) {
	log := &Log{}
	for i := range 10 {
		log.Add(Change{Hash: uint64(i), Stored: true})
	}
	first, cursor := log.After(0, 4)
	assert.Equal(t, []uint64{0, 1, 2, 3}, first.Cached)
	second, _ := log.After(cursor, 100)
	assert.Equal(t, []uint64{4, 5, 6, 7, 8, 9}, second.Cached)
}
