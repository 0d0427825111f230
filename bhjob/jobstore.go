package bhjob

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

const (
	// changeAttempts limits the compare-and-set attempts of one change. Only
	// the few runners that work on the same job conflict with each other.
	changeAttempts = 12
	// rereadAttempts limits the reads after a write with an unknown outcome.
	rereadAttempts = 3
	rereadDelay    = 100 * time.Millisecond
)

// JobStoreConfig configures a JobStore.
type JobStoreConfig struct {
	Store   bhplatform.Store
	Objects bhplatform.Objects
	Logger  bhlog.Logger
}

// JobStore reads and writes jobs in the platform's store. It is safe for
// concurrent use.
type JobStore struct {
	config JobStoreConfig

	// sweepMu is held by Sweep.
	sweepMu sync.Mutex
	// finishedSince is when Sweep has first found a job finished, by the store's clock.
	finishedSince map[bhplatform.Key]time.Duration
}

// NewJobStore returns a JobStore that uses the configured store.
func NewJobStore(config JobStoreConfig) *JobStore {
	return &JobStore{config: config, finishedSince: make(map[bhplatform.Key]time.Duration)}
}

// find returns the job, whether open or finished, or nil if there is none.
func (s *JobStore) find(ctx context.Context, account, id string) (*Job, error) {
	// The order matters: a job moves from the first table to the second, never
	// back.
	for _, table := range []string{jobTable, finishedTable} {
		record, err := s.getRecord(ctx, jobKey(table, account, id))
		if err != nil || record != nil {
			return decodeFound(record, err)
		}
	}
	return nil, nil
}

// decodeFound decodes a record that getRecord returned.
func decodeFound(record *bhplatform.Record, err error) (*Job, error) {
	if err != nil || record == nil {
		return nil, err
	}
	return decodeJob(*record)
}

// getRecord returns the record with the key, or nil if there is none.
func (s *JobStore) getRecord(ctx context.Context, key bhplatform.Key) (*bhplatform.Record, error) {
	page, err := s.config.Store.Scan(ctx, key.Range())
	if err != nil || len(page.Records) == 0 {
		return nil, err
	}
	return &page.Records[0], nil
}

// errNotOpen reports that the job is not, or no longer, in the table of open
// jobs.
var errNotOpen = errors.New("the job is not open")

// jobEdit modifies a job in place and returns the puts to write in the same
// transaction. It returns false if nothing has to be written. It may be called
// several times, each time with the job's newest record.
type jobEdit func(job *Job) (puts []bhplatform.Put, changed bool, err error)

// change applies an edit to the job by compare-and-set and returns the changed
// job. After a conflict or a write with an unknown outcome it rereads the job
// and calls edit again, which must detect that its change was already applied.
// The error is errNotOpen if the job has finished.
func (s *JobStore) change(ctx context.Context, job *Job, edit jobEdit) (*Job, error) {
	key := jobKey(jobTable, job.Account, job.ID)
	var lastErr error
	for attempt := range changeAttempts {
		job = job.clone()
		puts, changed, err := edit(job)
		if err != nil || !changed {
			return job, err
		}
		receipt, err := s.commit(ctx, key, job, puts)
		if err == nil {
			job.Version = receipt.Version
			return job, nil
		}
		lastErr = err
		if bhcode.Is(err, bhcode.PlatformUnknown) {
			bhlog.Problem(s.config.Logger, "job.unsettled", err, "job", job.ID, "version", job.Version, "attempt", attempt)
		}
		if job, err = s.reread(ctx, key, err); err != nil {
			return nil, err
		}
	}
	return nil, errors.Wrapf(lastErr, "job %s changed %d times meanwhile", job.ID, changeAttempts)
}

// commit writes the job together with puts. A job that is done moves to the
// table of finished jobs.
func (s *JobStore) commit(ctx context.Context, key bhplatform.Key, job *Job, puts []bhplatform.Put) (bhplatform.Receipt, error) {
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
		transaction.Puts = append(transaction.Puts, bhplatform.Put{Key: jobKey(finishedTable, job.Account, job.ID), Value: value})
	} else {
		transaction.Puts = append(transaction.Puts, bhplatform.Put{Key: key, Value: value})
	}
	return s.config.Store.Apply(ctx, transaction)
}

// reread returns the job's current record after a commit that failed with err.
// It returns err itself if that was neither a conflict nor an unknown outcome.
func (s *JobStore) reread(ctx context.Context, key bhplatform.Key, err error) (*Job, error) {
	var conflict *bhplatform.ConflictError
	if errors.As(err, &conflict) {
		if len(conflict.Current) == 0 {
			return nil, errNotOpen
		}
		return decodeJob(conflict.Current[0])
	}
	if !bhcode.Is(err, bhcode.PlatformUnknown) {
		return nil, err
	}
	for range rereadAttempts {
		record, readErr := s.getRecord(ctx, key)
		if readErr == nil {
			if record == nil {
				return nil, errNotOpen
			}
			return decodeJob(*record)
		}
		err = readErr
		if !bhtree.Sleep(ctx, rereadDelay) {
			break
		}
	}
	return nil, bhcode.Wrap(err, bhcode.PlatformUnknown, "settling a change of a job")
}
