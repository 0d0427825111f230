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
	"github.com/baobabhaven/baobabhaven/bhjson"
	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// deleteTimeout limits the deletion of the segments of a rejected file.
const deleteTimeout = 10 * time.Second

// SaveFile reads an input file of one JSON request per line, checks every line
// and stores the file for account. In memory it holds one segment and a 64-bit
// hash of each custom_id. It reports all bad lines in one BatchInvalid error
// that wraps an InvalidError, and then keeps nothing of the file. Once SaveFile
// returns without an error, the file survives the loss of any host.
func (s *Store) SaveFile(ctx context.Context, account, name string, body io.Reader) (File, error) {
	upload := &fileUpload{
		store:     s,
		file:      File{ID: "file-" + randomID(), Account: account, Name: name},
		customIDs: map[uint64]struct{}{},
		digest:    sha256.New(),
	}
	if err := upload.readLines(ctx, body); err != nil {
		upload.deleteSegments(ctx)
		return File{}, err
	}
	upload.file.Digest = hex.EncodeToString(upload.digest.Sum(nil))
	upload.file.Created = time.Now().UTC()
	if err := s.insertFile(ctx, upload.file); err != nil {
		return File{}, err
	}
	return upload.file, nil
}

// File returns the description of an input file of account, or NotFound.
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
	return retry(ctx, func() error {
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

// fileUpload is the state of an input file while it is read.
type fileUpload struct {
	store *Store
	file  File
	// customIDs holds the hash of each custom_id read so far.
	customIDs map[uint64]struct{}
	digest    hash.Hash
	invalid   InvalidError
	segment   bytes.Buffer
	// segmentItems is the number of items in segment.
	segmentItems int
	lineNumber   int
}

func (u *fileUpload) readLines(ctx context.Context, body io.Reader) error {
	reader := bufio.NewReaderSize(body, 64<<10)
	for {
		line, tooLong, err := readLine(reader)
		if err == io.EOF {
			break
		}
		if err != nil {
			return bhcode.Wrap(err, bhcode.BadRequest, "reading the file")
		}
		u.lineNumber++
		if err := u.addLine(ctx, line, tooLong); err != nil {
			return err
		}
	}
	if u.file.Items == 0 && u.invalid.Total == 0 {
		u.invalid.add(u.lineNumber+1, "the file has no items")
	}
	if err := u.invalid.err(); err != nil {
		return err
	}
	return u.flushSegment(ctx)
}

// addLine checks a line and adds its item to the current segment. A full
// segment is stored first. After the first bad line the following lines are
// only checked.
func (u *fileUpload) addLine(ctx context.Context, line []byte, tooLong bool) error {
	if reason := u.checkLine(line, tooLong); reason != "" {
		u.invalid.add(u.lineNumber, reason)
		return nil
	}
	if len(line) == 0 || u.invalid.Total > 0 {
		return nil
	}
	u.file.Items++
	u.file.Bytes += int64(len(line)) + 1
	if u.segmentItems >= u.store.chunkItems || u.segment.Len()+len(line) >= MaxSegmentBytes {
		if err := u.flushSegment(ctx); err != nil {
			return err
		}
	}
	u.segment.Write(line)
	u.segment.WriteByte('\n')
	u.segmentItems++
	return nil
}

// checkLine returns why the line is bad, or an empty string.
func (u *fileUpload) checkLine(line []byte, tooLong bool) string {
	if tooLong {
		return "line is longer than 1048576 bytes"
	}
	if len(line) == 0 {
		return ""
	}
	if len(u.customIDs) >= MaxItems {
		return "more than 430000 items"
	}
	if err := bhjson.Validate(line); err != nil {
		return "not a JSON object of a request: " + err.Error()
	}
	item, reason := ParseItem(line)
	if reason != "" {
		return reason
	}
	model, reason := item.Model()
	if reason != "" {
		return reason
	}
	if u.file.Model == "" {
		u.file.Model = model
	}
	if model != u.file.Model {
		return "body: names another model than the lines before"
	}
	id := xxhash.Sum64String(item.CustomID)
	if _, ok := u.customIDs[id]; ok {
		return "custom_id is used by an earlier line"
	}
	u.customIDs[id] = struct{}{}
	return ""
}

// flushSegment stores the current segment as the next chunk of the file.
func (u *fileUpload) flushSegment(ctx context.Context) error {
	if u.segmentItems == 0 {
		return nil
	}
	data := u.segment.Bytes()
	if _, err := u.digest.Write(data); err != nil {
		return errors.WithStack(err)
	}
	name := segmentName(u.file.Account, u.file.ID, u.file.Chunks)
	if err := u.store.putObject(ctx, name, data); err != nil {
		return err
	}
	u.file.Chunks++
	u.segment.Reset()
	u.segmentItems = 0
	return nil
}

// deleteSegments deletes the segments of a rejected file. It stops at the first
// failure, because no row refers to the segments that remain.
func (u *fileUpload) deleteSegments(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deleteTimeout)
	defer cancel()
	for chunk := range u.file.Chunks {
		name := segmentName(u.file.Account, u.file.ID, chunk)
		if err := u.store.objects.Delete(ctx, name); err != nil {
			return
		}
	}
}

// readLine returns the next line without surrounding white space. The rest of a
// line longer than MaxLineBytes is skipped and tooLong is set.
func readLine(reader *bufio.Reader) (line []byte, tooLong bool, err error) {
	for {
		piece, err := reader.ReadSlice('\n')
		if !tooLong {
			line = append(line, piece...)
			tooLong = len(line) > MaxLineBytes+1
		}
		switch {
		case err == nil:
			return bytes.TrimSpace(line), tooLong, nil
		case err == io.EOF && len(line) > 0:
			return bytes.TrimSpace(line), tooLong, nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return nil, false, err
		}
	}
}

// randomID returns 24 random hexadecimal digits.
func randomID() string {
	id := make([]byte, 12)
	if _, err := rand.Read(id); err != nil {
		panic(err)
	}
	return hex.EncodeToString(id)
}
