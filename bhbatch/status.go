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
	// Chunks is the number of chunks completed.
	Chunks int
}

// Remaining is the number of items that have not ended; of a cancelled job,
// the items that never will.
func (s Status) Remaining() int { return s.Job.Items - s.Counts.Completed - s.Counts.Failed }

// Expected returns the expected end at the mean rate since the job's creation.
// It is zero while nothing has completed and after the job's end.
func (s Status) Expected(now time.Time) time.Time {
	ended := s.Counts.Completed + s.Counts.Failed
	if s.Job.State != Running || ended == 0 {
		return time.Time{}
	}
	spent := now.Sub(s.Job.Created)
	return now.Add(time.Duration(float64(spent) * float64(s.Remaining()) / float64(ended)))
}

// Holds reports whether the job ended, or is expected to end, by its deadline.
func (s Status) Holds(now time.Time) bool {
	if s.Job.State != Running {
		return !s.Job.Ended.After(s.Job.Deadline)
	}
	expected := s.Expected(now)
	if expected.IsZero() {
		return now.Before(s.Job.Deadline)
	}
	return !expected.After(s.Job.Deadline)
}

// Get returns the progress of a batch of account.
func (s *Store) Get(ctx context.Context, account, id string) (Status, error) {
	job, _, err := s.job(ctx, account, id)
	if err != nil {
		return Status{}, err
	}
	return s.status(ctx, job)
}

// List returns up to limit batches of account whose ids follow after.
func (s *Store) List(ctx context.Context, account, after string, limit int) ([]Status, error) {
	if limit <= 0 || limit > MaxList+1 {
		limit = MaxList
	}
	prefix := prefixJob + account + "/"
	if after != "" {
		after = prefix + after
	}
	found, err := s.rows.table.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, err
	}
	list := make([]Status, 0, len(found))
	for _, row := range found {
		var job Job
		if err := decode(row, &job); err != nil {
			return nil, err
		}
		status, err := s.status(ctx, job)
		if err != nil {
			return nil, err
		}
		list = append(list, status)
	}
	return list, nil
}

// status adds the counts to a job. An ended job carries them in its row.
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

// parts calls each for the part rows that exist, in order.
func (s *Store) parts(ctx context.Context, job Job, each func(first int, part Part) error) error {
	prefix := partPrefix(job.Account, job.ID)
	return s.rows.list(ctx, prefix, func(row bhplatform.Row) error {
		number, err := partNumber(row.Key)
		if err != nil {
			return err
		}
		var part Part
		if err := decode(row, &part); err != nil {
			return err
		}
		return each(number*PartChunks, part)
	})
}

// Cancel ends a batch of account. Once it returns no item that has not
// completed will complete, and no runner starts an item later than
// CancelDelay. Cancelling an ended batch changes nothing.
func (s *Store) Cancel(ctx context.Context, account, id string) (Status, error) {
	var job Job
	err := settle(ctx, func() error {
		var version bhplatform.Version
		var err error
		job, version, err = s.job(ctx, account, id)
		if err != nil || job.State != Running {
			return err
		}
		job.State = Cancelled
		job.Ended = time.Now().UTC()
		return s.end(ctx, job, version, true)
	})
	if err != nil {
		return Status{}, err
	}
	bhlog.Event(s.logger, "batch.cancel", "account", account, "batch", id, "state", job.State)
	return s.status(ctx, job)
}

// finish ends a job whose chunks are all done. It reports whether the job has
// ended.
func (s *Store) finish(ctx context.Context, account, id string) (bool, error) {
	ended := false
	err := settle(ctx, func() error {
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
		return s.end(ctx, job, version, false)
	})
	if err == nil && ended {
		bhlog.Event(s.logger, "batch.end", "account", account, "batch", id)
	}
	return ended && err == nil, err
}

// end writes an ended job's row and removes it from the index. With hint the
// runners are told to look at their jobs.
func (s *Store) end(ctx context.Context, job Job, version bhplatform.Version, hint bool) error {
	row, err := encode(jobKey(job.Account, job.ID), job, version)
	if err != nil {
		return err
	}
	index := bhplatform.Write{Key: openKey(job.Account, job.ID), Expect: bhplatform.Any, Delete: true}
	writes := []bhplatform.Write{row, index}
	if hint {
		change, err := encode(keyHint, job.ID, bhplatform.Any)
		if err != nil {
			return err
		}
		writes = append(writes, change)
	}
	_, err = s.rows.table.Commit(ctx, writes...)
	return err
}

// hint returns a number that changes with each cancelled batch.
func (s *Store) hint(ctx context.Context) (bhplatform.Version, error) {
	row, err := s.rows.table.Get(ctx, keyHint)
	if bhcode.Is(err, bhcode.NotFound) {
		return bhplatform.Absent, nil
	}
	return row.Version, err
}
