package bhstand

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

func startPlatform(t *testing.T, config PlatformConfig) (*Platform, bhplatform.Platform) {
	t.Helper()
	platform := NewPlatform(config)
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	client := bhplatform.NewClient(bhplatform.ClientConfig{URL: server.URL})
	t.Cleanup(func() { _ = client.Close() })
	return platform, client.Platform()
}

func TestCommitIsAllOrNothing(t *testing.T) {
	_, platform := startPlatform(t, PlatformConfig{})
	ctx := context.Background()
	versions, err := platform.Table.Commit(ctx, bhplatform.Write{Key: "a", Value: []byte("1")})
	require.NoError(t, err)
	_, err = platform.Table.Commit(ctx,
		bhplatform.Write{Key: "b", Value: []byte("1")},
		bhplatform.Write{Key: "a", Value: []byte("2"), Expect: versions[0] + 1},
	)
	require.True(t, bhcode.Is(err, bhcode.PlatformConflict), "%v", err)
	_, err = platform.Table.Get(ctx, "b")
	assert.True(t, bhcode.Is(err, bhcode.NotFound), "%v", err)
	row, err := platform.Table.Get(ctx, "a")
	require.NoError(t, err)
	assert.Equal(t, bhplatform.Row{Key: "a", Value: []byte("1"), Version: versions[0]}, row)
}

func TestCheckTestsWithoutWriting(t *testing.T) {
	platform, client := startPlatform(t, PlatformConfig{})
	ctx := context.Background()
	versions, err := client.Table.Commit(ctx, bhplatform.Write{Key: "a"})
	require.NoError(t, err)
	checked, err := client.Table.Commit(ctx,
		bhplatform.Write{Key: "a", Expect: versions[0], Check: true},
		bhplatform.Write{Key: "b"},
	)
	require.NoError(t, err)
	assert.Equal(t, bhplatform.Version(0), checked[0])
	assert.Equal(t, 2, platform.Counts().Rows)
	_, err = client.Table.Commit(ctx, bhplatform.Write{Key: "a", Check: true})
	assert.True(t, bhcode.Is(err, bhcode.PlatformConflict), "%v", err)
}

// The table is compared with a plain map for random histories: conditions,
// versions that are never reused and the order of lists.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		model := make(map[string]bhplatform.Row)
		used := make(map[bhplatform.Version]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "aa", "ab", "b"}).Draw(t, "key")
			write := bhplatform.Write{Key: key, Delete: rapid.Bool().Draw(t, "delete")}
			current := model[key].Version
			write.Expect = rapid.SampledFrom([]bhplatform.Version{
				bhplatform.Any, bhplatform.Absent, current, current + 1,
			}).Draw(t, "expect")
			versions, err := table.commit([]bhplatform.Write{write})
			require.Equal(t, write.Expect == bhplatform.Any || write.Expect == current, err == nil)
			if err != nil {
				continue
			}
			if write.Delete {
				delete(model, key)
				continue
			}
			require.False(t, used[versions[0]], "version reused")
			used[versions[0]] = true
			model[key] = bhplatform.Row{Key: key, Version: versions[0]}
		}
		var want []bhplatform.Row
		for _, key := range []string{"aa", "ab"} {
			if row, ok := model[key]; ok {
				want = append(want, row)
			}
		}
		require.ElementsMatch(t, want, table.list("a", "a", 0))
		first := table.list("", "", 1)
		require.Len(t, first, min(1, len(model)))
	})
}

func TestListPages(t *testing.T) {
	_, platform := startPlatform(t, PlatformConfig{})
	ctx := context.Background()
	for i := range 5 {
		_, err := platform.Table.Commit(ctx, bhplatform.Write{Key: fmt.Sprintf("p/%d", i)})
		require.NoError(t, err)
	}
	_, err := platform.Table.Commit(ctx, bhplatform.Write{Key: "q"})
	require.NoError(t, err)
	var keys []string
	for after := ""; ; {
		rows, err := platform.Table.List(ctx, "p/", after, 2)
		require.NoError(t, err)
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			keys = append(keys, row.Key)
			after = row.Key
		}
	}
	assert.Equal(t, []string{"p/0", "p/1", "p/2", "p/3", "p/4"}, keys)
}

