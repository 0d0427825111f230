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

// Delays between the attempts of a platform operation.
const (
	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// jsonTable reads and writes rows of the platform's table as JSON.
type jsonTable struct {
	table bhplatform.Table
}

// get decodes the row at key into value and returns the row's version. For a
// missing row the version is Absent and value is left unchanged.
func (t jsonTable) get(ctx context.Context, key string, value any) (bhplatform.Version, error) {
	row, err := t.table.Get(ctx, key)
	if bhcode.Is(err, bhcode.NotFound) {
		return bhplatform.Absent, nil
	}
	if err != nil {
		return 0, err
	}
	return row.Version, decode(row, value)
}

// list calls visit for each row whose key has the prefix, page by page, until
// visit returns an error.
func (t jsonTable) list(ctx context.Context, prefix string, visit func(bhplatform.Row) error) error {
	const page = 500
	after := ""
	for {
		found, err := t.table.List(ctx, prefix, after, page)
		if err != nil {
			return err
		}
		for _, row := range found {
			if err := visit(row); err != nil {
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

// retry calls attempt until it succeeds, fails with an error that is not
// retryable or ctx is done. The delay between attempts grows exponentially. A
// failed attempt may have taken effect, or its write conflicted, so each
// attempt must first read the rows that it changes.
func retry(ctx context.Context, attempt func() error) error {
	delay := firstRetryDelay
	for {
		err := attempt()
		if err == nil || !retryable(err) {
			return err
		}
		if !bhtree.Sleep(ctx, jitter(delay)) {
			return err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// retryable reports whether err is a write conflict, an unavailable platform or
// an unknown outcome.
func retryable(err error) bool {
	return bhcode.Is(err, bhcode.PlatformConflict) ||
		bhcode.Is(err, bhcode.PlatformUnavailable) ||
		bhcode.Is(err, bhcode.PlatformUnknown)
}

// jitter returns a random duration between half of delay and delay.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay/2+1)
}
