package bhsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// Recording of revocations that came from peers or in an outage.
const (
	recordInterval = 500 * time.Millisecond
	// recordWait lets the entry that accepted a revocation record it first.
	recordWait = time.Second
	// recordSize is the number of digests in one record.
	recordSize = 1000
)

// hostsInterval is the time between readings of the host list.
const hostsInterval = 30 * time.Second

// runPoll reads what is new on the platform: entries always, sidecars while
// they hear no entry.
func (n *Node) runPoll(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		if n.shouldPoll(time.Now()) {
			err := n.poll(ctx)
			if err != nil && !failing && ctx.Err() == nil {
				bhlog.Problem(n.config.Logger, "sync.poll", err)
			}
			failing = err != nil
			n.noteLoad()
			n.pollHosts(ctx)
		}
		interval := pollInterval
		if !n.config.Entry {
			interval = sidecarPollInterval
		}
		bhtree.Sleep(ctx, interval*3/4+rand.N(interval/2))
	}
	return nil
}

func (n *Node) shouldPoll(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Entry || n.store.Version() == 0 || now.Sub(n.entryHeard) > quietLimit
}

// pollHosts finds out now and then whether this is the only entry.
func (n *Node) pollHosts(ctx context.Context) {
	if !n.config.Entry || n.config.Platform.Hosts == nil || time.Since(n.listed) < hostsInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := n.config.Platform.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	n.listed = time.Now()
	alone := true
	for _, host := range hosts {
		if host.Role == string(bhconf.RoleEntry) && host.Name != n.config.Host {
			alone = false
		}
	}
	n.mu.Lock()
	alone = alone && len(n.entryLinks()) == 0
	n.mu.Unlock()
	n.store.SetAlone(alone)
}

func (n *Node) noteLoad() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loadTried = true
}

// poll reads the newer versions and revocations. If it read all there are, it
// proves contact as of when the reading began.
func (n *Node) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	if err := n.pollRevoked(ctx); err != nil {
		return err
	}
	if err := n.pollChanges(ctx); err != nil {
		return err
	}
	n.store.ConfirmTable(sent)
	return nil
}

func (n *Node) pollChanges(ctx context.Context) error {
	if n.store.Version() == 0 {
		return n.load(ctx)
	}
	for {
		messages, all, err := n.archive.Changes(ctx, n.store.Version())
		if err != nil {
			return err
		}
		for _, message := range messages {
			needWhole, err := n.store.Apply(message)
			if needWhole {
				return n.load(ctx)
			}
			if err != nil {
				return err
			}
		}
		if len(messages) > 0 {
			n.notify()
		}
		if all {
			return nil
		}
	}
}

func (n *Node) load(ctx context.Context) error {
	messages, err := n.archive.Load(ctx)
	if err != nil {
		return err
	}
	for _, message := range messages {
		if _, err := n.store.Apply(message); err != nil {
			return err
		}
	}
	n.notify()
	return nil
}

func (n *Node) pollRevoked(ctx context.Context) error {
	n.mu.Lock()
	number := n.logged
	n.mu.Unlock()
	for {
		digests, last, all, err := n.archive.revokedAfter(ctx, number)
		if err != nil {
			return err
		}
		added := n.store.Revocations.Revoke(digests...)
		n.mu.Lock()
		n.logged = max(n.logged, last)
		for _, digest := range digests {
			n.durable[digest] = true
		}
		n.mu.Unlock()
		if len(digests) > 0 {
			bhlog.Event(n.config.Logger, "key.durable", "count", len(digests), "new", len(added))
			n.notify()
		}
		if all {
			return nil
		}
		number = last
	}
}

// runRecord records revocations on the platform that aren't there yet.
func (n *Node) runRecord(ctx context.Context) error {
	if !n.config.Entry {
		return nil
	}
	for ctx.Err() == nil {
		bhtree.Sleep(ctx, recordWait+rand.N(recordWait))
		if pending := n.Pending(); len(pending) > 0 {
			n.record(ctx, pending[:min(len(pending), recordSize)], "")
		}
	}
	return nil
}

// Pending returns the revocations that aren't known to be on the platform.
func (n *Node) Pending() []string {
	known := n.store.Revocations.Revoked()
	n.mu.Lock()
	defer n.mu.Unlock()
	var pending []string
	for _, digest := range known {
		if !n.durable[digest] {
			pending = append(pending, digest)
		}
	}
	return pending
}

// record writes the digests under the next free number and reports whether they
// are known to be on the platform. Repeating it is harmless.
func (n *Node) record(ctx context.Context, digests []string, author string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if n.pollRevoked(ctx) == nil && n.allDurable(digests) {
			return true
		}
		n.mu.Lock()
		number := n.logged + 1
		n.mu.Unlock()
		row := revokedRow{Digests: digests, Author: author, Time: time.Now().UTC()}
		err := n.archive.revoke(ctx, number, row)
		if err != nil && !bhcode.Is(err, bhcode.PlatformConflict) {
			bhtree.Sleep(ctx, recordInterval)
		}
	}
	return n.allDurable(digests)
}

func (n *Node) allDurable(digests []string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, digest := range digests {
		if !n.durable[digest] {
			return false
		}
	}
	return true
}
