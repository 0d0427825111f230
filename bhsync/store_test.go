package bhsync

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// testConfig returns a configuration with n accounts of two keys each, named so
// that the key is known from the account.
func testConfig(n int) bhconf.Config {
	config := bhconf.Config{Format: bhconf.Format}
	for i := range n {
		name := fmt.Sprintf("account-%04d", i)
		config.Accounts = append(config.Accounts, bhconf.Account{
			Name: name, Rate: 10, Burst: 20,
			Keys: []bhconf.Key{{Name: "a", Digest: bhkey.Digest(name + "/a")}, {Name: "b", Digest: bhkey.Digest(name + "/b")}},
		})
	}
	return config
}

func wholeOf(t require.TestingT, version int64, config bhconf.Config) bhwire.Config {
	snapshot, err := NewSnapshot(version, config)
	require.NoError(t, err)
	message, err := snapshot.Whole()
	require.NoError(t, err)
	return message
}

func changeOf(t require.TestingT, base, version int64, old, next bhconf.Config) bhwire.Config {
	body, err := Diff(old, next).Encode()
	require.NoError(t, err)
	digest, err := next.Digest()
	require.NoError(t, err)
	return bhwire.Config{Version: version, Base: base, Digest: digest, Body: body}
}

func drawConfig(t *rapid.T, label string) bhconf.Config {
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 12), 0, 8, rapid.ID[int]).Draw(t, label)
	config := bhconf.Config{Format: bhconf.Format}
	for _, n := range names {
		name := strconv.Itoa(n)
		rate := float64(rapid.IntRange(1, 3).Draw(t, "rate"))
		config.Accounts = append(config.Accounts, bhconf.Account{Name: "a" + name, Rate: rate, Burst: 1,
			Keys: []bhconf.Key{{Name: "k", Digest: bhkey.Digest(name), Expires: time.Unix(int64(n), 0)}}})
		config.Groups = append(config.Groups, bhconf.Group{Name: "g" + name, Kind: bhconf.KindPlain})
		config.Upstreams = append(config.Upstreams, bhconf.Upstream{Name: "u" + name, Group: "g" + name, Slots: int(rate)})
		config.Routes = append(config.Routes, bhconf.Route{Prefix: "/" + name, Group: "g" + name, Timeout: bhconf.Duration(rate)})
		config.Models = append(config.Models, bhconf.Model{Name: "m" + name, Version: fmt.Sprint(rate)})
	}
	return config
}

func TestPatchOfDiffGivesTheSameBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawConfig(t, "old"), drawConfig(t, "next")
		body, err := Diff(old, next).Encode()
		require.NoError(t, err)
		change, err := decodeChange(body)
		require.NoError(t, err)
		want, err := next.Canonical()
		require.NoError(t, err)
		got, err := Patch(old.Normalized(), change).Canonical()
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	})
}

func TestChangeIsSmall(t *testing.T) {
	old := testConfig(1400)
	next := testConfig(1400)
	next.Accounts[700].Rate = 11
	body, err := Diff(old, next).Encode()
	require.NoError(t, err)
	whole, err := next.Canonical()
	require.NoError(t, err)
	assert.Less(t, len(body)*500, len(whole))
}

func TestStoreNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const versions = 8
		configs := make([]bhconf.Config, versions+1)
		for v := range configs {
			configs[v] = drawConfig(t, "config")
		}
		store := NewStore(StoreConfig{})
		last := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			version := rapid.Int64Range(1, versions).Draw(t, "version")
			base := rapid.Int64Range(0, version-1).Draw(t, "base")
			message := wholeOf(t, version, configs[version])
			if base > 0 {
				message = changeOf(t, base, version, configs[base], configs[version])
			}
			needWhole, err := store.Apply(message)
			require.NoError(t, err)
			now := store.Version()
			require.GreaterOrEqual(t, now, last)
			switch {
			case version <= last:
				require.Equal(t, last, now)
			case base == 0 || base == last:
				require.Equal(t, version, now)
			default:
				require.True(t, needWhole)
				require.Equal(t, last, now)
			}
			if last = now; last > 0 {
				want, err := configs[last].Digest()
				require.NoError(t, err)
				require.Equal(t, want, store.Current().Digest)
			}
		}
	})
}

func TestStoreRefusesAnotherContent(t *testing.T) {
	store := NewStore(StoreConfig{})
	message := wholeOf(t, 1, testConfig(3))
	message.Digest = bhkey.Digest("other")
	needWhole, err := store.Apply(message)
	assert.True(t, needWhole)
	assert.True(t, bhcode.Is(err, bhcode.ConfigInvalid))
	assert.Nil(t, store.Current())
}

