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
	// queueRetry is when to come back if the account has too many tokens waiting.
	queueRetry = time.Second
	// writeRetry is when to come back if the store didn't take the job.
	writeRetry = 300 * time.Millisecond
)

// Validate reports the first mistake of a submission.
func (s *Submission) Validate() error {
	if s.ID == "" {
		return bhcode.New(bhcode.BatchInvalid, "the job has no id")
	}
	if len(s.Items) == 0 || len(s.Items) > maxItems {
		return bhcode.New(bhcode.BatchInvalid, "the job has %d items of 1 to %d", len(s.Items), maxItems)
	}
	seen := make(map[string]bool, len(s.Items))
	for i, item := range s.Items {
		if item.ID == "" || item.Target == "" || seen[item.ID] {
			return bhcode.New(bhcode.BatchInvalid, "item %d has the id %q and the path %q; ids are unique and both are required", i, item.ID, item.Target)
		}
		seen[item.ID] = true
	}
	return nil
}

// Submit stores the job. It returns nil once the job is durable, also if an
// earlier submission of it was. PlatformUnknown means that it may be or become so.
func (l *JobStore) Submit(ctx context.Context, submission Submission) error {
	if err := submission.Validate(); err != nil {
		return err
	}
	payload, err := l.payload(ctx, submission)
	if err != nil {
		return err
	}
	unknown := false
	for range changeTries {
		err := l.accept(ctx, submission, payload)
		switch {
		case err == nil:
			return nil
		case bhplatform.IsConflict(err):
			continue
		case bhcode.Is(err, bhcode.PlatformUnknown):
			// The same conditional write again finds out what became of the first.
			unknown = true
			bhlog.Problem(l.config.Logger, "job.unsettled", err, "job", submission.ID)
			continue
		case unknown:
			return unsettled(err)
		}
		return err
	}
	if unknown {
		return unsettled(errors.Errorf("%d attempts had no settled outcome", changeTries))
	}
	return bhcode.New(bhcode.PlatformUnavailable, "other jobs of the account were accepted %d times meanwhile", changeTries).WithRetryAfter(writeRetry)
}

// unsettled returns the failure of a submission that may have been accepted. It
// may come again: the same job is accepted once.
func unsettled(err error) error {
	return bhcode.Wrap(err, bhcode.PlatformUnknown, "the job may have been accepted").WithRan(bhcode.RanUnknown)
}

// accept makes one attempt to store the job with what is left of its payload.
func (l *JobStore) accept(ctx context.Context, submission Submission, payload []bhplatform.Put) error {
	var gate, done *bhplatform.Record
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() (err error) { gate, err = l.get(groupCtx, gateKey(submission.Account)); return err })
	group.Go(func() (err error) {
		done, err = l.get(groupCtx, jobKey(doneTable, submission.Account, submission.ID))
		return err
	})
	if err := group.Wait(); err != nil {
		return refused(err)
	}
	// Read after the gate, so that a job accepted meanwhile changes the gate.
	queued, open, now, err := l.queued(ctx, submission)
	if err != nil {
		return refused(err)
	}
	if open || done != nil {
		bhlog.Event(l.config.Logger, "job.repeated", "job", submission.ID, "account", submission.Account)
		return nil
	}
	job, tokens := submission.job(now)
	if submission.MaxQueued > 0 && queued+tokens > submission.MaxQueued {
		return bhcode.New(bhcode.RateExceeded, "%d tokens wait and %d more would be over %d", queued, tokens, submission.MaxQueued).WithRetryAfter(queueRetry)
	}
	value, err := encode(job)
	if err != nil {
		return err
	}
	key := jobKey(jobTable, submission.Account, submission.ID)
	conditions := []bhplatform.Condition{
		{Key: key, Version: bhplatform.Absent},
		{Key: jobKey(doneTable, submission.Account, submission.ID), Version: bhplatform.Absent},
		{Key: gateKey(submission.Account), Version: versionOf(gate)},
	}
	puts := append([]bhplatform.Put{
		{Key: key, Value: value},
		// Each acceptance changes the gate, so that two at once don't both fit.
		{Key: gateKey(submission.Account), Value: []byte(submission.ID)},
	}, payload...)
	receipt, err := l.config.Store.Apply(ctx, bhplatform.Transaction{Conditions: conditions, Puts: puts})
	if err != nil {
		return refused(err)
	}
	bhlog.Event(l.config.Logger, "job.accepted", "job", submission.ID, "account", submission.Account, "route", submission.Route,
		"items", len(job.Items), "tokens", tokens, "queued", queued, "due", job.Due, "version", receipt.Version)
	return nil
}

