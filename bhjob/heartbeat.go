package bhjob

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhhost"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// heartbeatInterval is the time between two heartbeats of a runner.
	heartbeatInterval = time.Second
	// heartbeatTimeout is how long a runner's record may stay unchanged before
	// other runners take over its claims.
	heartbeatTimeout = 3500 * time.Millisecond
	// observeInterval is the time between two reads of the other runners'
	// records.
	observeInterval = time.Second
	// deadRecordRetention is how long the record of a dead runner may stay
	// unchanged before it is removed.
	deadRecordRetention = time.Minute
)

// observedHeartbeat is the last observed change of a host's record. changedAt
// is a reading of the observer's clock.
type observedHeartbeat struct {
	holder    string
	version   bhplatform.Version
	changedAt time.Duration
}

// heartbeats sends this runner's heartbeats and observes those of other
// runners. Each host has one record, which contains the holder of its current
// runner process; earlier holders of the same host are dead. Clocks of
// different hosts are never compared: a runner is dead if its record stays
// unchanged for heartbeatTimeout on the observer's clock while the observer can
// read the store.
type heartbeats struct {
	holder string
	store  bhplatform.Store
	clock  bhclock.Clock
	logger bhlog.Logger

	mu sync.Mutex
	// records holds the last observed records by host.
	records map[string]observedHeartbeat
	// observedAt is when records was last read, and sentAt when the last
	// successful heartbeat was sent; zero means never.
	observedAt time.Duration
	sentAt     time.Duration
}

func newHeartbeats(holder string, store bhplatform.Store, clock bhclock.Clock, logger bhlog.Logger) *heartbeats {
	return &heartbeats{holder: holder, store: store, clock: clock, logger: logger, records: make(map[string]observedHeartbeat)}
}

func heartbeatKey(holder string) bhplatform.Key {
	return bhplatform.Key{Table: runnerTable, Name: bhhost.HostOf(holder)}
}

// sendLoop sends heartbeats until ctx is done, also while the runner holds no
// claims: otherwise observers would consider the holder of a new claim dead,
// because its record had not changed before.
func (h *heartbeats) sendLoop(ctx context.Context) error {
	if err := h.send(ctx); err != nil && ctx.Err() == nil {
		bhlog.Problem(h.logger, "beat.failed", err, "holder", h.holder)
	}
	// Runners that start together don't go on in step.
	bhtree.Sleep(ctx, rand.N(heartbeatInterval))
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if err := h.send(ctx); err != nil && ctx.Err() == nil {
			bhlog.Problem(h.logger, "beat.failed", err, "holder", h.holder)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sendIfStale sends a heartbeat if the last one is too old for a new claim.
func (h *heartbeats) sendIfStale(ctx context.Context) error {
	h.mu.Lock()
	old := h.sentAt == 0 || h.clock.Now()-h.sentAt > heartbeatInterval+heartbeatInterval/2
	h.mu.Unlock()
	if !old {
		return nil
	}
	return h.send(ctx)
}

// send writes this runner's record and removes the expired ones.
func (h *heartbeats) send(ctx context.Context) error {
	sent := h.clock.Now()
	_, err := h.store.Apply(ctx, bhplatform.Transaction{
		Puts:    []bhplatform.Put{{Key: heartbeatKey(h.holder), Value: []byte(h.holder)}},
		Deletes: h.expiredKeys(),
	})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt = sent
	return nil
}

// remove removes this runner's record, so that other runners soon take over the
// claims that it has left.
func (h *heartbeats) remove(ctx context.Context) error {
	_, err := h.store.Apply(ctx, bhplatform.Transaction{Deletes: []bhplatform.Key{heartbeatKey(h.holder)}})
	return err
}

// observe reads the records of all runners if the last read is observeInterval
// ago, or if one of the holders isn't known.
func (h *heartbeats) observe(ctx context.Context, holders map[string]bool) error {
	sent := h.clock.Now()
	if !h.observationDue(sent, holders) {
		return nil
	}
	page, err := bhplatform.ScanAll(ctx, h.store, bhplatform.Range{Table: runnerTable})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if sent < h.observedAt {
		return nil // a later read was faster
	}
	if sent-h.observedAt > heartbeatTimeout {
		clear(h.records) // the other runners may not have reached the store either
	}
	h.observedAt = sent
	present := make(map[string]bool, len(page.Records))
	for _, record := range page.Records {
		host := record.Key.Name
		present[host] = true
		if last, ok := h.records[host]; !ok || last.version != record.Version {
			h.records[host] = observedHeartbeat{holder: string(record.Value), version: record.Version, changedAt: sent}
		}
	}
	for host := range h.records {
		if !present[host] {
			delete(h.records, host)
		}
	}
	return nil
}

// observationDue reports whether the records have to be read at now.
func (h *heartbeats) observationDue(now time.Duration, holders map[string]bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for holder := range holders {
		if h.records[bhhost.HostOf(holder)].holder != holder {
			return true
		}
	}
	return now-h.observedAt >= observeInterval
}

// dead reports whether a holder is dead, so that its claims may be taken over.
// It returns false if the observations are too old to tell.
func (h *heartbeats) dead(holder string) bool {
	host := bhhost.HostOf(holder)
	if host == bhhost.HostOf(h.holder) {
		return holder != h.holder
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observedAt == 0 || h.clock.Now()-h.observedAt > 2*observeInterval {
		return false
	}
	last, ok := h.records[host]
	if !ok || last.holder != holder {
		// The holder has removed its record, or a later process of its host has
		// replaced it.
		return true
	}
	return h.observedAt-last.changedAt >= heartbeatTimeout
}

// age returns how long the holder's record has been unchanged at the last observation; negative if
// the holder has none.
func (h *heartbeats) age(holder string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, ok := h.records[bhhost.HostOf(holder)]
	if !ok || last.holder != holder {
		return -1
	}
	return h.observedAt - last.changedAt
}

// expiredKeys returns the keys of records that have been unchanged for
// deadRecordRetention.
func (h *heartbeats) expiredKeys() []bhplatform.Key {
	h.mu.Lock()
	defer h.mu.Unlock()
	var keys []bhplatform.Key
	for host, last := range h.records {
		if last.holder != h.holder && h.observedAt-last.changedAt >= deadRecordRetention {
			keys = append(keys, bhplatform.Key{Table: runnerTable, Name: host})
		}
	}
	return keys
}
