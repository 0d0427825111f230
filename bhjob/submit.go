package bhjob

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const (
	maxItems = 200
	// queueRetryAfter is the delay that a client is told to wait if its account
	// has too many queued tokens.
	queueRetryAfter = time.Second
	// writeRetryAfter is the delay that a client is told to wait if the store
	// didn't take the job.
	writeRetryAfter = 300 * time.Millisecond
)

// Submit stores the job. It returns nil once the job is durable, also if the
// same job was submitted before: the account and the job's id are the
// idempotency key.
//
// The error carries BatchInvalid for an invalid submission, RateExceeded if the
// account would have more than MaxQueued tokens queued, PlatformUnavailable if
// the job was not stored, and PlatformUnknown if the job is stored or may still
// become stored.
func (s *JobStore) Submit(ctx context.Context, submission Submission) error {
	if err := submission.Validate(); err != nil {
		return err
	}
	payload, err := s.prepareItems(ctx, submission)
	if err != nil {
		return err
	}
	unknown := false
	for range changeAttempts {
		err := s.accept(ctx, submission, payload)
		switch {
		case err == nil:
			return nil
		case bhplatform.IsConflict(err):
			continue
		case bhcode.Is(err, bhcode.PlatformUnknown):
			// Repeating the conditional write reveals whether the first one was
			// applied.
			unknown = true
			bhlog.Problem(s.config.Logger, "job.unsettled", err, "job", submission.ID)
			continue
		case unknown:
			return outcomeUnknown(err)
		}
		return err
	}
	if unknown {
		return outcomeUnknown(errors.Errorf("%d attempts had no settled outcome", changeAttempts))
	}
	return bhcode.New(bhcode.PlatformUnavailable, "other jobs of the account were accepted %d times meanwhile", changeAttempts).WithRetryAfter(writeRetryAfter)
}

// outcomeUnknown returns the error for a submission that may have been
// accepted. The client may submit the job again, since a job is accepted only
// once.
func outcomeUnknown(err error) error {
	return bhcode.Wrap(err, bhcode.PlatformUnknown, "the job may have been accepted").WithRan(bhcode.RanUnknown)
}

// accept makes one attempt to store the job together with payload, the items
// that are not stored yet.
func (s *JobStore) accept(ctx context.Context, submission Submission, payload []bhplatform.Put) error {
	var accountVersion, finished *bhplatform.Record
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		accountVersion, err = s.getRecord(groupCtx, accountVersionKey(submission.Account))
		return err
	})
	group.Go(func() (err error) {
		finished, err = s.getRecord(groupCtx, jobKey(finishedTable, submission.Account, submission.ID))
		return err
	})
	if err := group.Wait(); err != nil {
		return withRetryAfter(err)
	}
	// The queue is read after the account's version, so that a job accepted in
	// between changes the version and makes the write below conflict.
	queued, open, now, err := s.accountQueue(ctx, submission)
	if err != nil {
		return withRetryAfter(err)
	}
	if open || finished != nil {
		bhlog.Event(s.config.Logger, "job.repeated", "job", submission.ID, "account", submission.Account)
		return nil
	}
	job, tokens := submission.newJob(now)
	if submission.MaxQueued > 0 && queued+tokens > submission.MaxQueued {
		return bhcode.New(bhcode.RateExceeded, "%d tokens wait and %d more would be over %d", queued, tokens, submission.MaxQueued).WithRetryAfter(queueRetryAfter)
	}
	value, err := encode(job)
	if err != nil {
		return err
	}
	key := jobKey(jobTable, submission.Account, submission.ID)
	conditions := []bhplatform.Condition{
		{Key: key, Version: bhplatform.Absent},
		{Key: jobKey(finishedTable, submission.Account, submission.ID), Version: bhplatform.Absent},
		{Key: accountVersionKey(submission.Account), Version: versionOf(accountVersion)},
	}
	puts := append([]bhplatform.Put{
		{Key: key, Value: value},
		// Each acceptance changes the account's version, so that two concurrent
		// submissions can't both use the same room below MaxQueued.
		{Key: accountVersionKey(submission.Account), Value: []byte(submission.ID)},
	}, payload...)
	receipt, err := s.config.Store.Apply(ctx, bhplatform.Transaction{Conditions: conditions, Puts: puts})
	if err != nil {
		return withRetryAfter(err)
	}
	bhlog.Event(s.config.Logger, "job.accepted", "job", submission.ID, "account", submission.Account, "route", submission.Route,
		"items", len(job.Items), "tokens", tokens, "queued", queued, "due", job.Due, "version", receipt.Version)
	return nil
}