func gateKey(account string) bhplatform.Key {
	return bhplatform.Key{Table: gateTable, Partition: partition(account), Name: accountPrefix(account)}
}

func versionOf(record *bhplatform.Record) bhplatform.Version {
	if record == nil {
		return bhplatform.Absent
	}
	return record.Version
}

// refused adds when to come back to an error of the store.
func refused(err error) error {
	if bhcode.Is(err, bhcode.PlatformUnavailable) {
		return bhcode.Wrap(err, bhcode.PlatformUnavailable, "the store did not take the job").WithRetryAfter(writeRetry)
	}
	return err
}

// queued returns the tokens that the account has waiting on the route, whether
// the job itself is open, and the store's clock.
func (l *JobStore) queued(ctx context.Context, submission Submission) (int64, bool, time.Duration, error) {
	prefix := accountPrefix(submission.Account)
	page, err := bhplatform.ScanAll(ctx, l.config.Store, bhplatform.Range{
		Table: jobTable, Partition: partition(submission.Account), From: prefix, To: prefixEnd(prefix),
	})
	if err != nil {
		return 0, false, 0, err
	}
	var sum int64
	open := false
	for _, record := range page.Records {
		job, err := decodeJob(record)
		if err != nil {
			return 0, false, 0, err
		}
		if job.Route == submission.Route {
			sum += job.QueuedTokens()
		}
		open = open || job.ID == submission.ID
	}
	return sum, open, page.Now, nil
}

// prefixEnd returns the first name after all names that start with the prefix,
// which ends with a slash.
func prefixEnd(prefix string) string { return prefix[:len(prefix)-1] + "0" }

func (s *Submission) job(now time.Duration) (*Job, int64) {
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

// payload encodes the items. What doesn't fit into the accepting transaction
// is stored ahead; nothing refers to it until the job is accepted.
func (l *JobStore) payload(ctx context.Context, submission Submission) ([]bhplatform.Put, error) {
	var puts []bhplatform.Put
	size := 0
	for _, item := range submission.Items {
		value, err := encode(item)
		if err != nil {
			return nil, err
		}
		key := itemKey(itemTable, submission.Account, submission.ID, item.ID)
		if len(value) > recordLimit {
			if value, err = l.divert(ctx, key, value); err != nil {
				return nil, refused(err)
			}
		}
		if len(puts) == transactionRecords-4 || size+len(value) > transactionBytes {
			if _, err := l.config.Store.Apply(ctx, bhplatform.Transaction{Puts: puts}); err != nil {
				return nil, refusedPayload(err)
			}
			puts, size = nil, 0
		}
		puts = append(puts, bhplatform.Put{Key: key, Value: value})
		size += len(value)
	}
	return puts, nil
}

// refusedPayload turns an unknown outcome into a refusal, since stored items
// without a job never run.
func refusedPayload(err error) error {
	if bhcode.Is(err, bhcode.PlatformUnknown) {
		err = bhcode.Wrap(err, bhcode.PlatformUnavailable, "storing items")
	}
	return refused(err)
}

// diverted is the record of an item or result that is stored as an object.
type diverted struct {
	Object string `cbor:"100,keyasint"`
}

// divert stores a value as an object and returns the record that names it.
func (l *JobStore) divert(ctx context.Context, key bhplatform.Key, value []byte) ([]byte, error) {
	name := objectName(key)
	if err := l.config.Objects.Put(ctx, name, bytes.NewReader(value)); err != nil {
		return nil, errors.Wrapf(err, "object %s", name)
	}
	return encode(diverted{Object: name})
}
