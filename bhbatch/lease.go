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

// Durations of leases.
const (
	// LeaseDuration is how long a holder may act on a lease, counted from when
	// it sent the write that granted or last renewed the lease.
	LeaseDuration = 60 * time.Second
	// takeoverMargin is how much longer than LeaseDuration other runners wait
	// before they take over a lease.
	takeoverMargin = 5 * time.Second
	// renewInterval is the lease age at which a holder renews its leases.
	renewInterval = LeaseDuration / 3
	// CancelDelay bounds the time from the acknowledgement of a cancellation to
	// the last start of an item of the job.
	CancelDelay = 3 * time.Second
)

// leaseVersion identifies a lease as it was granted or last renewed.
type leaseVersion struct {
	fence    int64
	renewals int64
}

// observation is the last version seen of a lease, and when it was first seen.
type observation struct {
	version leaseVersion
	since   time.Time
}

// leaseMonitor records how long the leases of other runners have been
// unchanged. It uses only the local monotonic clock.
type leaseMonitor struct {
	observations map[string]observation
	// takeoverDelay is how long a lease must be unchanged before it may be
	// taken over.
	takeoverDelay time.Duration
}

func newLeaseMonitor() leaseMonitor {
	return leaseMonitor{observations: map[string]observation{}, takeoverDelay: LeaseDuration + takeoverMargin}
}

// expired records the lease and reports whether it has been unchanged for
// takeoverDelay, which is longer than its holder may act on it.
func (m *leaseMonitor) expired(key string, chunk Chunk, now time.Time) bool {
	observed := leaseVersion{fence: chunk.Fence, renewals: chunk.Renewals}
	previous, ok := m.observations[key]
	if !ok || previous.version != observed {
		m.observations[key] = observation{version: observed, since: now}
		return false
	}
	return now.Sub(previous.since) >= m.takeoverDelay
}

// prune removes the leases that were not seen to change for four times
// LeaseDuration.
func (m *leaseMonitor) prune(now time.Time) {
	for key, last := range m.observations {
		if now.Sub(last.since) > 4*LeaseDuration {
			delete(m.observations, key)
		}
	}
}

// OpenJob is a job that has not ended, as read from the index.
type OpenJob struct {
	IndexRow
	// Version is the version of the index row, which is not changed until the
	// job ends.
	Version bhplatform.Version
}

// OpenJobs returns the jobs that have not ended.
func (s *Store) OpenJobs(ctx context.Context) ([]OpenJob, error) {
	var openJobs []OpenJob
	err := s.rows.list(ctx, prefixOpen, func(row bhplatform.Row) error {
		openJob := OpenJob{Version: row.Version}
		if err := decode(row, &openJob.IndexRow); err != nil {
			return err
		}
		openJobs = append(openJobs, openJob)
		return nil
	})
	return openJobs, err
}

// jobEnded reports whether the job has ended, which deletes its index row.
func (s *Store) jobEnded(ctx context.Context, job OpenJob) (bool, error) {
	_, err := s.rows.table.Get(ctx, openKey(job.Account, job.ID))
	if bhcode.Is(err, bhcode.NotFound) {
		return true, nil
	}
	return false, err
}

// ChangeResult is the result of a change of a part.
type ChangeResult struct {
	Outcome
	// SentAt is when the write that took effect was sent. The leases that it
	// granted or renewed start at this time.
	SentAt time.Time
}

// ChangePart applies change to part n of the job. After a write with an unknown
// outcome it reads the row again and retries. It fails with BatchCancelled if
// the job has ended.
func (s *Store) ChangePart(ctx context.Context, job OpenJob, n int, change PartChange) (ChangeResult, error) {
	update := partUpdate{store: s, job: job, part: n, change: change}
	err := retry(ctx, func() error { return update.attempt(ctx) })
	return update.result, err
}

// partUpdate is one change of a part over all its attempts.
type partUpdate struct {
	store  *Store
	job    OpenJob
	part   int
	change PartChange
	// claimed lists the leases that the attempts claimed. The outcome of their
	// writes may be unknown.
	claimed []Grant
	result  ChangeResult
}

// attempt reads the part, applies the change and writes the part. A lease that
// an earlier attempt obtained is kept and counts as one of the chunks to lease.
func (u *partUpdate) attempt(ctx context.Context) error {
	jobRow := Job{Chunks: u.job.Chunks}
	part := Part{Chunks: make([]Chunk, jobRow.partChunks(u.part))}
	key := partKey(u.job.Account, u.job.ID, u.part)
	version, err := u.store.rows.get(ctx, key, &part)
	if err != nil {
		return err
	}
	first := u.part * PartChunks
	change := u.change
	recovered := u.recoveredLeases(first, part)
	change.Renew = append(recovered, change.Renew...)
	change.Claim -= len(recovered)
	out := part.Apply(first, change)
	u.claimed = append(u.claimed, out.Granted...)
	u.result = ChangeResult{Outcome: out, SentAt: time.Now()}
	u.result.Granted = append(recovered, out.Granted...)
	if !out.Changed {
		return nil
	}
	return u.commit(ctx, key, version)
}

// recoveredLeases lists the leases claimed by earlier attempts that the row
// shows as held.
func (u *partUpdate) recoveredLeases(first int, part Part) []Grant {
	var grants []Grant
	for _, grant := range u.claimed {
		held := part.Chunks[grant.Chunk-first].heldBy(u.change.Holder, grant.Fence)
		if held && !slices.Contains(grants, grant) {
			grants = append(grants, grant)
		}
	}
	return grants
}

// commit writes the part on condition that the job has not ended.
func (u *partUpdate) commit(ctx context.Context, key string, version bhplatform.Version) error {
	write, err := encode(key, u.result.Part, version)
	if err != nil {
		return err
	}
	indexKey := openKey(u.job.Account, u.job.ID)
	check := bhplatform.Write{Key: indexKey, Expect: u.job.Version, Check: true}
	_, err = u.store.rows.table.Commit(ctx, write, check)
	if !bhcode.Is(err, bhcode.PlatformConflict) {
		return err
	}
	ended, endedErr := u.store.jobEnded(ctx, u.job)
	if endedErr != nil {
		return endedErr
	}
	if ended {
		return bhcode.New(bhcode.BatchCancelled, "batch %s has ended", u.job.ID)
	}
	return err
}

func parsePartNumber(key string) (int, error) {
	n, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	return n, errors.Wrap(err, key)
}
