package bhjob

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// changeTries bounds the compare-and-set attempts of one change. Conflicts
	// come from the few runners that work on one job.
	changeTries = 12
	// settleTries bounds the reads after a write with an unknown outcome.
	settleTries = 3
	settlePause = 100 * time.Millisecond
)

// JobStoreConfig configures a Ledger.
type JobStoreConfig struct {
	Store   bhplatform.Store
	Objects bhplatform.Objects
	Logger  bhlog.Logger
}

// JobStore keeps jobs in the store.
type JobStore struct {
	config JobStoreConfig
}

// NewJobStore returns a ledger over the store.
func NewJobStore(config JobStoreConfig) *JobStore { return &JobStore{config: config} }

// find returns the job's record from the open or the finished jobs, or nil if
// there is none.
func (l *JobStore) find(ctx context.Context, account, id string) (*Job, error) {
	// A job moves from the first table to the second, never back.
	for _, table := range []string{jobTable, doneTable} {
		record, err := l.get(ctx, jobKey(table, account, id))
		if err != nil || record != nil {
			return jobOf(record, err)
		}
	}
	return nil, nil
}

func jobOf(record *bhplatform.Record, err error) (*Job, error) {
	if err != nil || record == nil {
		return nil, err
	}
	return decodeJob(*record)
}

// get returns the record with the key, or nil.
func (l *JobStore) get(ctx context.Context, key bhplatform.Key) (*bhplatform.Record, error) {
	page, err := l.config.Store.Scan(ctx, key.Range())
	if err != nil || len(page.Records) == 0 {
		return nil, err
	}
	return &page.Records[0], nil
}

// errGone reports that a job is not among the open ones.
var errGone = errors.New("the job is not open")

// edit changes a job and returns what is written beside it. It returns false
// if there is nothing to change.
type edit func(job *Job) (puts []bhplatform.Put, changed bool, err error)

// change applies an edit by compare-and-set, with the additional puts that the
// edit returns. A change whose outcome is unknown is settled by reading: the
// edit then finds its own work done.
func (l *JobStore) change(ctx context.Context, job *Job, edit edit) (*Job, error) {
	key := jobKey(jobTable, job.Account, job.ID)
	var last error
	for range changeTries {
		job = job.clone()
		puts, changed, err := edit(job)
		if err != nil || !changed {
			return job, err
		}
		receipt, err := l.commit(ctx, key, job, puts)
		if err == nil {
			job.Version = receipt.Version
			return job, nil
		}
		last = err
		if job, err = l.reread(ctx, key, err); err != nil {
			return nil, err
		}
	}
	return nil, errors.Wrapf(last, "job %s changed %d times meanwhile", job.ID, changeTries)
}

// commit writes the job, or moves it to the finished ones.
func (l *JobStore) commit(ctx context.Context, key bhplatform.Key, job *Job, puts []bhplatform.Put) (bhplatform.Receipt, error) {
	value, err := encode(job)
	if err != nil {
		return bhplatform.Receipt{}, err
	}
	transaction := bhplatform.Transaction{
		Conditions: []bhplatform.Condition{{Key: key, Version: job.Version}},
		Puts:       puts,
	}
	if job.Done() {
		transaction.Deletes = []bhplatform.Key{key}
		transaction.Puts = append(transaction.Puts, bhplatform.Put{Key: jobKey(doneTable, job.Account, job.ID), Value: value})
	} else {
		transaction.Puts = append(transaction.Puts, bhplatform.Put{Key: key, Value: value})
	}
	return l.config.Store.Apply(ctx, transaction)
}

// reread returns the job after a commit that failed with err.
func (l *JobStore) reread(ctx context.Context, key bhplatform.Key, err error) (*Job, error) {
	var conflict *bhplatform.ConflictError
	if errors.As(err, &conflict) {
		if len(conflict.Current) == 0 {
			return nil, errGone
		}
		return decodeJob(conflict.Current[0])
	}
	if !bhcode.Is(err, bhcode.PlatformUnknown) {
		return nil, err
	}
	for range settleTries {
		record, failure := l.get(ctx, key)
		if failure == nil {
			if record == nil {
				return nil, errGone
			}
			return decodeJob(*record)
		}
		err = failure
		if !bhtree.Sleep(ctx, settlePause) {
			break
		}
	}
	return nil, bhcode.Wrap(err, bhcode.PlatformUnknown, "settling a change of a job")
}
