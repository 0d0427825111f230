package bhsync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhkey"
)

// Required limits for a fleet of the target size. propagationLimit applies to
// changes and revocations under faults, revokeLimit to revocations without a
// cut-off or paused host, pushDelayLimit to changes without faults.
const (
	propagationLimit         = 7 * time.Second
	revokeLimit              = 2 * time.Second
	pushDelayLimit           = 200 * time.Millisecond
	maxControlBytesPerSecond = 14 << 10
	changesPerDay            = 2500
	maxTableReadsPerSecond   = 2000
	day                      = 24 * time.Hour
)

// pushChange pushes a configuration with one changed account through host and
// returns the accepted version.
func pushChange(t *testing.T, f *fleet, host *fakeHost, step int) int64 {
	config := testConfig(50)
	config.Accounts[step%50].Rate = float64(step + 11)
	result := f.push(host, config)
	require.Equal(t, Accepted, result.Outcome, result.Message)
	return result.Version
}

// requireVersion fails the test if a host, other than the excepted ones, has an
// older version.
func (f *fleet) requireVersion(version int64, except ...*fakeHost) {
	excluded := map[*fakeHost]bool{}
	for _, host := range except {
		excluded[host] = true
	}
	for _, host := range f.allHosts() {
		if !excluded[host] {
			require.GreaterOrEqual(f.t, host.store().Version(), version, host.name)
		}
	}
}

func TestChangeReachesAllHostsAtTargetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20, 300)
		defer f.close()
		time.Sleep(5 * time.Second)
		version := pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(propagationLimit)
		f.requireVersion(version)
		start := time.Now()
		bytesBefore := map[*fakeHost]int{}
		for _, host := range f.allHosts() {
			bytesBefore[host] = host.bytesSent()
		}
		f.platform.update(func(p *fakePlatform) { p.reads, p.writes = 0, 0 })
		const changes = 2
		maxDelay := time.Duration(0)
		for step := 1; step <= changes; step++ {
			version = pushChange(t, f, f.host(fmt.Sprintf("entry-%02d", step)), step)
			accepted := time.Now()
			for f.countBehind(version) > 0 {
				time.Sleep(10 * time.Millisecond)
				require.Less(t, time.Since(accepted), propagationLimit)
			}
			maxDelay = max(maxDelay, time.Since(accepted))
			time.Sleep(day/changesPerDay - time.Since(accepted))
		}
		elapsedSeconds := time.Since(start).Seconds()
		maxBytesPerSecond := 0.0
		for _, host := range f.allHosts() {
			maxBytesPerSecond = max(maxBytesPerSecond, float64(host.bytesSent()-bytesBefore[host])/elapsedSeconds)
		}
		var readsPerSecond float64
		f.platform.update(func(p *fakePlatform) { readsPerSecond = float64(p.reads) / elapsedSeconds })
		fullConfig, err := testConfig(1400).Canonical()
		require.NoError(t, err)
		t.Logf("maximum propagation time %s, maximum bytes/s sent by a host %.0f, table reads/s %.1f, full configuration of target size %d bytes", maxDelay, maxBytesPerSecond, readsPerSecond, len(fullConfig))
		assert.Less(t, maxDelay, pushDelayLimit)
		assert.Less(t, maxBytesPerSecond, maxControlBytesPerSecond/2.0)
		assert.Less(t, readsPerSecond, maxTableReadsPerSecond/20.0)
	})
}

// countBehind returns the number of hosts with an older version.
func (f *fleet) countBehind(version int64) int {
	count := 0
	for _, host := range f.allHosts() {
		if host.store().Version() < version {
			count++
		}
	}
	return count
}