func TestLostReplyTakesEffect(t *testing.T) {
	platform, client := startPlatform(t, PlatformConfig{})
	ctx := context.Background()
	platform.Switch(Faults{Lose: 1})
	_, err := client.Table.Commit(ctx, bhplatform.Write{Key: "a", Value: []byte("1")})
	require.True(t, bhcode.Is(err, bhcode.PlatformUnknown), "%v", err)
	row, err := client.Table.Get(ctx, "a")
	require.NoError(t, err)
	assert.Equal(t, "1", string(row.Value))
	assert.Equal(t, 1, platform.Counts().Commits, "the client must not repeat a write")
	_, err = client.Table.Commit(ctx, bhplatform.Write{Key: "b"})
	assert.NoError(t, err)
}

func TestOutageHasNoEffect(t *testing.T) {
	platform, client := startPlatform(t, PlatformConfig{})
	ctx := context.Background()
	platform.Switch(Faults{Outage: true})
	_, err := client.Table.Commit(ctx, bhplatform.Write{Key: "a"})
	require.True(t, bhcode.Is(err, bhcode.PlatformUnavailable), "%v", err)
	err = client.Objects.Put(ctx, "o", strings.NewReader("x"))
	require.True(t, bhcode.Is(err, bhcode.PlatformUnavailable), "%v", err)
	platform.Switch(Faults{Objects: true})
	_, err = client.Table.Get(ctx, "a")
	assert.True(t, bhcode.Is(err, bhcode.NotFound), "%v", err)
	_, err = client.Objects.Get(ctx, "o", 0)
	assert.True(t, bhcode.Is(err, bhcode.PlatformUnavailable), "%v", err)
}

func TestObjects(t *testing.T) {
	_, platform := startPlatform(t, PlatformConfig{})
	ctx := context.Background()
	require.NoError(t, platform.Objects.Put(ctx, "batch/1//in", strings.NewReader("hello")))
	body, err := platform.Objects.Get(ctx, "batch/1//in", 2)
	require.NoError(t, err)
	data, err := io.ReadAll(body)
	require.NoError(t, err)
	require.NoError(t, body.Close())
	assert.Equal(t, "llo", string(data))
	require.NoError(t, platform.Objects.Delete(ctx, "batch/1//in"))
	require.NoError(t, platform.Objects.Delete(ctx, "batch/1//in"))
	_, err = platform.Objects.Get(ctx, "batch/1//in", 0)
	assert.True(t, bhcode.Is(err, bhcode.NotFound), "%v", err)
}

func TestHostListLags(t *testing.T) {
	l := newLagged(time.Hour, 1)
	l.Set(2)
	assert.Equal(t, 1, l.Get())
	l = newLagged(0, 1)
	l.Set(2)
	assert.Equal(t, 2, l.Get())

	_, platform := startPlatform(t, PlatformConfig{})
	ctx := context.Background()
	host := bhplatform.Host{Name: "e1", Role: "entry", State: bhplatform.HostLive}
	require.NoError(t, platform.Hosts.Announce(ctx, host))
	hosts, err := platform.Hosts.Hosts(ctx)
	require.NoError(t, err)
	assert.Equal(t, []bhplatform.Host{host}, hosts)
}

func TestSwitchKeepsFaultsThatItDoesNotName(t *testing.T) {
	platform, _ := startPlatform(t, PlatformConfig{})
	platform.Switch(Faults{Slow: bhconf.Duration(time.Millisecond)})
	request := httptest.NewRequest("POST", PathSwitch, strings.NewReader(`{"lose":2}`))
	platform.ServeHTTP(httptest.NewRecorder(), request)
	assert.Equal(t, Faults{Slow: bhconf.Duration(time.Millisecond), Lose: 2}, platform.Faults())
}
