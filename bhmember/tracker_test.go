package bhmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newHost(name, link string) bhplatform.Host { return bhplatform.Host{Name: name, Link: link} }

func notConnected(string) bool { return false }

func hostNames(hosts []bhplatform.Host) []string {
	var list []string
	for _, host := range hosts {
		list = append(list, host.Name)
	}
	return list
}

func TestHostsAreAddedMovedAndRemoved(t *testing.T) {
	tracker := NewTracker("self", startTime)
	change := tracker.Update(startTime, []bhplatform.Host{newHost("self", "0"), newHost("a", "1"), newHost("b", "2")}, notConnected)
	assert.Equal(t, []string{"a", "b"}, hostNames(change.Added))
	assert.Empty(t, change.Removed)

	change = tracker.Update(startTime.Add(time.Second), []bhplatform.Host{newHost("a", "9")}, notConnected)
	assert.Equal(t, []string{"a"}, hostNames(change.Added))
	assert.Equal(t, []string{"a"}, change.Removed)

	change = tracker.Update(startTime.Add(ForgetAfter-time.Second), []bhplatform.Host{newHost("a", "9")}, notConnected)
	assert.Empty(t, change.Removed, "b is kept, since the list may lag")
	change = tracker.Update(startTime.Add(ForgetAfter), []bhplatform.Host{newHost("a", "9")}, notConnected)
	assert.Equal(t, []string{"b"}, change.Removed)
}

func TestHostWithSessionIsNotRemoved(t *testing.T) {
	tracker := NewTracker("self", startTime)
	tracker.Update(startTime, []bhplatform.Host{newHost("a", "1")}, notConnected)
	change := tracker.Update(startTime.Add(time.Hour), nil, func(string) bool { return true })
	assert.Empty(t, change.Removed)
}

func TestIntervalIsShortOnlyDuringStartup(t *testing.T) {
	tracker := NewTracker("self", startTime)
	assert.Equal(t, StartupInterval, tracker.Interval(startTime.Add(StartupPeriod-1)))
	assert.Equal(t, SteadyInterval, tracker.Interval(startTime.Add(StartupPeriod)))
}

// Whatever the lists hold, each host is added and removed in turn, and a host is
// only kept if it is connected or was listed within ForgetAfter.
func TestAddedAndRemovedAlternate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker("self", startTime)
		now := startTime
		tracked := map[string]bool{}
		lastListed := map[string]time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "readings") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(ForgetAfter)).Draw(t, "pause")))
			var list []bhplatform.Host
			for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "self"}), rapid.ID[string]).Draw(t, "list") {
				list = append(list, newHost(name, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "link")))
				lastListed[name] = now
			}
			connected := rapid.SampledFrom([]string{"", "a"}).Draw(t, "connected")
			change := tracker.Update(now, list, func(name string) bool { return name == connected })
			for _, name := range change.Removed {
				assert.True(t, tracked[name])
				tracked[name] = false
			}
			for _, name := range hostNames(change.Added) {
				assert.False(t, tracked[name])
				tracked[name] = true
			}
			for name, isTracked := range tracked {
				if isTracked {
					assert.True(t, name == connected || now.Sub(lastListed[name]) < ForgetAfter, name)
				}
			}
			assert.False(t, tracked["self"])
		}
	})
}