func TestChangeReachesAllHostsUnderFaults(t *testing.T) {
	faults := map[string]func(f *fleet, origin *fakeHost) (heal func(), exempt []*fakeHost){
		"accepting entry killed": func(f *fleet, origin *fakeHost) (func(), []*fakeHost) {
			origin.kill()
			return origin.start, []*fakeHost{origin}
		},
		"table unavailable after the push": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			f.platform.update(func(p *fakePlatform) { p.unavailable = true })
			return func() { f.platform.update(func(p *fakePlatform) { p.unavailable = false }) }, nil
		},
		"slow table": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			f.platform.update(func(p *fakePlatform) { p.delay = 30 * time.Second })
			return func() { f.platform.update(func(p *fakePlatform) { p.delay = 5 * time.Millisecond }) }, nil
		},
		"an entry paused": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			paused := f.host("entry-04")
			paused.pause()
			return paused.resume, []*fakeHost{paused}
		},
		"an entry partitioned from entries and table": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			partitioned := f.host("entry-03")
			partitioned.setPartitioned(true, "sidecar-000", "sidecar-001")
			return func() { partitioned.setPartitioned(false) }, nil
		},
		"sidecars partitioned from all entries": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			for _, host := range f.allHosts() {
				if host.entry {
					host.setPartitioned(true, entryNames(f)...)
				}
			}
			return func() {
				for _, host := range f.allHosts() {
					host.setPartitioned(false)
				}
			}, nil
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 5, 20)
				defer f.close()
				time.Sleep(5 * time.Second)
				origin := f.host("entry-01")
				version := pushChange(t, f, origin, 0)
				time.Sleep(propagationLimit)
				f.requireVersion(version)
				version = pushChange(t, f, origin, 1)
				heal, exempt := fault(f, origin)
				time.Sleep(propagationLimit)
				f.requireVersion(version, exempt...)
				heal()
				time.Sleep(propagationLimit)
				f.requireVersion(version)
			})
		})
	}
}

func entryNames(f *fleet) []string {
	var names []string
	for _, host := range f.allHosts() {
		if host.entry {
			names = append(names, host.name)
		}
	}
	return names
}

// Without the platform, a restarted or new host must get the configuration and
// the revocations from its peers.
func TestNewHostStartsFromPeerInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 5)
		defer f.close()
		time.Sleep(5 * time.Second)
		version := pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(propagationLimit)
		f.platform.update(func(p *fakePlatform) { p.unavailable = true })
		digest := bhkey.Digest("account-0001/a")
		result := f.host("entry-01").node.Revoke(t.Context(), "op", digest)
		assert.False(t, result.Durable)
		assert.Empty(t, result.Unconfirmed)
		for _, name := range []string{"entry-02", "sidecar-004"} {
			f.host(name).kill()
			f.host(name).start()
		}
		added := f.addHost("entry-09", true)
		time.Sleep(propagationLimit)
		f.requireVersion(version)
		for _, host := range f.allHosts() {
			assert.True(t, host.store().Revocations.Has(digest), host.name)
		}
		_, err := added.store().Authenticate("account-0001/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.Unauthorized))
		_, err = added.store().Authenticate("account-0001/b", time.Now())
		assert.NoError(t, err)
	})
}

// Entries keep contact through each other while the platform is unavailable.
func TestKeysStayAcceptedInHourLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		defer f.close()
		time.Sleep(5 * time.Second)
		pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(propagationLimit)
		f.platform.update(func(p *fakePlatform) { p.unavailable = true })
		for range 3600 {
			time.Sleep(time.Second)
			for _, name := range entryNames(f) {
				_, err := f.host(name).store().Authenticate("account-0001/a", time.Now())
				require.NoError(t, err)
			}
		}
	})
}

// An entry without any other entry has nobody to keep contact with, but also
// nobody to miss a revocation from. Once it has seen another entry, it needs
// contact.
func TestOnlyEntryTrustsKeysInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		defer f.close()
		time.Sleep(5 * time.Second)
		entry := f.host("entry-00")
		pushChange(t, f, entry, 0)
		f.platform.update(func(p *fakePlatform) { p.unavailable = true })
		time.Sleep(time.Hour)
		_, err := entry.store().Authenticate("account-0001/a", time.Now())
		require.NoError(t, err)
		f.addHost("entry-01", true)
		time.Sleep(time.Second)
		_, err = entry.store().Authenticate("account-0001/a", time.Now())
		require.NoError(t, err, "answers of another entry count as contact")
		f.host("entry-01").kill()
		time.Sleep(propagationLimit)
		_, err = entry.store().Authenticate("account-0001/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.ConfigStale))
	})
}
