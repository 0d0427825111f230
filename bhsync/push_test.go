package bhsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

func newArchive(platform *fakePlatform) *Archive {
	return NewArchive((&view{fakePlatform: platform}).platform())
}

func configAt(step int) bhconf.Config {
	config := testConfig(4)
	config.Accounts[step%4].Rate = float64(step + 100)
	return config
}

func pushAt(t *testing.T, archive *Archive, id string, base int64, step int) Result {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	result, err := archive.Push(ctx, Push{ID: id, Base: base, Config: configAt(step), Author: "op", Note: id})
	require.NoError(t, err)
	return result
}

func TestPushTellsTheTruth(t *testing.T) {
	cases := map[string]struct {
		fault   func(*fakePlatform)
		outcome Outcome
		// took is whether the version must be there in the end.
		took bool
	}{
		"calm":       {func(*fakePlatform) {}, Accepted, true},
		"reply lost": {func(p *fakePlatform) { p.loseReply = 1 }, Accepted, true},
		"write that comes late": {func(p *fakePlatform) {
			p.dropLate, p.lateBy = 1, 20*time.Second
		}, Refused, false},
		"write that comes late but before the seal": {func(p *fakePlatform) {
			p.dropLate, p.lateBy = 1, time.Millisecond
		}, Accepted, true},
		"seal's reply lost": {func(p *fakePlatform) {
			p.dropLate, p.lateBy, p.loseReply = 1, 20*time.Second, 1
		}, Refused, false},
		"outage": {func(p *fakePlatform) { p.down = true }, Refused, false},
		"outage after a lost reply": {func(p *fakePlatform) {
			p.loseReply = 1
			time.AfterFunc(20*time.Millisecond, func() { p.set(func(p *fakePlatform) { p.down = true }) })
		}, Unknown, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newFakePlatform()
				archive := newArchive(platform)
				require.Equal(t, Accepted, pushAt(t, archive, "first", 0, 0).Outcome)
				platform.set(c.fault)
				result := pushAt(t, archive, "second", 1, 1)
				assert.Equal(t, c.outcome, result.Outcome, result.Message)
				time.Sleep(time.Minute)
				platform.set(func(p *fakePlatform) { p.down = false })
				records, err := archive.History(t.Context(), 0, 10)
				require.NoError(t, err)
				assert.Equal(t, c.took, records[0].ID == "second")
				again := pushAt(t, archive, "second", 1, 1)
				assert.Equal(t, Accepted, again.Outcome, "the same push sent again finds itself")
				assert.EqualValues(t, 2, again.Version)
			})
		})
	}
}

func TestOfTwoOperatorsOneWinsWhole(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			platform := newFakePlatform()
			platform.set(func(p *fakePlatform) { p.loseReply = seed % 3 })
			archive := newArchive(platform)
			first := pushAt(t, archive, "first", 0, 0)
			require.Equal(t, Accepted, first.Outcome)
			platform.set(func(p *fakePlatform) { p.loseReply = seed % 4 })
			results := make([]Result, 3)
			var group sync.WaitGroup
			for i := range results {
				group.Go(func() {
					time.Sleep(time.Duration(i*seed) * time.Millisecond)
					results[i] = pushAt(t, archive, fmt.Sprint("racer-", i), 1, i+1)
				})
			}
			group.Wait()
			accepted := 0
			for i, result := range results {
				if result.Outcome != Accepted {
					assert.Contains(t, []Outcome{Conflict, Refused}, result.Outcome)
					continue
				}
				accepted++
				config, err := archive.At(t.Context(), 2)
				require.NoError(t, err)
				assert.Equal(t, configAt(i+1).Normalized(), config)
			}
			records, err := archive.History(t.Context(), 0, 10)
			require.NoError(t, err)
			assert.Equal(t, 1+accepted, len(records))
			assert.LessOrEqual(t, accepted, 1)
		})
	}
}

func TestHistoryAndRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newFakePlatform()
		archive := newArchive(platform)
		const versions = 3*wholeEvery + 5
		for v := range versions {
			result := pushAt(t, archive, fmt.Sprint(v), int64(v), v)
			require.Equal(t, Accepted, result.Outcome, result.Message)
		}
		for _, v := range []int{1, 2, wholeEvery, wholeEvery + 1, wholeEvery + 2, versions} {
			config, err := archive.At(t.Context(), int64(v))
			require.NoError(t, err)
			assert.Equal(t, configAt(v-1).Normalized(), config)
		}
		records, err := archive.History(t.Context(), 50, 10)
		require.NoError(t, err)
		require.Len(t, records, 10)
		assert.EqualValues(t, 49, records[0].Version)
		assert.EqualValues(t, 40, records[9].Version)
		messages, err := archive.Load(t.Context())
		require.NoError(t, err)
		store := NewStore(StoreConfig{})
		for _, message := range messages {
			_, err := store.Apply(message)
			require.NoError(t, err)
		}
		assert.EqualValues(t, versions, store.Version())
		same := pushAt(t, archive, "same", versions, versions-1)
		assert.Equal(t, Accepted, same.Outcome)
		assert.EqualValues(t, versions, same.Version, "no version without a change")
	})
}

func TestLargeChangesGoToTheObjectStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newFakePlatform()
		archive := newArchive(platform)
		for v, n := range []int{1400, 10, 1400, 1390} {
			result, err := archive.Push(t.Context(), Push{ID: fmt.Sprint(v), Base: int64(v), Config: testConfig(n)})
			require.NoError(t, err)
			require.Equal(t, Accepted, result.Outcome, result.Message)
		}
		for _, row := range platform.rows {
			assert.Less(t, len(row.Value), maxPatch+1024, row.Key)
		}
		store := NewStore(StoreConfig{})
		_, err := store.Apply(wholeOf(t, 1, testConfig(1400)))
		require.NoError(t, err)
		messages, all, err := archive.Changes(t.Context(), 1)
		require.NoError(t, err)
		assert.True(t, all)
		for _, message := range messages {
			needWhole, err := store.Apply(message)
			require.NoError(t, err)
			require.False(t, needWhole)
		}
		assert.EqualValues(t, 4, store.Version())
	})
}
