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

// maxFullCopyBytes is the maximum size of a full copy, in bytes. A full copy
// has to fit into one frame body.
const maxFullCopyBytes = bhwire.MaxBody

// Archive reads and writes the configuration history on the platform. The table
// holds the head row, the change of each version and the revoked keys; the
// object store holds full copies of some versions.
type Archive struct {
	table   bhplatform.Table
	objects bhplatform.Objects
}

// NewArchive returns an archive that uses the table and the object store of
// platform.
func NewArchive(platform bhplatform.Platform) *Archive {
	return &Archive{table: platform.Table, objects: platform.Objects}
}

// storedHead is the head row with its row version in the table, which is Absent
// before the first push.
type storedHead struct {
	headRow
	tableVersion bhplatform.Version
}

// LoadMessages returns the messages that bring a host without a configuration
// to the newest version: a full configuration and the changes after it. It
// returns none before the first push.
func (a *Archive) LoadMessages(ctx context.Context) ([]bhwire.Config, error) {
	head, err := a.readHead(ctx)
	if err != nil || head.Version == 0 {
		return nil, err
	}
	return a.messagesFromFullCopy(ctx, head.FullVersion, head.FullObject, head.Version)
}

// MessagesAfter returns one message for each version after version, oldest
// first, up to one page of the table. The flag complete reports whether there
// are no more.
func (a *Archive) MessagesAfter(ctx context.Context, version int64) (messages []bhwire.Config, complete bool, err error) {
	rows, err := a.table.List(ctx, changePrefix, changeKey(version), pageRows)
	if err != nil {
		return nil, false, err
	}
	for _, row := range rows {
		change, err := parseRow[changeRow](row.Value)
		if err != nil {
			return nil, false, err
		}
		message, err := a.changeMessage(ctx, change)
		if err != nil {
			return nil, false, err
		}
		messages = append(messages, message)
	}
	return messages, len(rows) < pageRows, nil
}

// ConfigAt returns the configuration of version. The error carries NotFound if
// the history no longer has the version or a version needed to rebuild it.
func (a *Archive) ConfigAt(ctx context.Context, version int64) (bhconf.Config, error) {
	change, err := a.readChange(ctx, version)
	if err != nil {
		return bhconf.Config{}, err
	}
	messages, err := a.messagesFromFullCopy(ctx, change.FullVersion, change.FullObject, version)
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

// History returns the records of up to limit versions before the given version,
// newest first. If before is 0, it starts with the newest version.
func (a *Archive) History(ctx context.Context, before int64, limit int) ([]HistoryRecord, error) {
	if before == 0 {
		head, err := a.readHead(ctx)
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
	var records []HistoryRecord
	for i := len(rows) - 1; i >= 0; i-- {
		change, err := parseRow[changeRow](rows[i].Value)
		if err != nil {
			return nil, err
		}
		if change.Version < before {
			records = append(records, change.historyRecord())
		}
	}
	return records, nil
}

// readHead reads the head row. It returns the zero value if there is none yet.
func (a *Archive) readHead(ctx context.Context) (storedHead, error) {
	row, err := a.table.Get(ctx, headKey)
	if bhcode.Is(err, bhcode.NotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	parsed, err := parseRow[headRow](row.Value)
	return storedHead{headRow: parsed, tableVersion: row.Version}, err
}

func (a *Archive) readChange(ctx context.Context, version int64) (changeRow, error) {
	row, err := a.table.Get(ctx, changeKey(version))
	if err != nil {
		return changeRow{}, err
	}
	return parseRow[changeRow](row.Value)
}

// messagesFromFullCopy returns the full copy of fullVersion, stored in object,
// followed by the changes up to version.
func (a *Archive) messagesFromFullCopy(ctx context.Context, fullVersion int64, object string, version int64) ([]bhwire.Config, error) {
	full, err := a.readFullCopy(ctx, fullVersion, object)
	if err != nil {
		return nil, err
	}
	messages := []bhwire.Config{full}
	for reached := fullVersion; reached < version; {
		page, complete, err := a.MessagesAfter(ctx, reached)
		if err != nil {
			return nil, err
		}
		for _, message := range page {
			if message.Version <= version {
				messages = append(messages, message)
			}
			reached = message.Version
		}
		if complete && reached < version {
			return nil, bhcode.New(bhcode.NotFound, "versions after %d", reached)
		}
	}
	return messages, nil
}

// changeMessage returns the message for one version: its change, or the full
// configuration if the row holds no change.
func (a *Archive) changeMessage(ctx context.Context, change changeRow) (bhwire.Config, error) {
	if change.FullVersion == change.Version && len(change.Patch) == 0 {
		return a.readFullCopy(ctx, change.Version, change.FullObject)
	}
	return bhwire.Config{
		Version: change.Version,
		Base:    change.Version - 1,
		Digest:  change.Digest,
		Body:    change.Patch,
	}, nil
}

func (a *Archive) readFullCopy(ctx context.Context, version int64, object string) (bhwire.Config, error) {
	reader, err := a.objects.Get(ctx, object, 0)
	if err != nil {
		return bhwire.Config{}, err
	}
	defer reader.Close()
	body, err := io.ReadAll(io.LimitReader(reader, maxFullCopyBytes+1))
	if err != nil {
		return bhwire.Config{}, bhcode.Wrap(err, bhcode.PlatformUnavailable, "object "+object)
	}
	if len(body) > maxFullCopyBytes {
		return bhwire.Config{}, bhcode.New(bhcode.ConfigInvalid, "object %s is too large", object)
	}
	var config bhconf.Config
	if err := json.Unmarshal(body, &config); err != nil {
		return bhwire.Config{}, errors.Wrap(err, "object "+object)
	}
	digest, err := config.Digest()
	return bhwire.Config{Version: version, Digest: digest, Body: body}, err
}

func (a *Archive) writeFullCopy(ctx context.Context, object string, config bhconf.Config) error {
	body, err := json.Marshal(config)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	if len(body) > maxFullCopyBytes {
		return bhcode.New(bhcode.TooLarge, "configuration of %d bytes", len(body))
	}
	return a.objects.Put(ctx, object, bytes.NewReader(body))
}

// revocationsAfter returns the key digests in the revocation records after
// recordNumber, the number of the last record read, and whether there are no
// more records. It reads up to one page.
func (a *Archive) revocationsAfter(ctx context.Context, recordNumber int64) (digests []string, lastRecord int64, complete bool, err error) {
	rows, err := a.table.List(ctx, revokedPrefix, revokedKey(recordNumber), pageRows)
	if err != nil {
		return nil, recordNumber, false, err
	}
	for _, row := range rows {
		record, err := parseRow[revokedRow](row.Value)
		if err != nil {
			return nil, recordNumber, false, err
		}
		digests = append(digests, record.Digests...)
		recordNumber++
	}
	return digests, recordNumber, len(rows) < pageRows, nil
}

// appendRevocations stores record under recordNumber. The error carries
// PlatformConflict if that number is already in use.
func (a *Archive) appendRevocations(ctx context.Context, recordNumber int64, record revokedRow) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "row")
	}
	write := bhplatform.Write{Key: revokedKey(recordNumber), Value: value, Expect: bhplatform.Absent}
	_, err = a.table.Commit(ctx, write)
	return err
}
