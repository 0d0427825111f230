package bhsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhkey"
)

// acceptsKey reports whether the host accepts the key.
func acceptsKey(host *fakeHost, key string) bool {
	_, err := host.store().Authenticate(key, time.Now())
	return err == nil
}

func TestRevokedKeyIsRefusedUnderFaults(t *testing.T) {
	const key, otherKey = "account-0001/a", "account-0002/a"
	faults := map[string]struct {
		limit  time.Duration
		inject func(f *fleet)
	}{
		"no fault":          {revokeLimit, func(*fleet) {}},
		"table unavailable": {revokeLimit, func(f *fleet) { f.platform.update(func(p *fakePlatform) { p.unavailable = true }) }},
		"slow table":        {revokeLimit, func(f *fleet) { f.platform.update(func(p *fakePlatform) { p.delay = time.Minute }) }},
		"an entry partitioned from all": {propagationLimit, func(f *fleet) {
			f.host("entry-03").setPartitioned(true)
		}},
		"an entry partitioned from all, table unavailable": {propagationLimit, func(f *fleet) {
			f.host("entry-03").setPartitioned(true)
			f.platform.update(func(p *fakePlatform) { p.unavailable = true })
		}},
		"an entry that reaches only sidecars": {propagationLimit, func(f *fleet) {
			f.host("entry-03").setPartitioned(true, "sidecar-000", "sidecar-001", "sidecar-002")
		}},
		"an entry paused": {propagationLimit, func(f *fleet) { f.host("entry-03").pause() }},
		"two entries partitioned, table unavailable": {propagationLimit, func(f *fleet) {
			f.host("entry-03").setPartitioned(true)
			f.host("entry-02").setPartitioned(true)
			f.platform.update(func(p *fakePlatform) { p.unavailable = true })
		}},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 5, 5)
				defer f.close()
				time.Sleep(5 * time.Second)
				pushChange(t, f, f.host("entry-00"), 0)
				time.Sleep(propagationLimit)
				for _, entry := range entryNames(f) {
					require.True(t, acceptsKey(f.host(entry), key))
				}
				fault.inject(f)
				revokedAt := time.Now()
				go f.host("entry-00").node.Revoke(t.Context(), "op", bhkey.Digest(key))
				time.Sleep(fault.limit)
				for _, entry := range entryNames(f) {
					assert.False(t, acceptsKey(f.host(entry), key), entry)
				}
				assert.True(t, acceptsKey(f.host("entry-00"), otherKey))
				time.Sleep(time.Minute - time.Since(revokedAt))
				for _, host := range f.allHosts() {
					host.resume()
					assert.False(t, acceptsKey(host, key), host.name)
					host.setPartitioned(false)
				}
				f.platform.update(func(p *fakePlatform) { p.unavailable, p.delay = false, time.Millisecond })
				// Other keys may be accepted again only after some time, but
				// the revoked key must never be.
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					for _, entry := range entryNames(f) {
						require.False(t, acceptsKey(f.host(entry), key), entry)
					}
				}
				for _, entry := range entryNames(f) {
					assert.True(t, acceptsKey(f.host(entry), otherKey), entry)
				}
				assert.Empty(t, f.host("entry-00").node.PendingRevocations(), "durable after the outage")
			})
		})
	}
}

// A partitioned entry that reads the table again before the other entries have
// recorded their revocations there must not take that as contact: it would
// accept a key that was revoked during the outage.
func TestRevokedKeyStaysRefusedWhenTableRecoversFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const key, otherKey = "account-0001/a", "account-0002/a"
		f := newFleet(t, 5, 5)
		defer f.close()
		time.Sleep(5 * time.Second)
		pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(propagationLimit)
		partitioned := f.host("entry-03")
		partitioned.setPartitioned(true)
		f.platform.update(func(p *fakePlatform) { p.unavailable = true })
		go f.host("entry-00").node.Revoke(t.Context(), "op", bhkey.Digest(key))
		time.Sleep(propagationLimit)
		require.False(t, acceptsKey(partitioned, key))
		partitioned.mu.Lock()
		partitioned.keepsPlatform = true
		partitioned.mu.Unlock()
		for _, host := range f.allHosts() {
			host.setPlatformCut(host != partitioned)
		}
		f.platform.update(func(p *fakePlatform) { p.unavailable = false })
		for i := range 200 {
			time.Sleep(50 * time.Millisecond)
			if i == 50 {
				for _, host := range f.allHosts() {
					host.setPlatformCut(false)
				}
			}
			require.False(t, acceptsKey(partitioned, key))
		}
		assert.True(t, acceptsKey(partitioned, otherKey))
	})
}

// The entry that accepted a revocation during an outage is killed before it
// records it. Another entry must record it, so that it survives a restart of
// all hosts.
func TestRevocationSurvivesRestartOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const key = "account-0001/a"
		f := newFleet(t, 2, 2)
		defer f.close()
		time.Sleep(5 * time.Second)
		pushChange(t, f, f.host("entry-00"), 0)
		f.platform.update(func(p *fakePlatform) { p.unavailable = true })
		f.host("entry-00").node.Revoke(t.Context(), "op", bhkey.Digest(key))
		f.host("entry-00").kill()
		f.platform.update(func(p *fakePlatform) { p.unavailable = false })
		time.Sleep(30 * time.Second)
		for _, host := range f.allHosts() {
			host.kill()
		}
		for _, host := range f.allHosts() {
			host.start()
		}
		time.Sleep(propagationLimit)
		for _, entry := range entryNames(f) {
			assert.NotNil(t, f.host(entry).store().Current())
			assert.False(t, acceptsKey(f.host(entry), key))
			assert.True(t, acceptsKey(f.host(entry), "account-0001/b"))
		}
	})
}

// A partitioned entry doesn't learn of a revocation, so it must cancel its
// running requests when it loses contact.
func TestRunningRequestsEndOnPartitionedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		defer f.close()
		time.Sleep(5 * time.Second)
		pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(propagationLimit)
		partitioned := f.host("entry-02")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		running := NewRunningRequests(partitioned.store())
		go func() { _ = running.Run(ctx) }()
		identity, err := partitioned.store().Authenticate("account-0001/a", time.Now())
		require.NoError(t, err)
		request, release := running.Add(ctx, identity)
		defer release()
		partitioned.setPartitioned(true)
		f.host("entry-00").node.Revoke(t.Context(), "op", identity.Digest)
		time.Sleep(propagationLimit)
		assert.True(t, bhcode.Is(context.Cause(request), bhcode.ConfigStale))
	})
}
