package bhbatch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhtree"
)

// Retry of platform operations.
const (
	retryFirst = 20 * time.Millisecond
	retryLast  = 2 * time.Second
)

// rows reads and writes JSON rows of the table.
type rows struct {
	table bhplatform.Table
}

// get decodes the row into value. A missing row has version Absent and leaves
// value as it is.
func (r rows) get(ctx context.Context, key string, value any) (bhplatform.Version, error) {
	row, err := r.table.Get(ctx, key)
	if bhcode.Is(err, bhcode.NotFound) {
		return bhplatform.Absent, nil
	}
	if err != nil {
		return 0, err
	}
	return row.Version, decode(row, value)
}

// list calls each for all rows with the prefix, page by page.
func (r rows) list(ctx context.Context, prefix string, each func(bhplatform.Row) error) error {
	const page = 500
	after := ""
	for {
		found, err := r.table.List(ctx, prefix, after, page)
		if err != nil {
			return err
		}
		for _, row := range found {
			if err := each(row); err != nil {
				return err
			}
		}
		if len(found) < page {
			return nil
		}
		after = found[len(found)-1].Key
	}
}

func decode(row bhplatform.Row, value any) error {
	return errors.Wrap(json.Unmarshal(row.Value, value), row.Key)
}

func encode(key string, value any, expect bhplatform.Version) (bhplatform.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return bhplatform.Write{}, errors.Wrap(err, key)
	}
	return bhplatform.Write{Key: key, Value: data, Expect: expect}, nil
}

// settle calls attempt until it succeeds or fails for good. An attempt whose
// write conflicted or has an unknown outcome is made again, and must start by
// reading the rows it changes.
func settle(ctx context.Context, attempt func() error) error {
	wait := retryFirst
	for {
		err := attempt()
		if err == nil || !retryable(err) {
			return err
		}
		if !bhtree.Sleep(ctx, jitter(wait)) {
			return err
		}
		wait = min(2*wait, retryLast)
	}
}

func retryable(err error) bool {
	return bhcode.Is(err, bhcode.PlatformConflict) ||
		bhcode.Is(err, bhcode.PlatformUnavailable) ||
		bhcode.Is(err, bhcode.PlatformUnknown)
}

// jitter returns a duration between half of wait and wait.
func jitter(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait/2+1)
}
