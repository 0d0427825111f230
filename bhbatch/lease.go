package bhbatch

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Lease times.
const (
	// LeaseDuration is how long a holder may act on a lease after it sent the
	// write that granted or renewed it.
	LeaseDuration = 60 * time.Second
	// leaseMargin is how much longer others wait before they take a lease over.
	leaseMargin = 5 * time.Second
	// renewInterval is the age at which a holder renews its leases.
	renewInterval = LeaseDuration / 3
	// CancelDelay bounds the time from the acknowledgement of a cancel to the
	// last start of an item.
	CancelDelay = 3 * time.Second
)

// beat identifies one state of a lease.
type beat struct {
	fence int64
	count int64
}

type sighting struct {
	beat  beat
	since time.Time
}

// watch remembers since when leases of others have stood still. It uses only
// the local monotonic clock.
type watch struct {
	seen map[string]sighting
	// after is how long a lease must stand still to be taken over.
	after time.Duration
}

func newWatch() watch {
	return watch{seen: map[string]sighting{}, after: LeaseDuration + leaseMargin}
}

// lapsed notes the lease and reports whether it has stood still for longer
// than its holder may act on it.
func (w *watch) lapsed(key string, chunk Chunk, now time.Time) bool {
	current := beat{fence: chunk.Fence, count: chunk.Beat}
	last, ok := w.seen[key]
	if !ok || last.beat != current {
		w.seen[key] = sighting{beat: current, since: now}
		return false
	}
	return now.Sub(last.since) >= w.after
}

// sweep forgets leases not seen changing for long.
func (w *watch) sweep(now time.Time) {
	for key, last := range w.seen {
		if now.Sub(last.since) > 4*LeaseDuration {
			delete(w.seen, key)
		}
	}
}

// Lead is an open job as the index shows it.
type Lead struct {
	Open
	// Version is that of the index row, which exists unchanged until the job
	// ends.
	Version bhplatform.Version
}

// Leads returns the jobs that have not ended.
func (s *Store) Leads(ctx context.Context) ([]Lead, error) {
	var leads []Lead
	err := s.rows.list(ctx, prefixOpen, func(row bhplatform.Row) error {
		lead := Lead{Version: row.Version}
		if err := decode(row, &lead.Open); err != nil {
			return err
		}
		leads = append(leads, lead)
		return nil
	})
	return leads, err
}

// ended reports whether the job has ended.
func (s *Store) ended(ctx context.Context, lead Lead) (bool, error) {
	_, err := s.rows.table.Get(ctx, openKey(lead.Account, lead.ID))
	if bhcode.Is(err, bhcode.NotFound) {
		return true, nil
	}
	return false, err
}

// Granted is the result of a change of a part.
type Granted struct {
	Outcome
	// Sent is when the write that took effect was sent, the start of all leases
	// granted or renewed by it.
	Sent time.Time
}

// Change applies change to part n of the job. An unknown outcome is settled by
// reading the row back. It fails with BatchCancelled if the job has ended.
func (s *Store) Change(ctx context.Context, lead Lead, n int, change Change) (Granted, error) {
	update := partUpdate{store: s, lead: lead, part: n, change: change}
	err := settle(ctx, func() error { return update.attempt(ctx) })
	return update.result, err
}

// partUpdate is one change of a part with its attempts.
type partUpdate struct {
	store  *Store
	lead   Lead
	part   int
	change Change
	// tried lists the leases claimed by attempts with an unknown outcome.
	tried  []Grant
	result Granted
}

func (u *partUpdate) attempt(ctx context.Context) error {
	job := Job{Chunks: u.lead.Chunks}
	part := Part{Chunks: make([]Chunk, job.partChunks(u.part))}
	key := partKey(u.lead.Account, u.lead.ID, u.part)
	version, err := u.store.rows.get(ctx, key, &part)
	if err != nil {
		return err
	}
	first := u.part * PartChunks
	change := u.change
	recovered := u.recovered(first, part)
	change.Keep = append(recovered, change.Keep...)
	change.Claim -= len(recovered)
	out := part.Apply(first, change)
	u.tried = append(u.tried, out.Granted...)
	u.result = Granted{Outcome: out, Sent: time.Now()}
	u.result.Granted = append(recovered, out.Granted...)
	if !out.Changed {
		return nil
	}
	return u.write(ctx, key, version)
}

// recovered lists the leases that earlier attempts were granted after all.
func (u *partUpdate) recovered(first int, part Part) []Grant {
	var grants []Grant
	for _, grant := range u.tried {
		held := part.Chunks[grant.Chunk-first].holds(u.change.Holder, grant.Fence)
		if held && !slices.Contains(grants, grant) {
			grants = append(grants, grant)
		}
	}
	return grants
}

// write writes the part on the condition that the job has not ended.
func (u *partUpdate) write(ctx context.Context, key string, version bhplatform.Version) error {
	write, err := encode(key, u.result.Part, version)
	if err != nil {
		return err
	}
	index := openKey(u.lead.Account, u.lead.ID)
	check := bhplatform.Write{Key: index, Expect: u.lead.Version, Check: true}
	_, err = u.store.rows.table.Commit(ctx, write, check)
	if !bhcode.Is(err, bhcode.PlatformConflict) {
		return err
	}
	ended, endedErr := u.store.ended(ctx, u.lead)
	if endedErr != nil {
		return endedErr
	}
	if ended {
		return bhcode.New(bhcode.BatchCancelled, "batch %s has ended", u.lead.ID)
	}
	return err
}

func partNumber(key string) (int, error) {
	n, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	return n, errors.Wrap(err, key)
}
