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

// Recording on the platform of revocations that came from peers or that could
// not be recorded during an outage.
const (
	recordRetryInterval = 500 * time.Millisecond
	// recordDelay is the minimum time between recordings. It gives the entry
	// that accepted a revocation time to record it itself.
	recordDelay = time.Second
	// maxRecordDigests is the maximum number of digests that runRecorder puts
	// into one record.
	maxRecordDigests = 1000
)

// hostsReadInterval is the minimum time between two readings of the host list.
const hostsReadInterval = 30 * time.Second

// runPoll periodically reads new versions and revocations from the platform.
// Entries always do so, sidecars only without a version or without frames from
// an entry. The interval is jittered by 25 % either way.
func (n *Node) runPoll(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		if n.shouldPoll(time.Now()) {
			err := n.poll(ctx)
			if err != nil && !failing && ctx.Err() == nil {
				bhlog.Problem(n.config.Logger, "sync.poll", err)
			}
			failing = err != nil
			n.setLoadTried()
			n.pollHosts(ctx)
		}
		interval := entryPollInterval
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
	return n.config.Entry || n.store.Version() == 0 || now.Sub(n.lastEntryFrame) > entrySilenceLimit
}

// pollHosts reads the host list at most every hostsReadInterval to find out
// whether this is the only entry.
func (n *Node) pollHosts(ctx context.Context) {
	if !n.config.Entry || n.config.Platform.Hosts == nil || time.Since(n.hostsRead) < hostsReadInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := n.config.Platform.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	n.hostsRead = time.Now()
	onlyEntry := true
	for _, host := range hosts {
		if host.Role == string(bhconf.RoleEntry) && host.Name != n.config.Host {
			onlyEntry = false
		}
	}
	n.mu.Lock()
	onlyEntry = onlyEntry && len(n.entryLinks()) == 0
	n.mu.Unlock()
	n.store.SetOnlyEntry(onlyEntry)
}

func (n *Node) setLoadTried() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loadTried = true
}

// poll reads new revocations and versions. If it has read all of them, it
// confirms contact with the table as of the start of the reading.
func (n *Node) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	if err := n.pollRevocations(ctx); err != nil {
		return err
	}
	if err := n.pollChanges(ctx); err != nil {
		return err
	}
	n.store.ConfirmTableRead(sent)
	return nil
}

func (n *Node) pollChanges(ctx context.Context) error {
	if n.store.Version() == 0 {
		return n.load(ctx)
	}
	for {
		messages, complete, err := n.archive.MessagesAfter(ctx, n.store.Version())
		if err != nil {
			return err
		}
		for _, message := range messages {
			needFull, err := n.store.Apply(message)
			if needFull {
				return n.load(ctx)
			}
			if err != nil {
				return err
			}
		}
		if len(messages) > 0 {
			n.notifyLinks()
		}
		if complete {
			return nil
		}
	}
}

// load reads the full configuration and the changes after it.
func (n *Node) load(ctx context.Context) error {
	messages, err := n.archive.LoadMessages(ctx)
	if err != nil {
		return err
	}
	for _, message := range messages {
		if _, err := n.store.Apply(message); err != nil {
			return err
		}
	}
	n.notifyLinks()
	return nil
}

// pollRevocations reads the revocation records that weren't read yet.
func (n *Node) pollRevocations(ctx context.Context) error {
	n.mu.Lock()
	recordNumber := n.recordsRead
	n.mu.Unlock()
	for {
		digests, lastRecord, complete, err := n.archive.revocationsAfter(ctx, recordNumber)
		if err != nil {
			return err
		}
		added := n.store.Revocations.Revoke(digests...)
		n.mu.Lock()
		n.recordsRead = max(n.recordsRead, lastRecord)
		for _, digest := range digests {
			n.durable[digest] = true
		}
		n.mu.Unlock()
		if len(digests) > 0 {
			bhlog.Event(n.config.Logger, "key.durable", "count", len(digests), "new", len(added))
			n.notifyLinks()
		}
		if complete {
			return nil
		}
		recordNumber = lastRecord
	}
}

// runRecorder records revocations that aren't yet on the platform. Only entries
// do so.
func (n *Node) runRecorder(ctx context.Context) error {
	if !n.config.Entry {
		return nil
	}
	for ctx.Err() == nil {
		bhtree.Sleep(ctx, recordDelay+rand.N(recordDelay))
		if pending := n.PendingRevocations(); len(pending) > 0 {
			n.recordRevocations(ctx, pending[:min(len(pending), maxRecordDigests)], "")
		}
	}
	return nil
}

// PendingRevocations returns the digests of the revoked keys that aren't known
// to be recorded on the platform.
func (n *Node) PendingRevocations() []string {
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

// recordRevocations writes the digests under the next free record number and
// reports whether they are known to be on the platform. It retries until
// pollTimeout. A digest may be recorded twice without effect.
func (n *Node) recordRevocations(ctx context.Context, digests []string, author string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if n.pollRevocations(ctx) == nil && n.allDurable(digests) {
			return true
		}
		n.mu.Lock()
		recordNumber := n.recordsRead + 1
		n.mu.Unlock()
		row := revokedRow{Digests: digests, Author: author, Time: time.Now().UTC()}
		err := n.archive.appendRevocations(ctx, recordNumber, row)
		if err != nil && !bhcode.Is(err, bhcode.PlatformConflict) {
			bhtree.Sleep(ctx, recordRetryInterval)
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
