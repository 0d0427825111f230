package bhsync

import (
	"context"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	revokeTimeout  = 2 * time.Second
	revokeInterval = 20 * time.Millisecond
)

// RevokeResult says how far a revocation has come.
type RevokeResult struct {
	// Stopped names the hosts that have confirmed it, this one included.
	Stopped []string `json:"stopped"`
	// Waiting names the connected hosts that haven't confirmed it yet.
	Waiting []string `json:"waiting"`
	// Durable is whether it is known to be on the platform.
	Durable bool `json:"durable"`
}

// Revoke stops the keys with the digests here at once and on all other hosts,
// and waits a little for confirmations. It needs no platform.
func (n *Node) Revoke(ctx context.Context, author string, digests ...string) RevokeResult {
	n.store.Revocations.Revoke(digests...)
	count := n.store.Revocations.Len()
	bhlog.Event(n.config.Logger, "key.revoke", "count", len(digests), "author", author)
	n.notify()
	durable := make(chan bool, 1)
	go func() { durable <- n.record(ctx, digests, author) }()
	limit := time.Now().Add(revokeTimeout)
	result := n.confirmed(count)
	for len(result.Waiting) > 0 && time.Now().Before(limit) && ctx.Err() == nil {
		bhtree.Sleep(ctx, revokeInterval)
		result = n.confirmed(count)
	}
	result.Durable = <-durable
	return result
}

func (n *Node) confirmed(count int) RevokeResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	result := RevokeResult{Stopped: []string{n.config.Host}, Waiting: []string{}}
	for link := range n.links {
		if link.acked >= count {
			result.Stopped = append(result.Stopped, link.hello.Host)
		} else {
			result.Waiting = append(result.Waiting, link.hello.Host)
		}
	}
	slices.Sort(result.Stopped)
	slices.Sort(result.Waiting)
	return result
}

// HostStatus is what this host knows of another one.
type HostStatus struct {
	Host    string `json:"host"`
	Role    string `json:"role"`
	Version int64  `json:"version"`
	// Contact is the time since the last answer; zero if none came.
	Contact time.Duration `json:"contact"`
}

// Status returns the versions in force on this host and those linked to it.
func (n *Node) Status() []HostStatus {
	own := HostStatus{Host: n.config.Host, Role: "sidecar", Version: n.store.Version()}
	if n.config.Entry {
		own.Role = "entry"
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts := []HostStatus{own}
	for link := range n.links {
		status := HostStatus{Host: link.hello.Host, Role: link.hello.Role, Version: link.has}
		if !link.contact.IsZero() {
			status.Contact = time.Since(link.contact)
		}
		hosts = append(hosts, status)
	}
	slices.SortFunc(hosts[1:], func(a, b HostStatus) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return hosts
}
