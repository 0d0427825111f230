package bhjob

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhclock"
	"github.com/baobabhaven/baobabhaven/bhhost"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// beatInterval is how often a runner shows that it lives.
	beatInterval = time.Second
	// beatTimeout is how long a record may stand still, or its absence be seen,
	// before the runner's claims are taken over.
	beatTimeout = 3500 * time.Millisecond
	// observeInterval is how often other runners' records are read.
	observeInterval = time.Second
	// forgetAfter is when the record of a dead runner is removed.
	forgetAfter = time.Minute
)

// seenBeat is the last change of another host's record, by our own clock.
type seenBeat struct {
	holder  string
	version bhplatform.Version
	since   time.Duration
}

// beats shows that this runner lives, and sees which others do. Each host has
// one record, which names its runner's present start: earlier ones are dead. No
// clocks of hosts are compared: a record that stands still for beatTimeout of
// the observer's clock, while the observer reads the store, is a dead runner's.
type beats struct {
	holder string
	store  bhplatform.Store
	clock  bhclock.Clock
	logger bhlog.Logger

	mu sync.Mutex
	// seen holds the records by host.
	seen     map[string]seenBeat
	observed time.Duration
	beaten   time.Duration
}

func newBeats(holder string, store bhplatform.Store, clock bhclock.Clock, logger bhlog.Logger) *beats {
	return &beats{holder: holder, store: store, clock: clock, logger: logger, seen: make(map[string]seenBeat)}
}

func beatKey(holder string) bhplatform.Key {
	return bhplatform.Key{Table: runnerTable, Name: bhhost.HostOf(holder)}
}

// run beats until ctx is done. It goes on without claims, since observers would
// take the holder of a new claim for dead if its record had stood still before.
func (b *beats) run(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		if err := b.beat(ctx); err != nil && ctx.Err() == nil {
			bhlog.Problem(b.logger, "beat.failed", err, "holder", b.holder)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ensure beats if the last beat is too old for a new claim.
func (b *beats) ensure(ctx context.Context) error {
	b.mu.Lock()
	old := b.beaten == 0 || b.clock.Now()-b.beaten > beatInterval+beatInterval/2
	b.mu.Unlock()
	if !old {
		return nil
	}
	return b.beat(ctx)
}

func (b *beats) beat(ctx context.Context) error {
	sent := b.clock.Now()
	_, err := b.store.Apply(ctx, bhplatform.Transaction{
		Puts:    []bhplatform.Put{{Key: beatKey(b.holder), Value: []byte(b.holder)}},
		Deletes: b.expired(),
	})
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beaten = sent
	return nil
}

// remove removes the record, so that what is left of the runner's claims is
// taken over soon.
func (b *beats) remove(ctx context.Context) error {
	_, err := b.store.Apply(ctx, bhplatform.Transaction{Deletes: []bhplatform.Key{beatKey(b.holder)}})
	return err
}

// observe reads the records of all runners if the last look is long enough ago,
// or if one of the holders isn't known.
func (b *beats) observe(ctx context.Context, holders map[string]bool) error {
	sent := b.clock.Now()
	if !b.due(sent, holders) {
		return nil
	}
	page, err := bhplatform.ScanAll(ctx, b.store, bhplatform.Range{Table: runnerTable})
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if sent-b.observed > beatTimeout {
		clear(b.seen) // others may not have reached the store either
	}
	b.observed = sent
	listed := make(map[string]bool, len(page.Records))
	for _, record := range page.Records {
		host := record.Key.Name
		listed[host] = true
		if last, ok := b.seen[host]; !ok || last.version != record.Version {
			b.seen[host] = seenBeat{holder: string(record.Value), version: record.Version, since: sent}
		}
	}
	for host := range b.seen {
		if !listed[host] {
			delete(b.seen, host)
		}
	}
	return nil
}

func (b *beats) due(now time.Duration, holders map[string]bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for holder := range holders {
		if b.seen[bhhost.HostOf(holder)].holder != holder {
			return true
		}
	}
	return now-b.observed >= observeInterval
}

// dead reports whether a holder's claims may be taken over.
func (b *beats) dead(holder string) bool {
	host := bhhost.HostOf(holder)
	if host == bhhost.HostOf(b.holder) {
		return holder != b.holder
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.observed == 0 || b.clock.Now()-b.observed > 2*observeInterval {
		return false
	}
	last, ok := b.seen[host]
	if !ok || last.holder != holder {
		// It has removed its record, or another start of the runner has replaced it.
		return true
	}
	return b.observed-last.since >= beatTimeout
}

// expired returns the records of runners that have been dead for long.
func (b *beats) expired() []bhplatform.Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []bhplatform.Key
	for host, last := range b.seen {
		if last.holder != b.holder && b.observed-last.since >= forgetAfter {
			keys = append(keys, bhplatform.Key{Table: runnerTable, Name: host})
		}
	}
	return keys
}
