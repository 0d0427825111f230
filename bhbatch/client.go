package bhbatch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhforward"
)

// maxReplyBytes bounds what is read of a reply other than a file.
const maxReplyBytes = 16 << 20

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the base URL of an entry.
	URL string
	// Key is the key of a client account.
	Key string
}

// Client calls the batch API of an entry. It never retries a call.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client for the entry at config.URL.
func NewClient(config ClientConfig) *Client {
	return &Client{
		base: strings.TrimSuffix(config.URL, "/"), key: config.Key,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Upload sends an input file without holding it in memory. It fails with an
// InvalidError if the file has bad lines.
func (c *Client) Upload(ctx context.Context, name string, file io.Reader) (FileReply, error) {
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() { writer.CloseWithError(writeForm(form, name, file)) }()
	defer func() { _ = reader.Close() }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathFiles, reader)
	if err != nil {
		return FileReply{}, errors.WithStack(err)
	}
	request.Header.Set("Content-Type", form.FormDataContentType())
	var reply FileReply
	return reply, c.send(request, &reply)
}

func writeForm(form *multipart.Writer, name string, file io.Reader) error {
	if err := form.WriteField("purpose", purposeBatch); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return err
	}
	if _, err := io.Copy(part, file); err != nil {
		return err
	}
	return form.Close()
}

// Create creates a batch of an input file. An empty idempotencyKey sends none;
// with a window of zero the entry sets the deadline.
func (c *Client) Create(ctx context.Context, file, idempotencyKey string, window time.Duration) (BatchReply, error) {
	body := createBody{InputFile: file, Endpoint: "/v1/chat/completions"}
	if window > 0 {
		body.Window = window.String()
	}
	data, err := json.Marshal(body)
	if err != nil {
		return BatchReply{}, errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathBatches, bytes.NewReader(data))
	if err != nil {
		return BatchReply{}, errors.WithStack(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set(HeaderIdempotency, idempotencyKey)
	}
	var reply BatchReply
	return reply, c.send(request, &reply)
}

// Get returns a batch.
func (c *Client) Get(ctx context.Context, id string) (BatchReply, error) {
	var reply BatchReply
	return reply, c.call(ctx, http.MethodGet, PathBatches+"/"+url.PathEscape(id), &reply)
}

// Cancel cancels a batch.
func (c *Client) Cancel(ctx context.Context, id string) (BatchReply, error) {
	var reply BatchReply
	return reply, c.call(ctx, http.MethodPost, PathBatches+"/"+url.PathEscape(id)+"/cancel", &reply)
}

// List returns up to limit batches whose ids follow after.
func (c *Client) List(ctx context.Context, after string, limit int) (ListReply, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var reply ListReply
	return reply, c.call(ctx, http.MethodGet, PathBatches+"?"+query.Encode(), &reply)
}

// Content opens a file. The caller closes the reader, which returns an error if
// the transfer is cut off.
func (c *Client) Content(ctx context.Context, id string) (io.ReadCloser, error) {
	path := c.base + PathFiles + "/" + url.PathEscape(id) + "/content"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := c.do(request)
	if err != nil {
		return nil, err
	}
	if bhforward.FramingOf(response) == bhforward.FramedByClose {
		_ = response.Body.Close()
		return nil, errors.Errorf("the answer for file %s has neither a length nor chunks, so that its end can't be told from a cut", id)
	}
	return response.Body, nil
}

// ResultFileID returns the id of a batch's file of answers or, if failed is
// set, of its file of errors.
func ResultFileID(batch string, failed bool) string {
	if failed {
		return batch + suffixErrors
	}
	return batch + suffixOutput
}

func (c *Client) call(ctx context.Context, method, path string, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.send(request, reply)
}

func (c *Client) send(request *http.Request, reply any) error {
	response, err := c.do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply), "answer")
}

// do returns the response if its status is 200, and otherwise the error that
// the entry replied with.
func (c *Client) do(request *http.Request) (*http.Response, error) {
	// Without GetBody net/http cannot repeat the request.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	var reply InvalidReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return nil, errors.Errorf("the entry answered with status %d and no JSON error", response.StatusCode)
	}
	if reply.Total > 0 {
		return nil, &InvalidError{Problems: reply.Lines, Total: reply.Total}
	}
	return nil, bhcode.New(bhcode.Code(reply.Error.Code), "%s", reply.Error.Message)
}
