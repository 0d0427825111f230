// Package bhmember decides from the platform's host list which hosts an entry
// keeps sessions with; bhentry calls it. The list only makes hosts known: whether
// a host is alive is determined by its heartbeats.
package bhmember

import (
	"time"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// ForgetAfter is how long a host without a session is kept after the list last
	// named it. The list lags and may be empty for a while.
	ForgetAfter = 2 * time.Minute
	// StartupInterval is the time between reads of the list during startup.
	StartupInterval = 500 * time.Millisecond
	// StartupPeriod is how long startup lasts.
	StartupPeriod = 10 * time.Second
	// SteadyInterval is the time between reads of the list after startup.
	SteadyInterval = 8 * time.Second
)

// Change is the difference that an update makes to the hosts that an entry keeps
// sessions with. Removed must be applied before Added.
type Change struct {
	// Added holds the hosts to keep sessions with from now on. A host whose Link
	// address changed is also in Removed.
	Added []bhplatform.Host
	// Removed holds the names of the hosts whose sessions must end.
	Removed []string
}

// Tracker tracks the hosts that an entry keeps sessions with. It isn't safe for
// concurrent use.
type Tracker struct {
	self      string
	startedAt time.Time
	hosts     map[string]knownHost
}

// knownHost is a host and the time at which the list last named it.
type knownHost struct {
	host     bhplatform.Host
	listedAt time.Time
}

// NewTracker returns a Tracker without hosts, for an entry that started at now on
// the host named self. That host is never in a Change.
func NewTracker(self string, now time.Time) *Tracker {
	return &Tracker{self: self, startedAt: now, hosts: make(map[string]knownHost)}
}

// Update applies the host list that was read at now and returns what it changes.
// The function connected reports whether there is a session with the named host.
func (t *Tracker) Update(now time.Time, list []bhplatform.Host, connected func(host string) bool) Change {
	var change Change
	for _, host := range list {
		if host.Name == t.self {
			continue
		}
		known, ok := t.hosts[host.Name]
		moved := ok && known.host.Link != host.Link
		if moved {
			change.Removed = append(change.Removed, host.Name)
		}
		if !ok || moved {
			change.Added = append(change.Added, host)
		}
		t.hosts[host.Name] = knownHost{host: host, listedAt: now}
	}
	for name, known := range t.hosts {
		if now.Sub(known.listedAt) >= ForgetAfter && !connected(name) {
			change.Removed = append(change.Removed, name)
			delete(t.hosts, name)
		}
	}
	return change
}

// Interval returns how long to wait before the next read of the list.
func (t *Tracker) Interval(now time.Time) time.Duration {
	if now.Sub(t.startedAt) < StartupPeriod {
		return StartupInterval
	}
	return SteadyInterval
}
