package bhjob

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// sweepInterval is the mean time between a runner's sweeps.
	sweepInterval = 2 * time.Minute
	// sweepMargin is kept beyond the time for which results stay readable, for
	// clients that come late.
	sweepMargin = 5 * time.Minute
)

// Sweep removes finished jobs from the store until ctx is done, once their
// results needn't be readable any more.
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

// Sweep removes the finished jobs that were accepted longer than retention and
// a margin ago. It returns how many it removed.
func (l *JobStore) Sweep(ctx context.Context, retention time.Duration) (int, error) {
	removed := 0
	for _, part := range allPartitions() {
		page, err := bhplatform.ScanAll(ctx, l.config.Store, bhplatform.Range{Table: doneTable, Partition: part})
		if err != nil {
			return removed, err
		}
		for _, record := range page.Records {
			job, err := decodeJob(record)
			if err != nil {
				bhlog.Problem(l.config.Logger, "job.invalid", err, "record", record.Key.Name)
				continue
			}
			if page.Now < job.Accepted+retention+sweepMargin {
				continue
			}
			if err := l.removeJob(ctx, job); err != nil {
				return removed, err
			}
			removed++
		}
	}
	return removed, nil
}

// removeJob removes what belongs to a finished job, and the job's own record
// last, so that an interrupted removal is taken up again.
func (l *JobStore) removeJob(ctx context.Context, job *Job) error {
	name := jobName(job.Account, job.ID) + "/"
	for _, key := range []bhplatform.Key{
		jobKey(itemTable, job.Account, job.ID), checkpointKey(job, "", ""), jobKey(resultTable, job.Account, job.ID),
	} {
		page, err := bhplatform.ScanAll(ctx, l.config.Store, bhplatform.Range{
			Table: key.Table, Partition: key.Partition, From: name, To: prefixEnd(name),
		})
		if err != nil {
			return err
		}
		if err := l.removeRecords(ctx, page.Records); err != nil {
			return err
		}
	}
	_, err := l.config.Store.Apply(ctx, bhplatform.Transaction{Deletes: []bhplatform.Key{jobKey(doneTable, job.Account, job.ID)}})
	return errors.Wrapf(err, "removing job %s", job.ID)
}

func (l *JobStore) removeRecords(ctx context.Context, records []bhplatform.Record) error {
	var keys []bhplatform.Key
	for _, record := range records {
		var elsewhere diverted
		if err := cbor.Unmarshal(record.Value, &elsewhere); err == nil && elsewhere.Object != "" {
			if err := l.config.Objects.Delete(ctx, elsewhere.Object); err != nil {
				return errors.Wrapf(err, "removing object %s", elsewhere.Object)
			}
		}
		keys = append(keys, record.Key)
	}
	for len(keys) > 0 {
		batch := keys[:min(len(keys), transactionRecords)]
		if _, err := l.config.Store.Apply(ctx, bhplatform.Transaction{Deletes: batch}); err != nil {
			return errors.Wrap(err, "removing records")
		}
		keys = keys[len(batch):]
	}
	return nil
}
