package bhbatch

import (
	"encoding/json"
	"io"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhjson"
)

const defaultListLimit = 20

// FileReply is a file in replies of the API. Created is in seconds since 1970.
type FileReply struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Bytes   int64  `json:"bytes"`
	Created int64  `json:"created_at"`
	Name    string `json:"filename"`
	Purpose string `json:"purpose"`
	// Items and Digest are set for input files.
	Items  int    `json:"items,omitempty"`
	Digest string `json:"digest,omitempty"`
}

// RequestCounts holds the numbers of items of a batch.
type RequestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Remaining int `json:"remaining"`
}

// BatchReply is a batch in replies of the API. Times are in seconds since 1970,
// or null.
type BatchReply struct {
	ID            string            `json:"id"`
	Object        string            `json:"object"`
	Endpoint      string            `json:"endpoint"`
	Errors        *struct{}         `json:"errors"`
	InputFile     string            `json:"input_file_id"`
	Window        string            `json:"completion_window"`
	Status        State             `json:"status"`
	OutputFile    *string           `json:"output_file_id"`
	ErrorFile     *string           `json:"error_file_id"`
	Created       int64             `json:"created_at"`
	Deadline      int64             `json:"expires_at"`
	Completed     *int64            `json:"completed_at"`
	Cancelled     *int64            `json:"cancelled_at"`
	Counts        RequestCounts     `json:"request_counts"`
	Tokens        int               `json:"tokens"`
	ExpectedEnd   *int64            `json:"expected_at"`
	MeetsDeadline bool              `json:"deadline_holds"`
	Metadata      map[string]string `json:"metadata"`
}

// ListReply is a page of the list of batches.
type ListReply struct {
	Object string       `json:"object"`
	Data   []BatchReply `json:"data"`
	First  string       `json:"first_id,omitempty"`
	Last   string       `json:"last_id,omitempty"`
	More   bool         `json:"has_more"`
}

// InvalidReply lists the bad lines of a file.
type InvalidReply struct {
	Error InvalidDetail `json:"error"`
	Lines []Problem     `json:"lines"`
	// Total is the number of bad lines; Lines holds the first MaxProblems of
	// them.
	Total int `json:"total"`
}

// InvalidDetail is the error of an InvalidReply.
type InvalidDetail struct {
	Code    int        `json:"code"`
	Type    string     `json:"type"`
	Message string     `json:"message"`
	Ran     bhcode.Ran `json:"ran"`
}

// createBody is the JSON body of a request to create a batch.
type createBody struct {
	InputFile string            `json:"input_file_id"`
	Endpoint  string            `json:"endpoint"`
	Window    string            `json:"completion_window"`
	Metadata  map[string]string `json:"metadata"`
}

func parseCreateRequest(c echo.Context) (CreateRequest, error) {
	var body createBody
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxCreateBodyBytes))
	if err != nil {
		return CreateRequest{}, bhcode.Wrap(err, bhcode.BadRequest, "reading the body")
	}
	if err := bhjson.Validate(data); err != nil {
		return CreateRequest{}, bhcode.Wrap(err, bhcode.BadRequest, "the body is not a request for a batch")
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return CreateRequest{}, bhcode.New(bhcode.BadRequest, "the body is not a request for a batch")
	}
	request := CreateRequest{
		File: body.InputFile, IdempotencyKey: c.Request().Header.Get(HeaderIdempotency),
		Endpoint: body.Endpoint, Metadata: body.Metadata,
	}
	if body.Window == "" {
		return request, nil
	}
	request.Window, err = time.ParseDuration(body.Window)
	if err != nil || request.Window <= 0 {
		return CreateRequest{}, bhcode.New(bhcode.BadRequest, "completion_window: must be a time such as 24h")
	}
	return request, nil
}

func newFileReply(file File) FileReply {
	return FileReply{
		ID: file.ID, Object: "file", Bytes: file.Bytes, Created: file.Created.Unix(),
		Name: file.Name, Purpose: purposeBatch, Items: file.Items, Digest: file.Digest,
	}
}

// newResultFileReply describes a result file. Its size is left at zero because
// it is not known before the file is read.
func newResultFileReply(id string, status Status) FileReply {
	return FileReply{
		ID: id, Object: "file", Created: status.Job.Created.Unix(),
		Name: id + ".jsonl", Purpose: "batch_output",
	}
}

func newBatchReply(status Status, now time.Time) BatchReply {
	job := status.Job
	reply := BatchReply{
		ID: job.ID, Object: "batch", Endpoint: job.Endpoint, InputFile: job.File,
		Window: job.Window.String(), Status: job.State,
		Created: job.Created.Unix(), Deadline: job.Deadline.Unix(),
		Counts: RequestCounts{
			Total: job.Items, Completed: status.Counts.Completed,
			Failed: status.Counts.Failed, Remaining: status.Remaining(),
		},
		Tokens: status.Counts.Tokens, MeetsDeadline: status.MeetsDeadline(now), Metadata: job.Metadata,
	}
	if status.Counts.Completed > 0 {
		reply.OutputFile = pointer(job.ID + suffixOutput)
	}
	if status.Counts.Failed > 0 {
		reply.ErrorFile = pointer(job.ID + suffixErrors)
	}
	if expected := status.ExpectedEnd(now); !expected.IsZero() {
		reply.ExpectedEnd = pointer(expected.Unix())
	}
	switch job.State {
	case Completed:
		reply.Completed = pointer(job.Ended.Unix())
	case Cancelled:
		reply.Cancelled = pointer(job.Ended.Unix())
	}
	return reply
}

func newListReply(statuses []Status, limit int, now time.Time) ListReply {
	reply := ListReply{Object: "list", Data: []BatchReply{}, More: len(statuses) > limit}
	for _, status := range statuses[:min(limit, len(statuses))] {
		reply.Data = append(reply.Data, newBatchReply(status, now))
	}
	if len(reply.Data) > 0 {
		reply.First = reply.Data[0].ID
		reply.Last = reply.Data[len(reply.Data)-1].ID
	}
	return reply
}

func newInvalidReply(invalid *InvalidError) InvalidReply {
	return InvalidReply{
		Error: InvalidDetail{
			Code: int(bhcode.BatchInvalid), Type: bhcode.BatchInvalid.String(),
			Message: bhcode.BatchInvalid.Info().Text, Ran: bhcode.RanNo,
		},
		Lines: invalid.Problems, Total: invalid.Total,
	}
}

func pointer[T any](value T) *T { return &value }
