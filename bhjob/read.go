package bhjob

import (
	"context"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// resultBytes bounds one reply with results.
const resultBytes = 900 << 10

// objectName returns the name of the object that replaces a record's value.
func objectName(key bhplatform.Key) string {
	return key.Table + "." + strings.ReplaceAll(key.Name, "/", ".")
}

// load decodes a record's value, which may lie in an object.
func (l *JobStore) load(ctx context.Context, data []byte, value any) error {
	var elsewhere diverted
	if err := cbor.Unmarshal(data, &elsewhere); err != nil {
		return errors.Wrap(err, "decoding a record")
	}
	if elsewhere.Object != "" {
		body, err := l.config.Objects.Get(ctx, elsewhere.Object, 0)
		if err != nil {
			return errors.Wrapf(err, "object %s", elsewhere.Object)
		}
		defer body.Close()
		if data, err = io.ReadAll(body); err != nil {
			return bhcode.Wrap(err, bhcode.PlatformUnavailable, "object "+elsewhere.Object)
		}
	}
	return errors.Wrap(cbor.Unmarshal(data, value), "decoding a record")
}

// Results returns the job's results from a position on. NotFound means that
// there is no such job.
func (l *JobStore) Results(ctx context.Context, account, id string, after int) (Results, error) {
	job, err := l.find(ctx, account, id)
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
	page, err := l.config.Store.Scan(ctx, bhplatform.Range{
		Table: resultTable, Partition: partition(account),
		From: resultKey(account, id, after).Name, To: resultKey(account, id, job.ResultCount).Name,
	})
	if err != nil {
		return Results{}, err
	}
	size := 0
	for _, record := range page.Records {
		var result Result
		if err := l.load(ctx, record.Value, &result); err != nil {
			return Results{}, err
		}
		if size += len(result.Text); size > resultBytes && len(results.Results) > 0 {
			break
		}
		results.Results = append(results.Results, result)
		results.Next++
	}
	return results, nil
}

// Body returns the body of an item. NotFound means that there is no such item,
// or that its job ended.
func (l *JobStore) Body(ctx context.Context, account, job, item string) ([]byte, error) {
	record, err := l.get(ctx, itemKey(itemTable, account, job, item))
	if err != nil {
		return nil, err
	}
	found, err := l.find(ctx, account, job)
	if err != nil {
		return nil, err
	}
	if found == nil || record == nil || found.item(item) == nil {
		return nil, bhcode.New(bhcode.NotFound, "the account %s has no item %q of a job %q", account, item, job)
	}
	var content Item
	if err := l.load(ctx, record.Value, &content); err != nil {
		return nil, err
	}
	return content.Body, nil
}

// End ends the job; what is listed stays. It may be repeated.
func (l *JobStore) End(ctx context.Context, account, id string) error {
	job, err := l.find(ctx, account, id)
	switch {
	case err != nil:
		return err
	case job == nil:
		return bhcode.New(bhcode.NotFound, "the account %s has no job %q", account, id)
	case job.Done():
		return nil // all items are listed, or it was ended before
	}
	_, err = l.change(ctx, job, func(job *Job) ([]bhplatform.Put, bool, error) {
		if job.Ended {
			return nil, false, nil
		}
		job.Ended = true
		return nil, true, nil
	})
	if errors.Is(err, errGone) {
		return nil // finished or ended meanwhile
	}
	return err
}
