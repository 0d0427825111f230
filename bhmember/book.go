// Package bhmember decides which hosts an entry keeps sessions with. The
// platform's host list only introduces hosts; whether one is alive is found out
// by its heartbeats.
package bhmember

import (
	"time"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Times of a Book.
const (
	// Forget is how long a host without a session stays known after the list
	// last named it. The list lags and may be empty for a while.
	Forget = 2 * time.Minute
	// Eager is the time between readings of the list in the first Settling after
	// the start, and Calm the time from then on.
	Eager    = 500 * time.Millisecond
	Settling = 10 * time.Second
	Calm     = 8 * time.Second
)

// Change is what follows from a reading of the host list.
type Change struct {
	// Begin names hosts to keep sessions with from now on. A host that moved is
	// also in End.
	Begin []bhplatform.Host
	// End names hosts to give up.
	End []string
}

// Book holds the hosts known. It isn't safe for concurrent use.
type Book struct {
	self  string
	begun time.Time
	hosts map[string]entry
}

type entry struct {
	host   bhplatform.Host
	listed time.Time
}

// NewBook returns an empty book of the host named self, which started at now
// and never lists itself.
func NewBook(self string, now time.Time) *Book {
	return &Book{self: self, begun: now, hosts: make(map[string]entry)}
}

// Read takes a reading of the list at now. The function connected reports
// whether there is a session with a host.
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
		b.hosts[host.Name] = entry{host: host, listed: now}
	}
	for name, known := range b.hosts {
		if now.Sub(known.listed) >= Forget && !connected(name) {
			change.End = append(change.End, name)
			delete(b.hosts, name)
		}
	}
	return change
}

// Next returns how long to wait before the next reading.
func (b *Book) Next(now time.Time) time.Duration {
	if now.Sub(b.begun) < Settling {
		return Eager
	}
	return Calm
}
