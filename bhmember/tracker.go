// Package bhmember decides from the platform's host list which hosts an entry keeps
// sessions with; bhentry calls it. The list only makes hosts known: whether a host
// is alive is determined by its heartbeats.
package bhmember

import (
	"time"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// Forget is how long a host without a session is kept after the list last
	// named it. The list lags and may be empty for a while.
	Forget = 2 * time.Minute
	// Eager is the time between reads of the list during startup.
	Eager = 500 * time.Millisecond
	// Settling is how long startup lasts.
	Settling = 10 * time.Second
	// Calm is the time between reads of the list after startup.
	Calm = 8 * time.Second
)

// Change is the difference that an update makes to the hosts that an entry keeps
// sessions with. End must be applied before Begin.
type Change struct {
	// Begin holds the hosts to keep sessions with from now on. A host whose Link
	// address changed is also in End.
	Begin []bhplatform.Host
	// End holds the names of the hosts whose sessions must end.
	End []string
}

// Book tracks the hosts that an entry keeps sessions with. It isn't safe for
// concurrent use.
type Book struct {
	self      string
	startedAt time.Time
	hosts     map[string]knownHost
}

// knownHost is a host and the time at which the list last named it.
type knownHost struct {
	host     bhplatform.Host
	listedAt time.Time
}

// NewBook returns a Book without hosts, for an entry that started at now on the
// host named self. That host is never in a Change.
func NewBook(self string, now time.Time) *Book {
	return &Book{self: self, startedAt: now, hosts: make(map[string]knownHost)}
}

// Read updates the hosts with the list that was read at now. The function
// connected reports whether there is a session with the host of a name.
func (b *Book) Read(now time.Time, list []bhplatform.Host, connected func(host string) bool) Change {
	var change Change
	for _, host := range list {
		if host.Name == b.self {
			continue
		}
		known, ok := b.hosts[host.Name]
		moved := ok && known.host.Link != host.Link
		if moved {
			change.End = append(change.End, host.Name)
		}
		if !ok || moved {
			change.Begin = append(change.Begin, host)
		}
		b.hosts[host.Name] = knownHost{host: host, listedAt: now}
	}
	for name, known := range b.hosts {
		if now.Sub(known.listedAt) >= Forget && !connected(name) {
			change.End = append(change.End, name)
			delete(b.hosts, name)
		}
	}
	return change
}

// Next returns how long to wait before the next read of the list.
func (b *Book) Next(now time.Time) time.Duration {
	if now.Sub(b.startedAt) < Settling {
		return Eager
	}
	return Calm
}
