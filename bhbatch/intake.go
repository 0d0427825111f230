package bhbatch

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

const cleanupTimeout = 10 * time.Second

// SaveFile reads a file of one JSON request a line, checks every line and
// stores it for account. It holds one segment in memory and a 64-bit digest
// for each custom_id. Bad lines are all reported in one BatchInvalid error, and
// nothing is kept then. Once it returns the file survives any host's loss.
func (s *Store) SaveFile(ctx context.Context, account, name string, body io.Reader) (File, error) {
	in := &intake{
		store: s,
		file:  File{ID: "file-" + randomID(), Account: account, Name: name},
		seen:  map[uint64]struct{}{},
		hash:  sha256.New(),
	}
	if err := in.read(ctx, body); err != nil {
		in.cleanup(ctx)
		return File{}, err
	}
	in.file.Digest = hex.EncodeToString(in.hash.Sum(nil))
	in.file.Created = time.Now().UTC()
	if err := s.insertFile(ctx, in.file); err != nil {
		return File{}, err
	}
	return in.file, nil
}

// File returns the file of account.
func (s *Store) File(ctx context.Context, account, id string) (File, error) {
	var file File
	version, err := s.rows.get(ctx, fileKey(account, id), &file)
	if err != nil {
		return File{}, err
	}
	if version == bhplatform.Absent {
		return File{}, bhcode.New(bhcode.NotFound, "file %s", id)
	}
	return file, nil
}

func (s *Store) insertFile(ctx context.Context, file File) error {
	key := fileKey(file.Account, file.ID)
	return settle(ctx, func() error {
		version, err := s.rows.get(ctx, key, &File{})
		if err != nil || version != bhplatform.Absent {
			return err
		}
		write, err := encode(key, file, bhplatform.Absent)
		if err != nil {
			return err
		}
		_, err = s.rows.table.Commit(ctx, write)
		return err
	})
}

// intake is the state of one file being read.
type intake struct {
	store   *Store
	file    File
	seen    map[uint64]struct{}
	hash    hash.Hash
	invalid InvalidError
	segment bytes.Buffer
	items   int
	line    int
}

func (in *intake) read(ctx context.Context, body io.Reader) error {
	reader := bufio.NewReaderSize(body, 64<<10)
	for {
		line, long, err := readLine(reader)
		if err == io.EOF {
			break
		}
		if err != nil {
			return bhcode.Wrap(err, bhcode.BadRequest, "reading the file")
		}
		in.line++
		if err := in.take(ctx, line, long); err != nil {
			return err
		}
	}
	if in.file.Items == 0 && in.invalid.Total == 0 {
		in.invalid.add(in.line+1, "the file has no items")
	}
	if err := in.invalid.err(); err != nil {
		return err
	}
	return in.flush(ctx)
}

func (in *intake) take(ctx context.Context, line []byte, long bool) error {
	if reason := in.check(line, long); reason != "" {
		in.invalid.add(in.line, reason)
		return nil
	}
	if len(line) == 0 || in.invalid.Total > 0 {
		return nil
	}
	in.file.Items++
	in.file.Bytes += int64(len(line)) + 1
	if in.items >= in.store.chunkItems || in.segment.Len()+len(line) >= MaxSegmentBytes {
		if err := in.flush(ctx); err != nil {
			return err
		}
	}
	in.segment.Write(line)
	in.segment.WriteByte('\n')
	in.items++
	return nil
}

// check returns why the line is bad, or nothing.
func (in *intake) check(line []byte, long bool) string {
	if long {
		return "line is longer than 1048576 bytes"
	}
	if len(line) == 0 {
		return ""
	}
	if len(in.seen) >= MaxItems {
		return "more than 430000 items"
	}
	item, reason := ParseItem(line)
	if reason != "" {
		return reason
	}
	model, reason := item.Model()
	if reason != "" {
		return reason
	}
	if in.file.Model == "" {
		in.file.Model = model
	}
	if model != in.file.Model {
		return "body: names another model than the lines before"
	}
	id := xxhash.Sum64String(item.CustomID)
	if _, ok := in.seen[id]; ok {
		return "custom_id is used by an earlier line"
	}
	in.seen[id] = struct{}{}
	return ""
}

// flush stores the current segment.
func (in *intake) flush(ctx context.Context) error {
	if in.items == 0 {
		return nil
	}
	data := in.segment.Bytes()
	if _, err := in.hash.Write(data); err != nil {
		return errors.WithStack(err)
	}
	name := segmentName(in.file.Account, in.file.ID, in.file.Chunks)
	if err := in.store.putObject(ctx, name, data); err != nil {
		return err
	}
	in.file.Chunks++
	in.segment.Reset()
	in.items = 0
	return nil
}

// cleanup deletes the segments of a refused file. Those it fails to delete are
// never referred to by a row.
func (in *intake) cleanup(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	for chunk := range in.file.Chunks {
		name := segmentName(in.file.Account, in.file.ID, chunk)
		if err := in.store.objects.Delete(ctx, name); err != nil {
			return
		}
	}
}

// readLine returns the next line without its end. A line over MaxLineBytes is
// skipped and reported as long.
func readLine(reader *bufio.Reader) (line []byte, long bool, err error) {
	for {
		piece, err := reader.ReadSlice('\n')
		if !long {
			line = append(line, piece...)
			long = len(line) > MaxLineBytes+1
		}
		switch {
		case err == nil:
			return bytes.TrimSpace(line), long, nil
		case err == io.EOF && len(line) > 0:
			return bytes.TrimSpace(line), long, nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return nil, false, err
		}
	}
}

func randomID() string {
	id := make([]byte, 12)
	if _, err := rand.Read(id); err != nil {
		panic(err)
	}
	return hex.EncodeToString(id)
}
