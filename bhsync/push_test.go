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
	return NewArchive((&hostView{fakePlatform: platform}).platform())
}

func configForStep(step int) bhconf.Config {
	config := testConfig(4)
	config.Accounts[step%4].Rate = float64(step + 100)
	return config
}

func pushStep(t *testing.T, archive *Archive, id string, base int64, step int) PushResult {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	result, err := archive.Push(ctx, Push{ID: id, Base: base, Config: configForStep(step), Author: "op", Note: id})
	require.NoError(t, err)
	return result
}

// A push whose reply is lost must not be reported as refused if its commit can
// still take effect, nor as accepted if it did not.
func TestPushReportsActualOutcome(t *testing.T) {
	cases := map[string]struct {
		fault   func(*fakePlatform)
		outcome Outcome
		// committed reports whether the history must contain the version in the
		// end.
		committed bool
	}{
		"calm":       {func(*fakePlatform) {}, Accepted, true},
		"reply lost": {func(p *fakePlatform) { p.lostReplies = 1 }, Accepted, true},
		"commit applied after the seal": {func(p *fakePlatform) {
			p.delayedCommits, p.commitDelay = 1, 20*time.Second
		}, Refused, false},
		"commit applied before the seal": {func(p *fakePlatform) {
			p.delayedCommits, p.commitDelay = 1, time.Millisecond
		}, Accepted, true},
		"reply to the seal lost": {func(p *fakePlatform) {
			p.delayedCommits, p.commitDelay, p.lostReplies = 1, 20*time.Second, 1
		}, Refused, false},
		"outage": {func(p *fakePlatform) { p.unavailable = true }, Refused, false},
		"outage after a lost reply": {func(p *fakePlatform) {
			p.lostReplies = 1
			time.AfterFunc(20*time.Millisecond, func() { p.update(func(p *fakePlatform) { p.unavailable = true }) })
		}, Unknown, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newFakePlatform()
				archive := newArchive(platform)
				require.Equal(t, Accepted, pushStep(t, archive, "first", 0, 0).Outcome)
				platform.update(c.fault)
				result := pushStep(t, archive, "second", 1, 1)
				assert.Equal(t, c.outcome, result.Outcome, result.Message)
				time.Sleep(time.Minute)
				platform.update(func(p *fakePlatform) { p.unavailable = false })
				records, err := archive.History(t.Context(), 0, 10)
				require.NoError(t, err)
				assert.Equal(t, c.committed, records[0].ID == "second")
				again := pushStep(t, archive, "second", 1, 1)
				assert.Equal(t, Accepted, again.Outcome, "a retry of the same push finds its version")
				assert.EqualValues(t, 2, again.Version)
			})
		})
	}
}

// Of concurrent pushes with the same base, at most one may be accepted, and the
// history must hold exactly its configuration.
func TestAtMostOneConcurrentPushIsAccepted(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			platform := newFakePlatform()
			platform.update(func(p *fakePlatform) { p.lostReplies = seed % 3 })
			archive := newArchive(platform)
			first := pushStep(t, archive, "first", 0, 0)
			require.Equal(t, Accepted, first.Outcome)
			platform.update(func(p *fakePlatform) { p.lostReplies = seed % 4 })
			results := make([]PushResult, 3)
			var group sync.WaitGroup
			for i := range results {
				group.Go(func() {
					time.Sleep(time.Duration(i*seed) * time.Millisecond)
					results[i] = pushStep(t, archive, fmt.Sprint("racer-", i), 1, i+1)
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
				config, err := archive.ConfigAt(t.Context(), 2)
				require.NoError(t, err)
				assert.Equal(t, configForStep(i+1).Normalized(), config)
			}
			records, err := archive.History(t.Context(), 0, 10)
			require.NoError(t, err)
			assert.Equal(t, 1+accepted, len(records))
			assert.LessOrEqual(t, accepted, 1)
		})
	}
}

func TestArchiveReadsOldVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newFakePlatform()
		archive := newArchive(platform)
		const versions = 3*versionsPerFullCopy + 5
		for v := range versions {
			result := pushStep(t, archive, fmt.Sprint(v), int64(v), v)
			require.Equal(t, Accepted, result.Outcome, result.Message)
		}
		for _, v := range []int{1, 2, versionsPerFullCopy, versionsPerFullCopy + 1, versionsPerFullCopy + 2, versions} {
			config, err := archive.ConfigAt(t.Context(), int64(v))
			require.NoError(t, err)
			assert.Equal(t, configForStep(v-1).Normalized(), config)
		}
		records, err := archive.History(t.Context(), 50, 10)
		require.NoError(t, err)
		require.Len(t, records, 10)
		assert.EqualValues(t, 49, records[0].Version)
		assert.EqualValues(t, 40, records[9].Version)
		messages, err := archive.LoadMessages(t.Context())
		require.NoError(t, err)
		store := NewStore(StoreConfig{})
		for _, message := range messages {
			_, err := store.Apply(message)
			require.NoError(t, err)
		}
		assert.EqualValues(t, versions, store.Version())
		same := pushStep(t, archive, "same", versions, versions-1)
		assert.Equal(t, Accepted, same.Outcome)
		assert.EqualValues(t, versions, same.Version, "an unchanged configuration adds no version")
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
			assert.Less(t, len(row.Value), maxPatchBytes+1024, row.Key)
		}
		store := NewStore(StoreConfig{})
		_, err := store.Apply(fullMessageOf(t, 1, testConfig(1400)))
		require.NoError(t, err)
		messages, complete, err := archive.MessagesAfter(t.Context(), 1)
		require.NoError(t, err)
		assert.True(t, complete)
		for _, message := range messages {
			needFull, err := store.Apply(message)
			require.NoError(t, err)
			require.False(t, needFull)
		}
		assert.EqualValues(t, 4, store.Version())
	})
}
