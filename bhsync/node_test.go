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

// Bounds that the brief and the letter set.
const (
	forceLimit    = 7 * time.Second
	revokeCalm    = 2 * time.Second
	pushLimit     = 200 * time.Millisecond
	controlBytes  = 14 << 10
	changesPerDay = 2500
	tableReads    = 2000
	day           = 24 * time.Hour
)

// changed returns the configuration of a fleet test with one account changed.
func pushChange(t *testing.T, f *fleet, host *fakeHost, step int) int64 {
	config := testConfig(50)
	config.Accounts[step%50].Rate = float64(step + 11)
	result := f.push(host, config)
	require.Equal(t, Accepted, result.Outcome, result.Message)
	return result.Version
}

// requireForce fails if a host is behind version after the limit.
func (f *fleet) requireForce(version int64, except ...*fakeHost) {
	skip := map[*fakeHost]bool{}
	for _, host := range except {
		skip[host] = true
	}
	for _, host := range f.all() {
		if !skip[host] {
			require.GreaterOrEqual(f.t, host.store().Version(), version, host.name)
		}
	}
}

func TestChangesAreInForceEverywhereAtTheTargetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20, 300)
		defer f.close()
		time.Sleep(5 * time.Second)
		version := pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(forceLimit)
		f.requireForce(version)
		start := time.Now()
		before := map[*fakeHost]int{}
		for _, host := range f.all() {
			before[host] = host.bytes()
		}
		f.platform.set(func(p *fakePlatform) { p.reads, p.writes = 0, 0 })
		const changes = 2
		worst := time.Duration(0)
		for step := 1; step <= changes; step++ {
			version = pushChange(t, f, f.host(fmt.Sprintf("entry-%02d", step)), step)
			accepted := time.Now()
			for f.behind(version) > 0 {
				time.Sleep(10 * time.Millisecond)
				require.Less(t, time.Since(accepted), forceLimit)
			}
			worst = max(worst, time.Since(accepted))
			time.Sleep(day/changesPerDay - time.Since(accepted))
		}
		span := time.Since(start).Seconds()
		most := 0.0
		for _, host := range f.all() {
			most = max(most, float64(host.bytes()-before[host])/span)
		}
		var reads float64
		f.platform.set(func(p *fakePlatform) { reads = float64(p.reads) / span })
		whole, err := testConfig(1400).Canonical()
		require.NoError(t, err)
		t.Logf("worst time in force %s, most bytes/s sent %.0f, table reads/s %.1f, whole copy %d bytes", worst, most, reads, len(whole))
		assert.Less(t, worst, pushLimit)
		assert.Less(t, most, controlBytes/2.0)
		assert.Less(t, reads, tableReads/20.0)
	})
}

// behind returns the number of hosts that don't have the version.
func (f *fleet) behind(version int64) int {
	count := 0
	for _, host := range f.all() {
		if host.store().Version() < version {
			count++
		}
	}
	return count
}

func TestChangesSurviveFaults(t *testing.T) {
	faults := map[string]func(f *fleet, origin *fakeHost) (heal func(), exempt []*fakeHost){
		"accepting entry dies": func(f *fleet, origin *fakeHost) (func(), []*fakeHost) {
			origin.kill()
			return origin.start, []*fakeHost{origin}
		},
		"table down after the push": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			f.platform.set(func(p *fakePlatform) { p.down = true })
			return func() { f.platform.set(func(p *fakePlatform) { p.down = false }) }, nil
		},
		"slow table": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			f.platform.set(func(p *fakePlatform) { p.delay = 30 * time.Second })
			return func() { f.platform.set(func(p *fakePlatform) { p.delay = 5 * time.Millisecond }) }, nil
		},
		"an entry frozen": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			frozen := f.host("entry-04")
			frozen.freeze()
			return frozen.thaw, []*fakeHost{frozen}
		},
		"an entry cut off from entries and table": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			cut := f.host("entry-03")
			cut.setCut(true, "sidecar-000", "sidecar-001")
			return func() { cut.setCut(false) }, nil
		},
		"a sidecar cut off from all entries": func(f *fleet, _ *fakeHost) (func(), []*fakeHost) {
			for _, host := range f.all() {
				if host.entry {
					host.setCut(true, entriesOf(f)...)
				}
			}
			return func() {
				for _, host := range f.all() {
					host.setCut(false)
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
				time.Sleep(forceLimit)
				f.requireForce(version)
				version = pushChange(t, f, origin, 1)
				heal, exempt := fault(f, origin)
				time.Sleep(forceLimit)
				f.requireForce(version, exempt...)
				heal()
				time.Sleep(forceLimit)
				f.requireForce(version)
			})
		})
	}
}

func entriesOf(f *fleet) []string {
	var names []string
	for _, host := range f.all() {
		if host.entry {
			names = append(names, host.name)
		}
	}
	return names
}

func TestANewHostStartsFromAPeerInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 5)
		defer f.close()
		time.Sleep(5 * time.Second)
		version := pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(forceLimit)
		f.platform.set(func(p *fakePlatform) { p.down = true })
		digest := bhkey.Digest("account-0001/a")
		result := f.host("entry-01").node.Revoke(t.Context(), "op", digest)
		assert.False(t, result.Durable)
		assert.Empty(t, result.Waiting)
		for _, name := range []string{"entry-02", "sidecar-004"} {
			f.host(name).kill()
			f.host(name).start()
		}
		added := f.add("entry-09", true)
		time.Sleep(forceLimit)
		f.requireForce(version)
		for _, host := range f.all() {
			assert.True(t, host.store().Revocations.Has(digest), host.name)
		}
		_, err := added.store().Authenticate("account-0001/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.Unauthorized))
		_, err = added.store().Authenticate("account-0001/b", time.Now())
		assert.NoError(t, err)
	})
}

func TestAnOutageOfAnHourRefusesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		defer f.close()
		time.Sleep(5 * time.Second)
		pushChange(t, f, f.host("entry-00"), 0)
		time.Sleep(forceLimit)
		f.platform.set(func(p *fakePlatform) { p.down = true })
		for range 3600 {
			time.Sleep(time.Second)
			for _, name := range entriesOf(f) {
				_, err := f.host(name).store().Authenticate("account-0001/a", time.Now())
				require.NoError(t, err)
			}
		}
	})
}

func TestTheOnlyEntryTrustsItselfInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		defer f.close()
		time.Sleep(5 * time.Second)
		entry := f.host("entry-00")
		pushChange(t, f, entry, 0)
		f.platform.set(func(p *fakePlatform) { p.down = true })
		time.Sleep(time.Hour)
		_, err := entry.store().Authenticate("account-0001/a", time.Now())
		require.NoError(t, err)
		f.add("entry-01", true)
		time.Sleep(time.Second)
		_, err = entry.store().Authenticate("account-0001/a", time.Now())
		require.NoError(t, err, "the other entry answers")
		f.host("entry-01").kill()
		time.Sleep(forceLimit)
		_, err = entry.store().Authenticate("account-0001/a", time.Now())
		assert.True(t, bhcode.Is(err, bhcode.ConfigStale))
	})
}
