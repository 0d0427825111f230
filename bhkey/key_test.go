package bhkey

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestIndexFindsOnlyTheAccountOfTheKey(t *testing.T) {
	key, digest, err := Generate()
	require.NoError(t, err)
	otherKey, otherDigest, err := Generate()
	require.NoError(t, err)
	index := NewIndex(bhconf.Config{Accounts: []bhconf.Account{
		{Name: "zoo", Keys: []bhconf.Key{{Name: "a", Digest: digest, Expires: start}}},
		{Name: "agency", Keys: []bhconf.Key{{Name: "b", Digest: otherDigest}, {Name: "c", Digest: "sha256:xyz"}}},
	}})
	account, found, ok := index.Lookup(key, start.Add(-time.Nanosecond))
	assert.True(t, ok)
	assert.Equal(t, "zoo", account)
	assert.Equal(t, digest, found)
	_, _, ok = index.Lookup(key, start)
	assert.False(t, ok, "expired")
	account, _, ok = index.Lookup(otherKey, start)
	assert.True(t, ok)
	assert.Equal(t, "agency", account)
	for _, wrong := range []string{"", key + "x", key[:len(key)-1], digest, strings.Repeat("x", MaxKeyBytes+1)} {
		_, _, ok = index.Lookup(wrong, start.Add(-time.Hour))
		assert.False(t, ok, "%q", wrong)
	}
}

func TestDigestsWithTheSamePrefixAreDistinguished(t *testing.T) {
	key, digest, err := Generate()
	require.NoError(t, err)
	similarDigest := digest[:len(digest)-1] + "0"
	if similarDigest == digest {
		similarDigest = digest[:len(digest)-1] + "1"
	}
	index := NewIndex(bhconf.Config{Accounts: []bhconf.Account{
		{Name: "twin", Keys: []bhconf.Key{{Name: "a", Digest: similarDigest}}},
	}})
	_, _, ok := index.Lookup(key, start)
	assert.False(t, ok)
}

func TestRevocationsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]string, 20)
		for i := range candidates {
			candidates[i] = Digest(strconv.Itoa(i))
		}
		hosts := []*Revocations{NewRevocations(), NewRevocations(), NewRevocations()}
		revoked := map[string]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			from := hosts[rapid.IntRange(0, 2).Draw(t, "from")]
			to := hosts[rapid.IntRange(0, 2).Draw(t, "to")]
			digest := rapid.SampledFrom(candidates).Draw(t, "digest")
			from.Revoke(digest)
			revoked[digest] = true
			to.Revoke(from.AddedAfter(rapid.IntRange(0, 3).Draw(t, "after"))...)
			if !from.Has(digest) {
				t.Fatal("the host lost its own revocation")
			}
		}
		for _, a := range hosts {
			for _, b := range hosts {
				a.Revoke(b.Revoked()...)
			}
		}
		for digest := range revoked {
			if !hosts[0].Has(digest) {
				t.Fatal("a revocation was lost in a merge")
			}
		}
	})
}

func TestRevokeNotifiesWatchers(t *testing.T) {
	revocations := NewRevocations()
	changed := revocations.Watch()
	assert.Empty(t, revocations.Revoke("sha256:short"))
	select {
	case <-changed:
		t.Fatal("a malformed digest closed the channel of Watch")
	default:
	}
	assert.Len(t, revocations.Revoke(Digest("a"), Digest("a")), 1)
	<-changed
	assert.Empty(t, revocations.Revoke(Digest("a")))
	assert.Equal(t, 1, revocations.Len())
}

func TestBadKeysAreLimitedPerSource(t *testing.T) {
	limiter := NewBadKeyLimiter(BadKeyLimiterConfig{Burst: 3, RefillInterval: time.Second, MaxSources: 10})
	for range 3 {
		assert.Zero(t, limiter.RecordBadKey("a", start))
	}
	assert.Equal(t, time.Second, limiter.RecordBadKey("a", start))
	assert.Zero(t, limiter.RecordBadKey("b", start))
	assert.Zero(t, limiter.RecordBadKey("a", start.Add(time.Second)))
	assert.NotZero(t, limiter.RecordBadKey("a", start.Add(time.Second)))
}

func TestRememberedBadKeySourcesAreBounded(t *testing.T) {
	limiter := NewBadKeyLimiter(BadKeyLimiterConfig{Burst: 3, RefillInterval: time.Second, MaxSources: 10})
	for i := range 1000 {
		limiter.RecordBadKey(strconv.Itoa(i), start)
		assert.LessOrEqual(t, limiter.Len(), 10)
	}
	for range 4 {
		limiter.RecordBadKey("loud", start)
	}
	for i := range 5 {
		limiter.RecordBadKey("x"+strconv.Itoa(i), start)
	}
	assert.NotZero(t, limiter.RecordBadKey("loud", start), "the source whose token bucket is full next must be evicted first")
}
