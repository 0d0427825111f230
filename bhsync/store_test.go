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

// testConfig returns a configuration with n client accounts, "account-0000" and
// so on. Each has the two keys "a" and "b", with the secrets "account-0000/a"
// and "account-0000/b".
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

func fullMessageOf(t require.TestingT, version int64, config bhconf.Config) bhwire.Config {
	snapshot, err := NewSnapshot(version, config)
	require.NoError(t, err)
	message, err := snapshot.FullMessage()
	require.NoError(t, err)
	return message
}

func changeMessageOf(t require.TestingT, base, version int64, old, next bhconf.Config) bhwire.Config {
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

func TestSmallChangeEncodesSmall(t *testing.T) {
	old := testConfig(1400)
	next := testConfig(1400)
	next.Accounts[700].Rate = 11
	body, err := Diff(old, next).Encode()
	require.NoError(t, err)
	fullConfig, err := next.Canonical()
	require.NoError(t, err)
	assert.Less(t, len(body)*500, len(fullConfig))
}

// Messages may arrive in any order and with any base. The store must skip older
// versions and changes against another base.
func TestStoreVersionNeverDecreases(t *testing.T) {
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
			message := fullMessageOf(t, version, configs[version])
			if base > 0 {
				message = changeMessageOf(t, base, version, configs[base], configs[version])
			}
			needFull, err := store.Apply(message)
			require.NoError(t, err)
			current := store.Version()
			require.GreaterOrEqual(t, current, last)
			switch {
			case version <= last:
				require.Equal(t, last, current)
			case base == 0 || base == last:
				require.Equal(t, version, current)
			default:
				require.True(t, needFull)
				require.Equal(t, last, current)
			}
			if last = current; last > 0 {
				want, err := configs[last].Digest()
				require.NoError(t, err)
				require.Equal(t, want, store.Current().Digest)
			}
		}
	})
}

func TestStoreRefusesDigestMismatch(t *testing.T) {
	store := NewStore(StoreConfig{})
	message := fullMessageOf(t, 1, testConfig(3))
	message.Digest = bhkey.Digest("other")
	needFull, err := store.Apply(message)
	assert.True(t, needFull)
	assert.True(t, bhcode.Is(err, bhcode.ConfigInvalid))
	assert.Nil(t, store.Current())
}

func TestMessagesSinceUpdatesPeer(t *testing.T) {
	store := NewStore(StoreConfig{})
	config := testConfig(5)
	_, err := store.Apply(fullMessageOf(t, 1, config))
	require.NoError(t, err)
	for v := int64(2); v <= maxKeptChanges+10; v++ {
		next := testConfig(5)
		next.Accounts[0].Rate = float64(v)
		_, err := store.Apply(changeMessageOf(t, v-1, v, config, next))
		require.NoError(t, err)
		config = next
	}
	for version := range int64(maxKeptChanges + 11) {
		peer := NewStore(StoreConfig{})
		if version > 0 {
			peerConfig := testConfig(5)
			if version > 1 {
				peerConfig.Accounts[0].Rate = float64(version)
			}
			_, err := peer.Apply(fullMessageOf(t, version, peerConfig))
			require.NoError(t, err)
		}
		messages, err := store.MessagesSince(version)
		require.NoError(t, err)
		for _, message := range messages {
			needFull, err := peer.Apply(message)
			require.NoError(t, err)
			require.False(t, needFull)
		}
		require.Equal(t, store.Current().Digest, peer.Current().Digest)
	}
}

func TestAuthenticate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(StoreConfig{})
		_, err := store.Authenticate("account-0000/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.NoConfiguration))
		_, err = store.Apply(fullMessageOf(t, 1, testConfig(2)))
		require.NoError(t, err)
		_, err = store.Authenticate("account-0000/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.ConfigStale), "no contact yet")
		store.ConfirmContact(time.Now())
		identity, err := store.Authenticate("account-0000/a", time.Now())
		require.NoError(t, err)
		assert.Equal(t, "account-0000", identity.Account)
		store.Revocations.Revoke(identity.Digest)
		_, err = store.Authenticate("account-0000/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.Unauthorized))
		sent := time.Now()
		time.Sleep(DefaultTrustPeriod + 1)
		_, err = store.Authenticate("account-0001/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.ConfigStale))
		store.ConfirmContact(sent)
		assert.False(t, store.KeysTrusted(time.Now()), "an answer confirms contact only as of the send time of its probe")
	})
}

func TestRunningRequestsEndWhenKeyIsWithdrawn(t *testing.T) {
	withdrawals := map[string]func(*Store){
		"revoked": func(s *Store) { s.Revocations.Revoke(bhkey.Digest("account-0000/a")) },
		"dropped": func(s *Store) {
			next := testConfig(2)
			next.Accounts[0].Keys = next.Accounts[0].Keys[1:]
			_, err := s.Apply(fullMessageOf(t, 2, next))
			require.NoError(t, err)
		},
		"moved": func(s *Store) {
			next := testConfig(2)
			next.Accounts[0].Keys, next.Accounts[1].Keys = next.Accounts[1].Keys, next.Accounts[0].Keys
			_, err := s.Apply(fullMessageOf(t, 2, next))
			require.NoError(t, err)
		},
	}
	for name, withdraw := range withdrawals {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := NewStore(StoreConfig{})
				store.SetOnlyEntry(true)
				_, err := store.Apply(fullMessageOf(t, 1, testConfig(2)))
				require.NoError(t, err)
				running := NewRunningRequests(store)
				go func() { _ = running.Run(ctx) }()
				identity, err := store.Authenticate("account-0000/a", time.Now())
				require.NoError(t, err)
				request, release := running.Add(ctx, identity)
				time.Sleep(time.Hour)
				require.NoError(t, request.Err())
				withdraw(store)
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

// After a pause of the process, the first checks find no recent contact.
// Requests must not be cancelled if contact is regained soon after.
func TestRunningRequestsSurviveProcessPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := NewStore(StoreConfig{})
		_, err := store.Apply(fullMessageOf(t, 1, testConfig(2)))
		require.NoError(t, err)
		store.ConfirmContact(time.Now())
		running := NewRunningRequests(store)
		identity, err := store.Authenticate("account-0000/a", time.Now())
		require.NoError(t, err)
		request, release := running.Add(ctx, identity)
		defer release()
		time.Sleep(time.Minute)
		go func() { _ = running.Run(ctx) }()
		time.Sleep(contactCheckInterval + time.Millisecond)
		require.NoError(t, request.Err())
		store.ConfirmContact(time.Now())
		time.Sleep(DefaultTrustPeriod)
		require.NoError(t, request.Err())
		time.Sleep(time.Second)
		assert.NoError(t, request.Err())
		time.Sleep(time.Second)
		assert.True(t, bhcode.Is(context.Cause(request), bhcode.ConfigStale))
		cancel()
		synctest.Wait()
	})
}
