package bhbatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// ResultLine is one line of a results file.
type ResultLine struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *Response `json:"response"`
	Error    *Failure  `json:"error"`
}

// Response is the answer to a completed item.
type Response struct {
	Status  int             `json:"status_code"`
	Request string          `json:"request_id"`
	Body    json.RawMessage `json:"body"`
}

// Failure says why an item failed.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Selection chooses which result lines of a job are returned.
type Selection int

// Selections of result lines.
const (
	SelectAll Selection = iota
	SelectCompleted
	SelectFailed
)

// Results streams the results of the done chunks of a batch, in the order of
// the input file. It fails with NotFound if the account has no such batch. The
// caller closes the reader.
func (s *Store) Results(ctx context.Context, account, id string, lines Selection) (io.ReadCloser, error) {
	job, _, err := s.job(ctx, account, id)
	if err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	go func() { writer.CloseWithError(s.writeResults(ctx, job, lines, writer)) }()
	return reader, nil
}

// Input streams the content of an input file. It fails with NotFound if the
// account has no such file. The caller closes the reader.
func (s *Store) Input(ctx context.Context, account, id string) (io.ReadCloser, error) {
	file, err := s.File(ctx, account, id)
	if err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	go func() {
		var err error
		for chunk := 0; chunk < file.Chunks && err == nil; chunk++ {
			err = s.copyObject(ctx, segmentName(account, id, chunk), SelectAll, writer)
		}
		writer.CloseWithError(err)
	}()
	return reader, nil
}

func (s *Store) writeResults(ctx context.Context, job Job, lines Selection, out io.Writer) error {
	return s.parts(ctx, job, func(first int, part Part) error {
		for i, chunk := range part.Chunks {
			if chunk.State != ChunkDone {
				continue
			}
			name := resultName(job.Account, job.ID, first+i, chunk.Fence)
			if err := s.copyObject(ctx, name, lines, out); err != nil {
				return err
			}
		}
		return nil
	})
}

// copyObject writes the selected lines of an object to out.
func (s *Store) copyObject(ctx context.Context, name string, lines Selection, out io.Writer) error {
	data, err := s.readObject(ctx, name)
	if err != nil {
		return err
	}
	if lines == SelectAll {
		_, err := out.Write(data)
		return err
	}
	for line := range bytes.Lines(data) {
		var entry struct {
			Error *Failure `json:"error"`
		}
		if err := json.Unmarshal(line, &entry); err != nil {
			return errors.Wrap(err, name)
		}
		if (entry.Error != nil) != (lines == SelectFailed) {
			continue
		}
		if _, err := out.Write(line); err != nil {
			return err
		}
	}
	return nil
}

// readObject returns the whole object and retries while the object store is
// unavailable.
func (s *Store) readObject(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := retry(ctx, func() error {
		body, err := s.objects.Get(ctx, name, 0)
		if err != nil {
			return err
		}
		defer body.Close()
		data, err = io.ReadAll(body)
		if err != nil {
			return bhcode.Wrap(err, bhcode.PlatformUnknown, name)
		}
		return nil
	})
	return data, err
}

// items returns the items of a segment.
func (s *Store) items(ctx context.Context, account, file string, chunk int) ([]Item, error) {
	data, err := s.readObject(ctx, segmentName(account, file, chunk))
	if err != nil {
		return nil, err
	}
	var items []Item
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, MaxLineBytes+2)
	for scanner.Scan() {
		item, reason := ParseItem(scanner.Bytes())
		if reason != "" {
			return nil, bhcode.New(bhcode.Internal, "segment %d of %s: %s", chunk, file, reason)
		}
		items = append(items, item)
	}
	return items, errors.WithStack(scanner.Err())
}

// completedLine returns the result line of a completed item.
func completedLine(id string, item Item, body json.RawMessage) ResultLine {
	return ResultLine{
		ID: id, CustomID: item.CustomID,
		Response: &Response{Status: 200, Request: id, Body: body},
	}
}

// failedLine returns the result line of a failed item.
func failedLine(id string, item Item, err *bhcode.Error) ResultLine {
	message := err.Message
	if message == "" {
		message = err.Code.Info().Text
	}
	failure := &Failure{Code: fmt.Sprintf("%s (%d)", err.Code, int(err.Code)), Message: message}
	return ResultLine{ID: id, CustomID: item.CustomID, Error: failure}
}
