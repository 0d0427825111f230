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
	other, otherDigest, err := Generate()
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
	account, _, ok = index.Lookup(other, start)
	assert.True(t, ok)
	assert.Equal(t, "agency", account)
	for _, wrong := range []string{"", key + "x", key[:len(key)-1], digest, strings.Repeat("x", MaxKey+1)} {
		_, _, ok = index.Lookup(wrong, start.Add(-time.Hour))
		assert.False(t, ok, "%q", wrong)
	}
}

func TestKeysThatShareABucketStayApart(t *testing.T) {
	key, digest, err := Generate()
	require.NoError(t, err)
	twin := digest[:len(digest)-1] + "0"
	if twin == digest {
		twin = digest[:len(digest)-1] + "1"
	}
	index := NewIndex(bhconf.Config{Accounts: []bhconf.Account{
		{Name: "twin", Keys: []bhconf.Key{{Name: "a", Digest: twin}}},
	}})
	_, _, ok := index.Lookup(key, start)
	assert.False(t, ok)
}

func TestRevocationsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digests := make([]string, 20)
		for i := range digests {
			digests[i] = Digest(strconv.Itoa(i))
		}
		hosts := []*Revocations{NewRevocations(), NewRevocations(), NewRevocations()}
		said := map[string]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			from := hosts[rapid.IntRange(0, 2).Draw(t, "from")]
			to := hosts[rapid.IntRange(0, 2).Draw(t, "to")]
			digest := rapid.SampledFrom(digests).Draw(t, "digest")
			from.Revoke(digest)
			said[digest] = true
			to.Revoke(from.After(rapid.IntRange(0, 3).Draw(t, "after"))...)
			if !from.Has(digest) {
				t.Fatal("revocation was lost")
			}
		}
		for _, a := range hosts {
			for _, b := range hosts {
				a.Revoke(b.Revoked()...)
			}
		}
		for digest := range said {
			if !hosts[0].Has(digest) {
				t.Fatal("merge lost a revocation")
			}
		}
	})
}

func TestRevocationsWakeWatchers(t *testing.T) {
	set := NewRevocations()
	watch := set.Watch()
	assert.Empty(t, set.Revoke("sha256:short"))
	select {
	case <-watch:
		t.Fatal("woken by a malformed digest")
	default:
	}
	assert.Len(t, set.Revoke(Digest("a"), Digest("a")), 1)
	<-watch
	assert.Empty(t, set.Revoke(Digest("a")))
	assert.Equal(t, 1, set.Len())
}

func TestGuardLimitsEachSourceAlone(t *testing.T) {
	guard := NewGuard(GuardConfig{Burst: 3, Refill: time.Second, Sources: 10})
	for range 3 {
		assert.Zero(t, guard.Wrong("a", start))
	}
	assert.Equal(t, time.Second, guard.Wrong("a", start))
	assert.Zero(t, guard.Wrong("b", start))
	assert.Zero(t, guard.Wrong("a", start.Add(time.Second)))
	assert.NotZero(t, guard.Wrong("a", start.Add(time.Second)))
}

func TestGuardMemoryIsBounded(t *testing.T) {
	guard := NewGuard(GuardConfig{Burst: 3, Refill: time.Second, Sources: 10})
	for i := range 1000 {
		guard.Wrong(strconv.Itoa(i), start)
		assert.LessOrEqual(t, guard.Len(), 10)
	}
	for range 4 {
		guard.Wrong("loud", start)
	}
	for i := range 5 {
		guard.Wrong("x"+strconv.Itoa(i), start)
	}
	assert.NotZero(t, guard.Wrong("loud", start), "the source nearest to its whole allowance is forgotten first")
}