func TestSinceBringsAPeerForward(t *testing.T) {
	store := NewStore(StoreConfig{})
	config := testConfig(5)
	_, err := store.Apply(wholeOf(t, 1, config))
	require.NoError(t, err)
	for v := int64(2); v <= keptChanges+10; v++ {
		next := testConfig(5)
		next.Accounts[0].Rate = float64(v)
		_, err := store.Apply(changeOf(t, v-1, v, config, next))
		require.NoError(t, err)
		config = next
	}
	for version := range int64(keptChanges + 11) {
		peer := NewStore(StoreConfig{})
		if version > 0 {
			was := testConfig(5)
			if version > 1 {
				was.Accounts[0].Rate = float64(version)
			}
			_, err := peer.Apply(wholeOf(t, version, was))
			require.NoError(t, err)
		}
		messages, err := store.Since(version)
		require.NoError(t, err)
		for _, message := range messages {
			needWhole, err := peer.Apply(message)
			require.NoError(t, err)
			require.False(t, needWhole)
		}
		require.Equal(t, store.Current().Digest, peer.Current().Digest)
	}
}

func TestAuthenticate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(StoreConfig{})
		_, err := store.Authenticate("account-0000/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.NoConfiguration))
		_, err = store.Apply(wholeOf(t, 1, testConfig(2)))
		require.NoError(t, err)
		_, err = store.Authenticate("account-0000/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.ConfigStale), "never in contact")
		store.Confirm(time.Now())
		identity, err := store.Authenticate("account-0000/a", time.Now())
		require.NoError(t, err)
		assert.Equal(t, "account-0000", identity.Account)
		store.Revocations.Revoke(identity.Digest)
		_, err = store.Authenticate("account-0000/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.Unauthorized))
		sent := time.Now()
		time.Sleep(DefaultTrust + 1)
		_, err = store.Authenticate("account-0001/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.ConfigStale))
		store.Confirm(sent)
		assert.False(t, store.Trusted(time.Now()), "a late answer proves nothing newer than its question")
	})
}

func TestRunningRequestsEndWithTheirKey(t *testing.T) {
	withdraw := map[string]func(*Store){
		"revoked": func(s *Store) { s.Revocations.Revoke(bhkey.Digest("account-0000/a")) },
		"dropped": func(s *Store) {
			next := testConfig(2)
			next.Accounts[0].Keys = next.Accounts[0].Keys[1:]
			_, err := s.Apply(wholeOf(t, 2, next))
			require.NoError(t, err)
		},
		"moved": func(s *Store) {
			next := testConfig(2)
			next.Accounts[0].Keys, next.Accounts[1].Keys = next.Accounts[1].Keys, next.Accounts[0].Keys
			_, err := s.Apply(wholeOf(t, 2, next))
			require.NoError(t, err)
		},
	}
	for name, act := range withdraw {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := NewStore(StoreConfig{})
				store.SetAlone(true)
				_, err := store.Apply(wholeOf(t, 1, testConfig(2)))
				require.NoError(t, err)
				running := NewRunning(store)
				go func() { _ = running.Run(ctx) }()
				identity, err := store.Authenticate("account-0000/a", time.Now())
				require.NoError(t, err)
				request, release := running.Add(ctx, identity)
				time.Sleep(time.Hour)
				require.NoError(t, request.Err())
				act(store)
				synctest.Wait()
				assert.True(t, bhcode.Is(context.Cause(request), bhcode.KeyRevoked))
				release()
				assert.Zero(t, running.Len())
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestRunningRequestsOutliveAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := NewStore(StoreConfig{})
		_, err := store.Apply(wholeOf(t, 1, testConfig(2)))
		require.NoError(t, err)
		store.Confirm(time.Now())
		running := NewRunning(store)
		identity, err := store.Authenticate("account-0000/a", time.Now())
		require.NoError(t, err)
		request, release := running.Add(ctx, identity)
		defer release()
		time.Sleep(time.Minute)
		go func() { _ = running.Run(ctx) }()
		time.Sleep(runningInterval + time.Millisecond)
		require.NoError(t, request.Err())
		store.Confirm(time.Now())
		time.Sleep(DefaultTrust)
		require.NoError(t, request.Err())
		time.Sleep(time.Second)
		assert.NoError(t, request.Err())
		time.Sleep(time.Second)
		assert.True(t, bhcode.Is(context.Cause(request), bhcode.ConfigStale))
		cancel()
		synctest.Wait()
	})
}
