package bhbatch

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Status is the progress of a job.
type Status struct {
	Job    Job
	Counts Counts
	// Chunks is the number of chunks that are done.
	Chunks int
}

// Remaining returns the number of items that have not ended. Those of a
// cancelled job never end.
func (s Status) Remaining() int { return s.Job.Items - s.Counts.Completed - s.Counts.Failed }

// ExpectedEnd returns when the job is expected to end, extrapolated from its
// mean rate since it was created. The time is zero while no item has ended and
// once the job has ended.
func (s Status) ExpectedEnd(now time.Time) time.Time {
	ended := s.Counts.Completed + s.Counts.Failed
	if s.Job.State != Running || ended == 0 {
		return time.Time{}
	}
	elapsed := now.Sub(s.Job.Created)
	return now.Add(time.Duration(float64(elapsed) * float64(s.Remaining()) / float64(ended)))
}

// MeetsDeadline reports whether the job ended by its deadline or, while it
// runs, is expected to.
func (s Status) MeetsDeadline(now time.Time) bool {
	if s.Job.State != Running {
		return !s.Job.Ended.After(s.Job.Deadline)
	}
	expected := s.ExpectedEnd(now)
	if expected.IsZero() {
		return now.Before(s.Job.Deadline)
	}
	return !expected.After(s.Job.Deadline)
}

// Get returns the progress of a batch of account, or NotFound.
func (s *Store) Get(ctx context.Context, account, id string) (Status, error) {
	job, _, err := s.job(ctx, account, id)
	if err != nil {
		return Status{}, err
	}
	return s.status(ctx, job)
}

// List returns up to limit batches of account whose ids follow after. A limit
// outside 1 to MaxList+1 means MaxList.
func (s *Store) List(ctx context.Context, account, after string, limit int) ([]Status, error) {
	if limit <= 0 || limit > MaxList+1 {
		limit = MaxList
	}
	prefix := prefixJob + account + "/"
	if after != "" {
		after = prefix + after
	}
	page, err := s.rows.table.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	statuses := make([]Status, 0, len(page))
	for _, row := range page {
		var job Job
		if err := decode(row, &job); err != nil {
			return nil, err
		}
		status, err := s.status(ctx, job)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, status)
	}
	return statuses, nil
}

// status adds the counts to a job. The row of a completed job contains them;
// for other jobs they are summed over the parts.
func (s *Store) status(ctx context.Context, job Job) (Status, error) {
	if job.State == Completed {
		return Status{Job: job, Counts: job.Counts, Chunks: job.Chunks}, nil
	}
	status := Status{Job: job}
	err := s.parts(ctx, job, func(_ int, part Part) error {
		counts, done := part.Counts()
		status.Counts = status.Counts.Add(counts)
		status.Chunks += done
		return nil
	})
	return status, err
}

// parts calls visit for each part of the job that has a row, in order. first is
// the number of the part's first chunk within the job.
func (s *Store) parts(ctx context.Context, job Job, visit func(first int, part Part) error) error {
	prefix := partPrefix(job.Account, job.ID)
	return s.rows.list(ctx, prefix, func(row bhplatform.Row) error {
		number, err := parsePartNumber(row.Key)
		if err != nil {
			return err
		}
		var part Part
		if err := decode(row, &part); err != nil {
			return err
		}
		return visit(number*PartChunks, part)
	})
}

// Cancel ends a batch of account. Once Cancel returns, no further item
// completes, and no runner starts an item later than CancelDelay. It changes
// nothing if the batch has ended. It fails with NotFound if the account has no
// such batch.
func (s *Store) Cancel(ctx context.Context, account, id string) (Status, error) {
	var job Job
	err := retry(ctx, func() error {
		var version bhplatform.Version
		var err error
		job, version, err = s.job(ctx, account, id)
		if err != nil || job.State != Running {
			return err
		}
		job.State = Cancelled
		job.Ended = time.Now().UTC()
		return s.endJob(ctx, job, version, true)
	})
	if err != nil {
		return Status{}, err
	}
	bhlog.Event(s.logger, "batch.cancel", "account", account, "batch", id, "state", job.State)
	return s.status(ctx, job)
}

// endIfDone ends a job whose chunks are all done. It reports whether the job
// has ended.
func (s *Store) endIfDone(ctx context.Context, account, id string) (bool, error) {
	ended := false
	err := retry(ctx, func() error {
		job, version, err := s.job(ctx, account, id)
		if err != nil {
			return err
		}
		if job.State != Running {
			ended = true
			return nil
		}
		status, err := s.status(ctx, job)
		if err != nil || status.Chunks < job.Chunks {
			return err
		}
		job.State = Completed
		job.Ended = time.Now().UTC()
		job.Counts = status.Counts
		ended = true
		return s.endJob(ctx, job, version, false)
	})
	if err == nil && ended {
		bhlog.Event(s.logger, "batch.end", "account", account, "batch", id)
	}
	return ended && err == nil, err
}

// endJob writes the row of an ended job and deletes its index row. If
// notifyRunners is set it also writes the cancellation hint, on which runners
// check whether their jobs have ended.
func (s *Store) endJob(ctx context.Context, job Job, version bhplatform.Version, notifyRunners bool) error {
	jobWrite, err := encode(jobKey(job.Account, job.ID), job, version)
	if err != nil {
		return err
	}
	indexWrite := bhplatform.Write{Key: openKey(job.Account, job.ID), Expect: bhplatform.Any, Delete: true}
	writes := []bhplatform.Write{jobWrite, indexWrite}
	if notifyRunners {
		hintWrite, err := encode(cancelHintKey, job.ID, bhplatform.Any)
		if err != nil {
			return err
		}
		writes = append(writes, hintWrite)
	}
	_, err = s.rows.table.Commit(ctx, writes...)
	return err
}

// cancelHintVersion returns the version of the cancellation hint, which changes
// with each cancelled batch.
func (s *Store) cancelHintVersion(ctx context.Context) (bhplatform.Version, error) {
	row, err := s.rows.table.Get(ctx, cancelHintKey)
	if bhcode.Is(err, bhcode.NotFound) {
		return bhplatform.Absent, nil
	}
	return row.Version, err
}
