package bhsync

import (
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhplatform"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// maxWhole is the largest whole copy in bytes.
const maxWhole = bhwire.MaxBody

// Archive is the configuration's history on the platform.
type Archive struct {
	table   bhplatform.Table
	objects bhplatform.Objects
}

// NewArchive returns the archive on the platform.
func NewArchive(platform bhplatform.Platform) *Archive {
	return &Archive{table: platform.Table, objects: platform.Objects}
}

// head is the head row with its row version, which is Absent before the first
// push.
type head struct {
	headRow
	row bhplatform.Version
}

// Load returns the messages that bring an empty host to the newest version.
// There are none before the first push.
func (a *Archive) Load(ctx context.Context) ([]bhwire.Config, error) {
	head, err := a.head(ctx)
	if err != nil || head.Version == 0 {
		return nil, err
	}
	return a.path(ctx, head.Whole, head.Object, head.Version)
}

// Changes returns the messages after version, and whether these are all.
func (a *Archive) Changes(ctx context.Context, version int64) (messages []bhwire.Config, all bool, err error) {
	rows, err := a.table.List(ctx, changePrefix, changeKey(version), pageSize)
	if err != nil {
		return nil, false, err
	}
	for _, row := range rows {
		change, err := parseRow[changeRow](row.Value)
		if err != nil {
			return nil, false, err
		}
		message, err := a.message(ctx, change)
		if err != nil {
			return nil, false, err
		}
		messages = append(messages, message)
	}
	return messages, len(rows) < pageSize, nil
}

// At returns the configuration as it was at version.
func (a *Archive) At(ctx context.Context, version int64) (bhconf.Config, error) {
	change, err := a.change(ctx, version)
	if err != nil {
		return bhconf.Config{}, err
	}
	messages, err := a.path(ctx, change.Whole, change.Object, version)
	if err != nil {
		return bhconf.Config{}, err
	}
	store := NewStore(StoreConfig{})
	for _, message := range messages {
		if _, err := store.Apply(message); err != nil {
			return bhconf.Config{}, err
		}
	}
	if store.Version() != version {
		return bhconf.Config{}, bhcode.New(bhcode.NotFound, "version %d is incomplete", version)
	}
	return store.Current().Config, nil
}

// History returns up to limit versions before the given one, newest first. With
// before 0 it starts at the newest version.
func (a *Archive) History(ctx context.Context, before int64, limit int) ([]Record, error) {
	if before == 0 {
		head, err := a.head(ctx)
		if err != nil {
			return nil, err
		}
		before = head.Version + 1
	}
	after := max(before-int64(limit)-1, 0)
	rows, err := a.table.List(ctx, changePrefix, changeKey(after), limit)
	if err != nil {
		return nil, err
	}
	var records []Record
	for i := len(rows) - 1; i >= 0; i-- {
		change, err := parseRow[changeRow](rows[i].Value)
		if err != nil {
			return nil, err
		}
		if change.Version < before {
			records = append(records, change.record())
		}
	}
	return records, nil
}

// head reads the head row.
func (a *Archive) head(ctx context.Context) (head, error) {
	row, err := a.table.Get(ctx, headKey)
	if bhcode.Is(err, bhcode.NotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	parsed, err := parseRow[headRow](row.Value)
	return head{headRow: parsed, row: row.Version}, err
}

func (a *Archive) change(ctx context.Context, version int64) (changeRow, error) {
	row, err := a.table.Get(ctx, changeKey(version))
	if err != nil {
		return changeRow{}, err
	}
	return parseRow[changeRow](row.Value)
}

// path returns the whole copy of version whole and the changes up to version.
func (a *Archive) path(ctx context.Context, whole int64, object string, version int64) ([]bhwire.Config, error) {
	first, err := a.whole(ctx, whole, object)
	if err != nil {
		return nil, err
	}
	messages := []bhwire.Config{first}
	for at := whole; at < version; {
		next, all, err := a.Changes(ctx, at)
		if err != nil {
			return nil, err
		}
		for _, message := range next {
			if message.Version <= version {
				messages = append(messages, message)
			}
			at = message.Version
		}
		if all && at < version {
			return nil, bhcode.New(bhcode.NotFound, "versions after %d", at)
		}
	}
	return messages, nil
}

func (a *Archive) message(ctx context.Context, change changeRow) (bhwire.Config, error) {
	if change.Whole == change.Version && len(change.Patch) == 0 {
		return a.whole(ctx, change.Version, change.Object)
	}
	return bhwire.Config{
		Version: change.Version,
		Base:    change.Version - 1,
		Digest:  change.Digest,
		Body:    change.Patch,
	}, nil
}

func (a *Archive) whole(ctx context.Context, version int64, object string) (bhwire.Config, error) {
	reader, err := a.objects.Get(ctx, object, 0)
	if err != nil {
		return bhwire.Config{}, err
	}
	defer reader.Close()
	body, err := io.ReadAll(io.LimitReader(reader, maxWhole+1))
	if err != nil {
		return bhwire.Config{}, bhcode.Wrap(err, bhcode.PlatformUnavailable, "object "+object)
	}
	if len(body) > maxWhole {
		return bhwire.Config{}, bhcode.New(bhcode.ConfigInvalid, "object %s is too large", object)
	}
	var config bhconf.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return bhwire.Config{}, errors.Wrap(err, "object "+object)
	}
	digest, err := config.Digest()
	return bhwire.Config{Version: version, Digest: digest, Body: body}, err
}

func (a *Archive) putWhole(ctx context.Context, object string, config bhconf.Config) error {
	body, err := json.Marshal(config)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	if len(body) > maxWhole {
		return bhcode.New(bhcode.TooLarge, "configuration of %d bytes", len(body))
	}
	return a.objects.Put(ctx, object, bytes.NewReader(body))
}

// revokedAfter returns the revoked keys recorded after the record with the
// number, the number of the last record read, and whether it is the last.
func (a *Archive) revokedAfter(ctx context.Context, number int64) (digests []string, last int64, all bool, err error) {
	rows, err := a.table.List(ctx, revokedPrefix, revokedKey(number), pageSize)
	if err != nil {
		return nil, number, false, err
	}
	for _, row := range rows {
		record, err := parseRow[revokedRow](row.Value)
		if err != nil {
			return nil, number, false, err
		}
		digests = append(digests, record.Digests...)
		number++
	}
	return digests, number, len(rows) < pageSize, nil
}

// revoke records the digests under the number. It fails with PlatformConflict if
// another record has it.
func (a *Archive) revoke(ctx context.Context, number int64, record revokedRow) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "row")
	}
	write := bhplatform.Write{Key: revokedKey(number), Value: value, Expect: bhplatform.Absent}
	_, err = a.table.Commit(ctx, write)
	return err
}
