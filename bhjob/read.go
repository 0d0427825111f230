package bhjob

import (
	"context"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// maxResultsBytes limits the text of one page of results. A single longer
// result is returned alone.
const maxResultsBytes = 900 << 10

// partJoiner joins the escaped parts of a record's name, which hold no slash, with dots.
var partJoiner = strings.NewReplacer(".", "%2E", "/", ".")

// objectName returns the name of the object that holds the value of the record
// with the key. No two records have the same one. Records name their object, so that
// objects are found that an earlier version named otherwise.
func objectName(key bhplatform.Key) string {
	return key.Table + "." + partJoiner.Replace(key.Name)
}

// decodeValue decodes a record's value into value. If the record only names an
// object, it reads and decodes the object. The error wraps errUnreadable if that can't be
// decoded or doesn't exist.
func (s *JobStore) decodeValue(ctx context.Context, data []byte, value any) error {
	var reference objectReference
	if err := decode(data, &reference); err != nil {
		return err
	}
	if reference.Object != "" {
		body, err := s.config.Objects.Get(ctx, reference.Object, 0)
		if bhcode.Is(err, bhcode.NotFound) {
			return errors.WithMessagef(errUnreadable, "object %s is missing", reference.Object)
		}
		if err != nil {
			return errors.Wrapf(err, "object %s", reference.Object)
		}
		defer body.Close()
		if data, err = io.ReadAll(body); err != nil {
			return bhcode.Wrap(err, bhcode.PlatformUnavailable, "object "+reference.Object)
		}
	}
	return decode(data, value)
}

// Results returns a page of the job's results, in the order in which they were
// recorded, starting at position after. The error carries NotFound if there is
// no such job.
func (s *JobStore) Results(ctx context.Context, account, id string, after int) (Results, error) {
	job, err := s.find(ctx, account, id)
	if err != nil {
		return Results{}, err
	}
	if job == nil {
		return Results{}, bhcode.New(bhcode.NotFound, "the account %s has no job %q", account, id)
	}
	results := Results{Total: len(job.Items), Next: after}
	if after >= job.ResultCount {
		return results, nil
	}
	page, err := s.config.Store.Scan(ctx, bhplatform.Range{
		Table: resultTable, Partition: partition(account),
		From: resultKey(account, id, after).Name, To: resultKey(account, id, job.ResultCount).Name,
	})
	if err != nil {
		return Results{}, err
	}
	size := 0
	for _, record := range page.Records {
		result, err := s.decodeResult(ctx, record)
		if err != nil {
			return Results{}, err
		}
		if size += len(result.Text); size > maxResultsBytes && len(results.Results) > 0 {
			break
		}
		results.Results = append(results.Results, result)
		results.Next++
	}
	return results, nil
}

// decodeResult decodes the record of a result. A result that is unreadable, or whose text isn't
// UTF-8, counts as one without output: clients can't get it, and its position is taken. If not
// even its ID is readable, that is empty.
func (s *JobStore) decodeResult(ctx context.Context, record bhplatform.Record) (Result, error) {
	var result Result
	err := s.decodeValue(ctx, record.Value, &result)
	switch {
	case errors.Is(err, errUnreadable):
	case err != nil:
		return Result{}, err
	case utf8.ValidString(result.Text) && utf8.ValidString(result.ID):
		return result, nil
	default:
		err = errors.New("the result is not UTF-8")
	}
	bhlog.Problem(s.config.Logger, "result.unreadable", err, "record", record.Key.Name)
	var identity struct {
		ID string `cbor:"1,keyasint"`
	}
	_ = decode(record.Value, &identity) // the ID stays empty
	return Result{ID: identity.ID, Status: Dead}, nil
}

// Body returns the request body of an item. The error carries NotFound if there
// is no such job or item.
func (s *JobStore) Body(ctx context.Context, account, job, item string) ([]byte, error) {
	record, err := s.getRecord(ctx, itemKey(itemTable, account, job, item))
	if err != nil {
		return nil, err
	}
	found, err := s.find(ctx, account, job)
	if err != nil {
		return nil, err
	}
	if found == nil || record == nil || found.item(item) == nil {
		return nil, bhcode.New(bhcode.NotFound, "the account %s has no item %q of a job %q", account, item, job)
	}
	var content Item
	if err := s.decodeValue(ctx, record.Value, &content); err != nil {
		return nil, err
	}
	return content.Body, nil
}

// End stops the job at the client's request. Results recorded so far stay
// readable. Ending a finished or ended job does nothing. The error carries
// NotFound if there is no such job.
func (s *JobStore) End(ctx context.Context, account, id string) error {
	job, err := s.find(ctx, account, id)
	switch {
	case err != nil:
		return err
	case job == nil:
		return bhcode.New(bhcode.NotFound, "the account %s has no job %q", account, id)
	case job.Done():
		return nil // all results are recorded, or the job was already ended
	}
	_, err = s.change(ctx, job, func(job *Job) ([]bhplatform.Put, bool, error) {
		if job.Ended {
			return nil, false, nil
		}
		job.Ended = true
		return nil, true, nil
	})
	if errors.Is(err, errNotOpen) {
		return nil // the job finished or was ended concurrently
	}
	return err
}
