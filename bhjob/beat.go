package bhjob

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhclock"
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

// seenBeat is the last change of another runner's record, by our own clock.
type seenBeat struct {
	version bhplatform.Version
	since   time.Duration
}

// beats shows that this runner lives, and sees which others do. No clocks of
// hosts are compared: a record that stands still for beatTimeout of the
// observer's clock, while the observer reads the store, is a dead runner's.
type beats struct {
	holder string
	store  bhplatform.Store
	clock  bhclock.Clock
	logger bhlog.Logger

	mu       sync.Mutex
	seen     map[string]seenBeat
	observed time.Duration
	beaten   time.Duration
	// steady is since when reads have followed each other without a gap.
	steady time.Duration
}

func newBeats(holder string, store bhplatform.Store, clock bhclock.Clock, logger bhlog.Logger) *beats {
	return &beats{holder: holder, store: store, clock: clock, logger: logger, seen: make(map[string]seenBeat)}
}

func beatKey(holder string) bhplatform.Key {
	return bhplatform.Key{Table: runnerTable, Name: holder}
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
		Puts:    []bhplatform.Put{{Key: beatKey(b.holder), Value: []byte{1}}},
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

// observe reads the records of all runners if the last look is long enough ago.
func (b *beats) observe(ctx context.Context) error {
	sent := b.clock.Now()
	b.mu.Lock()
	due := sent-b.observed >= observeInterval
	b.mu.Unlock()
	if !due {
		return nil
	}
	page, err := bhplatform.ScanAll(ctx, b.store, bhplatform.Range{Table: runnerTable})
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if sent-b.observed > beatTimeout {
		// Others may not have reached the store either.
		b.steady = sent
		clear(b.seen)
	}
	b.observed = sent
	listed := make(map[string]bool, len(page.Records))
	for _, record := range page.Records {
		listed[record.Key.Name] = true
		if last, ok := b.seen[record.Key.Name]; !ok || last.version != record.Version {
			b.seen[record.Key.Name] = seenBeat{version: record.Version, since: sent}
		}
	}
	for holder := range b.seen {
		if !listed[holder] {
			delete(b.seen, holder)
		}
	}
	return nil
}

// dead reports whether a holder's claims may be taken over.
func (b *beats) dead(holder string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.observed == 0 || b.clock.Now()-b.observed > 2*observeInterval {
		return false
	}
	last, ok := b.seen[holder]
	if !ok {
		// It has removed its record, or never wrote one.
		return b.observed-b.steady > observeInterval
	}
	return b.observed-last.since >= beatTimeout
}

// expired returns the records of runners that have been dead for long.
func (b *beats) expired() []bhplatform.Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []bhplatform.Key
	for holder, last := range b.seen {
		if holder != b.holder && b.observed-last.since >= forgetAfter {
			keys = append(keys, beatKey(holder))
		}
	}
	return keys
}
