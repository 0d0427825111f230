package bhevidence

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	// evidenceTable holds one record for each digest and source. All writers of a
	// record write the same, but for the last time at which a digest was cleared, so
	// that they need no conditions.
	evidenceTable = "crash"
	// syncInterval is the time between two reads of the records, which bounds how
	// long a process misses evidence if no datagram reaches it.
	syncInterval = 2 * time.Second
	syncTimeout  = 1500 * time.Millisecond
	// othersAfter is the age from which on a process saves evidence of others that
	// the store lacks.
	othersAfter = 5 * time.Second
	// clearedAgain is how much later a digest must have been cleared than the store
	// says before that is saved.
	clearedAgain = time.Second
	// maxSaved bounds the records of one transaction.
	maxSaved = 100
)

// record is the value of a digest's record.
type record struct {
	Test bhcrash.Test `json:"test,omitempty"`
	// At is when the upstream ended, or the digest was cleared, by the store's clock.
	At time.Duration `json:"at"`
}

// Sync reads the evidence from the store, at once and then every syncInterval, and
// saves what the store lacks, until ctx is done. It logs failures and returns nil.
func (r *Registry) Sync(ctx context.Context) error {
	if r.config.Store == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		if err := r.syncOnce(ctx); err != nil && ctx.Err() == nil {
			bhlog.Problem(r.config.Logger, "crash.unsaved", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.saveSignal:
		}
	}
}

// syncOnce merges the records into the ledger, deletes those that no longer count and
// saves evidence that the store lacks.
func (r *Registry) syncOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	page, err := bhplatform.ScanAll(ctx, r.config.Store, bhplatform.Range{Table: evidenceTable})
	if err != nil {
		return err
	}
	now := time.Now()
	saved := make(map[string]time.Time, len(page.Records))
	var expired []bhplatform.Key
	for _, stored := range page.Records {
		e, at, err := decodeRecord(stored)
		if err != nil {
			bhlog.Problem(r.config.Logger, "crash.invalid", err, "record", stored.Key.Name)
			continue
		}
		age := page.Now - at
		if age > bhcrash.Window {
			expired = append(expired, stored.Key, bhplatform.Key{Table: trialTable, Name: e.digest})
			continue
		}
		e.at = now.Add(-max(0, age))
		saved[stored.Key.Name] = e.at
		r.merge(e)
	}
	r.mu.Lock()
	r.saved = saved
	r.mu.Unlock()
	return r.save(ctx, page.Now, expired)
}

// save writes the evidence that the store lacks, by the store's clock now, and deletes
// the expired records.
func (r *Registry) save(ctx context.Context, now time.Duration, expired []bhplatform.Key) error {
	transaction := bhplatform.Transaction{Deletes: compact(expired[:min(len(expired), maxSaved/2)])}
	for _, e := range r.unsaved() {
		if len(transaction.Puts)+len(transaction.Deletes) >= maxSaved {
			break
		}
		value, err := json.Marshal(record{Test: e.test, At: now - time.Since(e.at)})
		if err != nil {
			return errors.WithStack(err)
		}
		transaction.Puts = append(transaction.Puts, bhplatform.Put{Key: bhplatform.Key{Table: evidenceTable, Name: recordName(e)}, Value: value})
	}
	if len(transaction.Puts)+len(transaction.Deletes) == 0 {
		return nil
	}
	_, err := r.config.Store.Apply(ctx, transaction)
	return err
}

// compact returns the keys without repetitions.
func compact(keys []bhplatform.Key) []bhplatform.Key {
	seen := make(map[bhplatform.Key]bool)
	return slices.DeleteFunc(keys, func(key bhplatform.Key) bool {
		repeated := seen[key]
		seen[key] = true
		return repeated
	})
}

// unsaved returns the evidence that this process has to save: its own, and that of
// others which seem to have failed to. What the store has no name for stays with the processes.
func (r *Registry) unsaved() []entry {
	known := r.knownEntries()
	r.mu.Lock()
	defer r.mu.Unlock()
	own := make(map[string]bool)
	for _, e := range r.fresh {
		own[recordName(e)] = true
	}
	var entries []entry
	for _, e := range known {
		name := recordName(e)
		savedAt, saved := r.saved[name]
		if e.clears() && e.at.Sub(savedAt) > clearedAgain {
			saved = false
		}
		if len(name) <= bhplatform.MaxNameBytes && !saved && (own[name] || time.Since(e.at) > othersAfter) {
			entries = append(entries, e)
		}
	}
	return entries
}

// recordName returns the name of the entry's record: the digest, the upstream's ID and
// its start.
func recordName(e entry) string {
	return strings.Join([]string{e.digest, e.source.Host, strconv.FormatUint(e.source.Incarnation, 10)}, "/")
}

// decodeRecord returns the entry of a record, without its time, and the time by the
// store's clock.
func decodeRecord(stored bhplatform.Record) (entry, time.Duration, error) {
	digest, rest, _ := strings.Cut(stored.Key.Name, "/")
	slash := strings.LastIndexByte(rest, '/')
	if len(encodeDigest(digest)) != digestBytes || slash < 0 {
		return entry{}, 0, errors.Errorf("the name %q isn't DIGEST/UPSTREAM/START", stored.Key.Name)
	}
	start, err := strconv.ParseUint(rest[slash+1:], 10, 64)
	if err != nil {
		return entry{}, 0, errors.Wrapf(err, "the start in the name %q", stored.Key.Name)
	}
	var value record
	if err := json.Unmarshal(stored.Value, &value); err != nil {
		return entry{}, 0, errors.WithStack(err)
	}
	return entry{source: bhcrash.Source{Host: rest[:slash], Incarnation: start}, digest: digest, test: value.Test}, value.At, nil
}
