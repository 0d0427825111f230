package bhonce

import (
	"bytes"
	"context"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Claim is the right to run one request, once. Exactly one of Finish, Release
// and Lose ends it.
type Claim struct {
	keeper  *Keeper
	key     string
	record  record
	version bhplatform.Version
}

// Finish stores the answer of the request, which ran. If ctx ends first it
// goes on in the background and returns the error.
func (c *Claim) Finish(ctx context.Context, answer Answer) error {
	c.record.State = stateDone
	if len(answer.Body) > MaxRowBody {
		c.record.Object = Prefix + c.record.ID
	}
	step := func(ctx context.Context) error { return c.store(ctx, answer) }
	return c.end(ctx, step)
}

// Release gives the key free again. It must be called only if the request
// certainly did not run and won't.
func (c *Claim) Release(ctx context.Context) error {
	return c.end(ctx, c.remove)
}

// Lose records that it isn't known whether the request ran.
func (c *Claim) Lose(ctx context.Context) error {
	c.record.State = stateUnknown
	return c.end(ctx, c.replace)
}

func (c *Claim) end(ctx context.Context, step func(context.Context) error) error {
	err := repeat(ctx, step)
	if err != nil {
		c.keeper.settle(step)
	}
	return err
}

// insert writes the row unless one exists and returns the row that exists then,
// or nil if that isn't known to be any.
func (c *Claim) insert(ctx context.Context) (*row, error) {
	value, err := encode(c.record)
	if err != nil {
		return nil, err
	}
	write := bhplatform.Write{Key: c.key, Value: value, Expect: bhplatform.Absent}
	versions, err := c.keeper.config.Table.Commit(ctx, write)
	if err == nil {
		return &row{record: c.record, version: versions[0]}, nil
	}
	if bhcode.Is(err, bhcode.PlatformUnavailable) {
		return nil, err
	}
	return c.read(ctx)
}

// read returns the row of the claim's key, or nil if there is none.
func (c *Claim) read(ctx context.Context) (*row, error) {
	found, err := c.keeper.config.Table.Get(ctx, c.key)
	if bhcode.Is(err, bhcode.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	decoded, err := decodeRow(found)
	return &decoded, err
}

func (c *Claim) store(ctx context.Context, answer Answer) error {
	if c.record.Object != "" {
		if err := c.keeper.config.Objects.Put(ctx, c.record.Object, bytes.NewReader(answer.Body)); err != nil {
			return err
		}
		answer.Body = nil
	}
	c.record.Answer = &answer
	return c.replace(ctx)
}

// replace writes the claim's record over its own row. It does nothing if the
// row has the record already or is no longer the claim's.
func (c *Claim) replace(ctx context.Context) error {
	value, err := encode(c.record)
	if err != nil {
		return err
	}
	write := bhplatform.Write{Key: c.key, Value: value, Expect: c.version}
	_, err = c.keeper.config.Table.Commit(ctx, write)
	if err == nil || bhcode.Is(err, bhcode.PlatformUnavailable) {
		return err
	}
	found, readErr := c.read(ctx)
	if readErr != nil {
		return readErr
	}
	if found == nil || found.ID != c.record.ID || found.State == c.record.State {
		return nil
	}
	c.version = found.version
	return err
}

// remove deletes the claim's own row, if there is one.
func (c *Claim) remove(ctx context.Context) error {
	found, err := c.read(ctx)
	if err != nil {
		return err
	}
	if found == nil || found.ID != c.record.ID {
		return nil
	}
	write := bhplatform.Write{Key: c.key, Delete: true, Expect: found.version}
	_, err = c.keeper.config.Table.Commit(ctx, write)
	if bhcode.Is(err, bhcode.PlatformConflict) {
		return nil
	}
	return err
}
