package bhonce

import (
	"bytes"
	"context"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Claim is the right to run one request once. The holder ends it by calling
// exactly one of Finish, Release and MarkUnknown.
type Claim struct {
	claimer *Claimer
	key     string
	record  record
	version bhplatform.Version
}

// Finish stores the answer of the request, which has run. If ctx is done first,
// Finish returns the last error and the write is retried in the background.
func (c *Claim) Finish(ctx context.Context, answer Answer) error {
	c.record.State = stateDone
	if len(answer.Body) > MaxRowBodyBytes {
		c.record.BodyObject = Prefix + c.record.ID
	}
	operation := func(ctx context.Context) error { return c.writeAnswer(ctx, answer) }
	return c.runOrRetryLater(ctx, operation)
}

// Release removes the claim, so that another request with the key may run. It
// must be called only if the request certainly did not run and won't. If ctx is
// done first, Release returns the last error and the removal is retried in the
// background.
func (c *Claim) Release(ctx context.Context) error {
	return c.runOrRetryLater(ctx, c.remove)
}

// MarkUnknown records that it isn't known whether the request ran. If ctx is
// done first, MarkUnknown returns the last error and the write is retried in
// the background.
func (c *Claim) MarkUnknown(ctx context.Context) error {
	c.record.State = stateUnknown
	return c.runOrRetryLater(ctx, c.replace)
}

// runOrRetryLater retries the operation until it succeeds or ctx is done. In
// the latter case it returns the last error and retries in the background.
func (c *Claim) runOrRetryLater(ctx context.Context, operation func(context.Context) error) error {
	err := retry(ctx, operation)
	if err != nil {
		c.claimer.retryInBackground(operation)
	}
	return err
}

// insert writes the claim's row if the key has none, and returns the row that
// the key has then. It returns nil without an error if the write failed and the
// key has no row.
func (c *Claim) insert(ctx context.Context) (*row, error) {
	value, err := encodeRecord(c.record)
	if err != nil {
		return nil, err
	}
	write := bhplatform.Write{Key: c.key, Value: value, Expect: bhplatform.Absent}
	versions, err := c.claimer.config.Table.Commit(ctx, write)
	if err == nil {
		return &row{record: c.record, version: versions[0]}, nil
	}
	if bhcode.Is(err, bhcode.PlatformUnavailable) {
		return nil, err
	}
	return c.readRow(ctx)
}

// readRow returns the row of the claim's key, or nil if there is none.
func (c *Claim) readRow(ctx context.Context) (*row, error) {
	tableRow, err := c.claimer.config.Table.Get(ctx, c.key)
	if bhcode.Is(err, bhcode.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	decoded, err := decodeRow(tableRow)
	return &decoded, err
}

// writeAnswer writes the answer into the claim's row. It first stores the body
// as an object if the record names one.
func (c *Claim) writeAnswer(ctx context.Context, answer Answer) error {
	if c.record.BodyObject != "" {
		if err := c.claimer.config.Objects.Put(ctx, c.record.BodyObject, bytes.NewReader(answer.Body)); err != nil {
			return err
		}
		answer.Body = nil
	}
	c.record.Answer = &answer
	return c.replace(ctx)
}

// replace overwrites the claim's own row with its record. If the write fails or
// its outcome is unknown, replace reads the row back. It returns nil if the row
// already has the record's state or is no longer the claim's; otherwise it
// returns the error, and a retry uses the row's current version.
func (c *Claim) replace(ctx context.Context) error {
	value, err := encodeRecord(c.record)
	if err != nil {
		return err
	}
	write := bhplatform.Write{Key: c.key, Value: value, Expect: c.version}
	_, err = c.claimer.config.Table.Commit(ctx, write)
	if err == nil || bhcode.Is(err, bhcode.PlatformUnavailable) {
		return err
	}
	current, readErr := c.readRow(ctx)
	if readErr != nil {
		return readErr
	}
	if current == nil || current.ID != c.record.ID || current.State == c.record.State {
		return nil
	}
	c.version = current.version
	return err
}

// remove deletes the claim's own row. It does nothing if the key has no row or
// the row belongs to another claim.
func (c *Claim) remove(ctx context.Context) error {
	current, err := c.readRow(ctx)
	if err != nil {
		return err
	}
	if current == nil || current.ID != c.record.ID {
		return nil
	}
	write := bhplatform.Write{Key: c.key, Delete: true, Expect: current.version}
	_, err = c.claimer.config.Table.Commit(ctx, write)
	if bhcode.Is(err, bhcode.PlatformConflict) {
		return nil
	}
	return err
}
