package bhsync

import (
	"context"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// confirmTimeout is how long Revoke waits for confirmations.
	confirmTimeout       = 2 * time.Second
	confirmCheckInterval = 20 * time.Millisecond
)

// RevokeResult reports which hosts have confirmed a revocation and whether it
// is recorded.
type RevokeResult struct {
	// Confirmed holds the names of the hosts that refuse the keys: this one and
	// those that have confirmed the revocation.
	Confirmed []string `json:"stopped"`
	// Unconfirmed holds the names of the connected hosts that haven't confirmed
	// it.
	Unconfirmed []string `json:"waiting"`
	// Durable reports whether it is known to be recorded on the platform.
	Durable bool `json:"durable"`
}

// Revoke revokes the keys with the digests on this host at once and sends the
// revocation to all connected hosts. It waits up to confirmTimeout for their
// confirmations. It works without the platform; the revocation is then recorded
// later.
func (n *Node) Revoke(ctx context.Context, author string, digests ...string) RevokeResult {
	n.store.Revocations.Revoke(digests...)
	count := n.store.Revocations.Len()
	bhlog.Event(n.config.Logger, "key.revoke", "count", len(digests), "author", author)
	n.notifyLinks()
	durable := make(chan bool, 1)
	go func() { durable <- n.recordRevocations(ctx, digests, author) }()
	deadline := time.Now().Add(confirmTimeout)
	result := n.confirmations(count)
	for len(result.Unconfirmed) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		bhtree.Sleep(ctx, confirmCheckInterval)
		result = n.confirmations(count)
	}
	result.Durable = <-durable
	return result
}

// confirmations returns which hosts have confirmed the first count revocations
// of this host.
func (n *Node) confirmations(count int) RevokeResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	result := RevokeResult{Confirmed: []string{n.config.Host}, Unconfirmed: []string{}}
	for link := range n.links {
		if link.revocationsConfirmed >= count {
			result.Confirmed = append(result.Confirmed, link.hello.Host)
		} else {
			result.Unconfirmed = append(result.Unconfirmed, link.hello.Host)
		}
	}
	slices.Sort(result.Confirmed)
	slices.Sort(result.Unconfirmed)
	return result
}

// HostStatus describes a host as known to this one.
type HostStatus struct {
	Host string `json:"host"`
	Role string `json:"role"`
	// Version is the newest version that the host is known to have.
	Version int64 `json:"version"`
	// ContactAge is the time since the last answered probe to the host was
	// sent, in nanoseconds in JSON; zero if none was answered.
	ContactAge time.Duration `json:"contact"`
}

// Status returns the status of this host, followed by the connected hosts in
// order of their names.
func (n *Node) Status() []HostStatus {
	own := HostStatus{Host: n.config.Host, Role: "sidecar", Version: n.store.Version()}
	if n.config.Entry {
		own.Role = "entry"
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts := []HostStatus{own}
	for link := range n.links {
		status := HostStatus{Host: link.hello.Host, Role: link.hello.Role, Version: link.peerVersion}
		if !link.lastContact.IsZero() {
			status.ContactAge = time.Since(link.lastContact)
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