// accountVersionKey returns the key of the record that each accepted job of the
// account overwrites.
func accountVersionKey(account string) bhplatform.Key {
	return bhplatform.Key{Table: accountVersionTable, Partition: partition(account), Name: accountPrefix(account)}
}

func versionOf(record *bhplatform.Record) bhplatform.Version {
	if record == nil {
		return bhplatform.Absent
	}
	return record.Version
}

// withRetryAfter adds a retry delay to an error of the store if it carries
// PlatformUnavailable.
func withRetryAfter(err error) error {
	if bhcode.Is(err, bhcode.PlatformUnavailable) {
		return bhcode.Wrap(err, bhcode.PlatformUnavailable, "the store did not take the job").WithRetryAfter(writeRetryAfter)
	}
	return err
}

// accountQueue returns the queued tokens of the account's open jobs on the
// route, whether the submitted job is already open, and the reading of the
// store's clock. Jobs that can't be decoded count as open, without tokens.
func (s *JobStore) accountQueue(ctx context.Context, submission Submission) (int64, bool, time.Duration, error) {
	prefix := accountPrefix(submission.Account)
	page, err := bhplatform.ScanAll(ctx, s.config.Store, bhplatform.Range{
		Table: jobTable, Partition: partition(submission.Account), From: prefix, To: prefixEnd(prefix),
	})
	if err != nil {
		return 0, false, 0, err
	}
	var sum int64
	open := false
	for _, record := range page.Records {
		open = open || record.Key.Name == jobName(submission.Account, submission.ID)
		job, err := decodeJob(record)
		if err != nil {
			bhlog.Problem(s.config.Logger, "job.invalid", err, "record", record.Key.Name)
			continue
		}
		if job.Route == submission.Route {
			sum += job.QueuedTokens()
		}
	}
	return sum, open, page.Now, nil
}

// prefixEnd returns the first name after all names that start with the prefix,
// which must end with a slash.
func prefixEnd(prefix string) string { return prefix[:len(prefix)-1] + "0" }

// newJob returns the record of the job accepted at now, and the sum of its
// tokens.
func (s *Submission) newJob(now time.Duration) (*Job, int64) {
	job := &Job{
		ID: s.ID, Account: s.Account, Route: s.Route, Host: s.Host,
		Accepted: now, Due: now + s.RunTarget, Expires: now + s.Retention, Attempts: max(1, s.Attempts),
	}
	var tokens int64
	for _, item := range s.Items {
		job.Items = append(job.Items, ItemState{ID: item.ID, Tokens: item.Tokens})
		tokens += item.Tokens
	}
	return job, tokens
}

// prepareItems encodes the items and returns the puts for the transaction that
// accepts the job. Items that don't fit into that transaction are stored at
// once; nothing refers to them until the job is accepted.
func (s *JobStore) prepareItems(ctx context.Context, submission Submission) ([]bhplatform.Put, error) {
	var puts []bhplatform.Put
	size := 0
	for _, item := range submission.Items {
		value, err := encode(item)
		if err != nil {
			return nil, err
		}
		key := itemKey(itemTable, submission.Account, submission.ID, item.ID)
		if len(value) > recordLimit {
			if value, err = s.storeObject(ctx, key, value); err != nil {
				return nil, withRetryAfter(err)
			}
		}
		// The accepting transaction also holds the job, the account's version
		// and their conditions.
		if len(puts) == transactionRecords-4 || size+len(value) > transactionBytes {
			if _, err := s.config.Store.Apply(ctx, bhplatform.Transaction{Puts: puts}); err != nil {
				return nil, itemsNotStored(err)
			}
			puts, size = nil, 0
		}
		puts = append(puts, bhplatform.Put{Key: key, Value: value})
		size += len(value)
	}
	return puts, nil
}

// itemsNotStored returns the error for a failed write of items. An unknown
// outcome becomes PlatformUnavailable, since stored items without a job never
// run.
func itemsNotStored(err error) error {
	if bhcode.Is(err, bhcode.PlatformUnknown) {
		err = bhcode.Wrap(err, bhcode.PlatformUnavailable, "storing items")
	}
	return withRetryAfter(err)
}

// objectReference is the record of an item or result whose value is stored as
// an object.
type objectReference struct {
	Object string `cbor:"100,keyasint"`
}

// storeObject stores the value as an object and returns the encoded
// objectReference to it.
func (s *JobStore) storeObject(ctx context.Context, key bhplatform.Key, value []byte) ([]byte, error) {
	name := objectName(key)
	if err := s.config.Objects.Put(ctx, name, bytes.NewReader(value)); err != nil {
		return nil, errors.Wrapf(err, "object %s", name)
	}
	return encode(objectReference{Object: name})
}
