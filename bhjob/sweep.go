package bhjob

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// sweepInterval is the mean time between a runner's sweeps.
	sweepInterval = 2 * time.Minute
	// sweepMargin is the time that results are kept beyond their retention, and
	// beyond the end of their job, for clients that read them late.
	sweepMargin = 5 * time.Minute
)

// Sweep repeatedly removes finished jobs past their retention from the store,
// until ctx is done.
func (r *Runner) Sweep(ctx context.Context) error {
	for {
		if !bhtree.Sleep(ctx, sweepInterval/2+rand.N(sweepInterval)) {
			return nil
		}
		removed, err := r.config.Jobs.Sweep(ctx, r.config.Retention())
		if err != nil && ctx.Err() == nil {
			bhlog.Problem(r.config.Logger, "jobs.unswept", err, "removed", removed)
			continue
		}
		bhlog.Event(r.config.Logger, "jobs.swept", "removed", removed)
	}
}

// Sweep removes the finished jobs that were accepted longer ago than retention
// plus sweepMargin, and that a call at least sweepMargin ago has found finished
// already: a job may take longer than the retention of its results. It returns
// the number of removed jobs, also with an error.
func (s *JobStore) Sweep(ctx context.Context, retention time.Duration) (int, error) {
	s.sweepMu.Lock()
	defer s.sweepMu.Unlock()
	removed := 0
	found := make(map[bhplatform.Key]bool)
	for _, part := range allPartitions() {
		page, err := bhplatform.ScanAll(ctx, s.config.Store, bhplatform.Range{Table: finishedTable, Partition: part})
		if err != nil {
			return removed, err
		}
		for _, record := range page.Records {
			job, err := decodeJob(record)
			if err != nil {
				bhlog.Problem(s.config.Logger, "job.invalid", err, "record", record.Key.Name)
				continue
			}
			found[record.Key] = true
			if _, ok := s.finishedSince[record.Key]; !ok {
				s.finishedSince[record.Key] = page.Now
			}
			if page.Now < max(job.Accepted+retention, s.finishedSince[record.Key])+sweepMargin {
				continue
			}
			if err := s.removeJob(ctx, job); err != nil {
				return removed, err
			}
			removed++
		}
	}
	maps.DeleteFunc(s.finishedSince, func(key bhplatform.Key, _ time.Duration) bool { return !found[key] })
	return removed, nil
}

// removeJob removes a finished job's items, checkpoints and results. It removes
// the job's own record last, so that a later sweep continues an interrupted
// removal.
func (s *JobStore) removeJob(ctx context.Context, job *Job) error {
	name := jobName(job.Account, job.ID) + "/"
	keys := []bhplatform.Key{jobKey(itemTable, job.Account, job.ID), jobKey(resultTable, job.Account, job.ID)}
	for number := range uint64(checkpointPartitions) {
		keys = append(keys, bhplatform.Key{Table: checkpointTable, Partition: checkpointPartition(number)})
	}
	for _, key := range keys {
		page, err := bhplatform.ScanAll(ctx, s.config.Store, bhplatform.Range{
			Table: key.Table, Partition: key.Partition, From: name, To: prefixEnd(name),
		})
		if err != nil {
			return err
		}
		if err := s.removeRecords(ctx, page.Records); err != nil {
			return err
		}
	}
	_, err := s.config.Store.Apply(ctx, bhplatform.Transaction{Deletes: []bhplatform.Key{jobKey(finishedTable, job.Account, job.ID)}})
	return errors.Wrapf(err, "removing job %s", job.ID)
}

// removeRecords removes the records and the objects that they name.
func (s *JobStore) removeRecords(ctx context.Context, records []bhplatform.Record) error {
	var keys []bhplatform.Key
	for _, record := range records {
		var reference objectReference
		if err := decode(record.Value, &reference); err == nil && reference.Object != "" {
			if err := s.config.Objects.Delete(ctx, reference.Object); err != nil {
				return errors.Wrapf(err, "removing object %s", reference.Object)
			}
		}
		keys = append(keys, record.Key)
	}
	for len(keys) > 0 {
		batch := keys[:min(len(keys), transactionRecords)]
		if _, err := s.config.Store.Apply(ctx, bhplatform.Transaction{Deletes: batch}); err != nil {
			return errors.Wrap(err, "removing records")
		}
		keys = keys[len(batch):]
	}
	return nil
}
