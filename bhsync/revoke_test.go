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

// works reports whether an entry accepts the key.
func works(host *fakeHost, key string) bool {
	_, err := host.store().Authenticate(key, time.Now())
	return err == nil
}

func TestARevokedKeyStops(t *testing.T) {
	const key, other = "account-0001/a", "account-0002/a"
	faults := map[string]struct {
		limit time.Duration
		act   func(f *fleet)
	}{
		"in calm":    {revokeCalm, func(*fleet) {}},
		"table down": {revokeCalm, func(f *fleet) { f.platform.set(func(p *fakePlatform) { p.down = true }) }},
		"slow table": {revokeCalm, func(f *fleet) { f.platform.set(func(p *fakePlatform) { p.delay = time.Minute }) }},
		"an entry cut off from all": {forceLimit, func(f *fleet) {
			f.host("entry-03").setCut(true)
		}},
		"an entry cut off from all, table down": {forceLimit, func(f *fleet) {
			f.host("entry-03").setCut(true)
			f.platform.set(func(p *fakePlatform) { p.down = true })
		}},
		"an entry that reaches only sidecars": {forceLimit, func(f *fleet) {
			f.host("entry-03").setCut(true, "sidecar-000", "sidecar-001", "sidecar-002")
		}},
		"an entry frozen": {forceLimit, func(f *fleet) { f.host("entry-03").freeze() }},
		"two entries cut off, table down": {forceLimit, func(f *fleet) {
			f.host("entry-03").setCut(true)
			f.host("entry-02").setCut(true)
			f.platform.set(func(p *fakePlatform) { p.down = true })
		}},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 5, 5)
				defer f.close()
				time.Sleep(5 * time.Second)
				pushChange(t, f, f.host("entry-00"), 0)
				time.Sleep(forceLimit)
				for _, entry := range entriesOf(f) {
					require.True(t, works(f.host(entry), key))
				}
				fault.act(f)
				at := time.Now()
				go f.host("entry-00").node.Revoke(t.Context(), "op", bhkey.Digest(key))
				time.Sleep(fault.limit)
				for _, entry := range entriesOf(f) {
					assert.False(t, works(f.host(entry), key), entry)
				}
				assert.True(t, works(f.host("entry-00"), other))
				time.Sleep(time.Minute - time.Since(at))
				for _, host := range f.all() {
					host.thaw()
					assert.False(t, works(host, key), host.name)
					host.setCut(false)
				}
				f.platform.set(func(p *fakePlatform) { p.down, p.delay = false, time.Millisecond })
				// The way back may take a little, the revoked key never works.
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					for _, entry := range entriesOf(f) {
						require.False(t, works(f.host(entry), key), entry)
					}
				}
				for _, entry := range entriesOf(f) {
					assert.True(t, works(f.host(entry), other), entry)
				}
				assert.Empty(t, f.host("entry-00").node.Pending(), "durable after the outage")
			})
		})
	}
}

func TestARevokedKeyStaysStoppedWhenTheTableComesBackFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const key, other = "account-0001/a", "account-0002/a"
		f := newFleet(t, 5, 5)
		defer f.close()
		time.Sleep(5 * time.Second)
		pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(forceLimit)
		cut := f.host("entry-03")
		cut.setCut(true)
		f.platform.set(func(p *fakePlatform) { p.down = true })
		go f.host("entry-00").node.Revoke(t.Context(), "op", bhkey.Digest(key))
		time.Sleep(forceLimit)
		require.False(t, works(cut, key))
		cut.mu.Lock()
		cut.online = true
		cut.mu.Unlock()
		for _, host := range f.all() {
			host.setOffline(host != cut)
		}
		f.platform.set(func(p *fakePlatform) { p.down = false })
		for i := range 200 {
			time.Sleep(50 * time.Millisecond)
			if i == 50 {
				for _, host := range f.all() {
					host.setOffline(false)
				}
			}
			require.False(t, works(cut, key))
		}
		assert.True(t, works(cut, other))
	})
}

func TestARevocationOutlivesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const key = "account-0001/a"
		f := newFleet(t, 2, 2)
		defer f.close()
		time.Sleep(5 * time.Second)
		pushChange(t, f, f.host("entry-00"), 0)
		f.platform.set(func(p *fakePlatform) { p.down = true })
		f.host("entry-00").node.Revoke(t.Context(), "op", bhkey.Digest(key))
		f.host("entry-00").kill()
		f.platform.set(func(p *fakePlatform) { p.down = false })
		time.Sleep(30 * time.Second)
		for _, host := range f.all() {
			host.kill()
		}
		for _, host := range f.all() {
			host.start()
		}
		time.Sleep(forceLimit)
		for _, entry := range entriesOf(f) {
			assert.NotNil(t, f.host(entry).store().Current())
			assert.False(t, works(f.host(entry), key))
			assert.True(t, works(f.host(entry), "account-0001/b"))
		}
	})
}

func TestStreamsUnderARevokedKeyEndOnAnEntryCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		defer f.close()
		time.Sleep(5 * time.Second)
		pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(forceLimit)
		cut := f.host("entry-02")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		running := NewRunning(cut.store())
		go func() { _ = running.Run(ctx) }()
		identity, err := cut.store().Authenticate("account-0001/a", time.Now())
		require.NoError(t, err)
		request, release := running.Add(ctx, identity)
		defer release()
		cut.setCut(true)
		f.host("entry-00").node.Revoke(t.Context(), "op", identity.Digest)
		time.Sleep(forceLimit)
		assert.True(t, bhcode.Is(context.Cause(request), bhcode.ConfigStale))
	})
}
