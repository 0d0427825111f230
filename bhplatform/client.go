package bhplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Paths and limits of the platform's HTTP protocol.
const (
	PathGet     = "/table/get"
	PathList    = "/table/list"
	PathCommit  = "/table/commit"
	PathObjects = "/objects/"
	PathHosts   = "/hosts"

	// MaxReply is the largest accepted reply body in bytes, except for the content
	// of an object. A longer body is cut off.
	MaxReply = 64 << 20
	// DefaultTimeout limits one operation on the table or the host list.
	DefaultTimeout = 5 * time.Second
	// MaxReplyHead bounds what is read for the head of a reply, in bytes.
	MaxReplyHead = 64 << 10

	maxIdleConnsPerHost = 16
	idleConnTimeout     = 30 * time.Second
)

// GetRequest is the body of a request for one row.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest is the body of a request for up to Limit rows whose keys start with
// Prefix and are greater than After, in key order.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// ListReply holds the listed rows in key order.
type ListReply struct {
	Rows []Row `json:"rows"`
}

// CommitRequest is the body of a request to apply all writes or none.
type CommitRequest struct {
	Writes []Write `json:"writes"`
}

// CommitReply holds the new versions of the written rows, in the order of the
// request's writes.
type CommitReply struct {
	Versions []Version `json:"versions"`
}

// HostsReply holds the host list.
type HostsReply struct {
	Hosts []Host `json:"hosts"`
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the base URL of the platform.
	URL string
	// Timeout limits one operation on the table or the host list; zero means
	// DefaultTimeout. Operations on objects are limited only by their context.
	Timeout time.Duration
}

// Client is a client of the platform's HTTP protocol. It implements Table and
// Hosts; an ObjectClient implements Objects over it. It never retries an operation.
type Client struct {
	baseURL    string
	timeout    time.Duration
	httpClient *http.Client
}

// NewClient returns a client of the platform at config.URL.
func NewClient(config ClientConfig) *Client {
	timeout := config.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: MaxReplyHead,
	}
	return &Client{baseURL: config.URL, timeout: timeout, httpClient: &http.Client{Transport: transport}}
}

// Platform returns a Platform whose three services use the client.
func (c *Client) Platform() Platform {
	return Platform{Table: c, Objects: &ObjectClient{client: c}, Hosts: c}
}

// Close closes the idle connections. The error is always nil.
func (c *Client) Close() error {
	c.httpClient.CloseIdleConnections()
	return nil
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.post(ctx, PathGet, GetRequest{Key: key}, &row, bhcode.PlatformUnavailable)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var reply ListReply
	request := ListRequest{Prefix: prefix, After: after, Limit: limit}
	err := c.post(ctx, PathList, request, &reply, bhcode.PlatformUnavailable)
	return reply.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, writes ...Write) ([]Version, error) {
	var reply CommitReply
	err := c.post(ctx, PathCommit, CommitRequest{Writes: writes}, &reply, bhcode.PlatformUnknown)
	return reply.Versions, err
}

// Hosts implements Hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var reply HostsReply
	err := c.send(ctx, http.MethodGet, PathHosts, nil, &reply, bhcode.PlatformUnavailable)
	return reply.Hosts, err
}

// Announce implements Hosts.
func (c *Client) Announce(ctx context.Context, host Host) error {
	return c.send(ctx, http.MethodPut, PathHosts, host, nil, bhcode.PlatformUnknown)
}

// post sends request in a POST request and decodes the response into reply. See
// send for fallbackCode.
func (c *Client) post(ctx context.Context, path string, request, reply any, fallbackCode bhcode.Code) error {
	return c.send(ctx, http.MethodPost, path, request, reply, fallbackCode)
}

// send sends request as JSON and decodes the response into reply, unless reply is
// nil. The error carries fallbackCode if the exchange failed, where the request
// may have reached the platform, or if the response is malformed or has a status
// without a code of its own.
func (c *Client) send(ctx context.Context, method, path string, request, reply any, fallbackCode bhcode.Code) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := c.do(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return bhcode.Wrap(err, fallbackCode, path)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxReply))
	if err != nil {
		return bhcode.Wrap(err, fallbackCode, path)
	}
	if err := statusError(response.StatusCode, data, fallbackCode); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return bhcode.Wrap(err, fallbackCode, path)
	}
	return nil
}

// sendObject sends a request for the object name and returns the response body,
// which the caller closes.
func (c *Client) sendObject(ctx context.Context, method, name string, offset int64, body io.Reader) (io.ReadCloser, error) {
	path := PathObjects + url.PathEscape(name) + "?offset=" + strconv.FormatInt(offset, 10)
	response, err := c.do(ctx, method, path, body)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.PlatformUnknown, "object "+name)
	}
	if response.StatusCode == http.StatusOK && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0) {
		return response.Body, nil
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		// The end of the connection would not show that a part is missing.
		return nil, bhcode.New(bhcode.PlatformUnknown, "the reply for object %s has neither a length nor chunks", name)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxReply))
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.PlatformUnknown, "object "+name)
	}
	return nil, statusError(response.StatusCode, data, bhcode.PlatformUnknown)
}

func (c *Client) do(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Without GetBody, net/http can't send the body a second time.
	request.GetBody = nil
	return c.httpClient.Do(request)
}

// statusError returns the error for a response's status and body, or nil if the
// status is 200. A status without a code of its own gets fallbackCode.
func statusError(status int, data []byte, fallbackCode bhcode.Code) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return bhcode.New(bhcode.NotFound, "%s", data)
	case http.StatusConflict:
		return bhcode.New(bhcode.PlatformConflict, "%s", data)
	case http.StatusServiceUnavailable:
		return bhcode.New(bhcode.PlatformUnavailable, "%s", data)
	}
	return bhcode.New(fallbackCode, "status %d: %s", status, data)
}

// ObjectClient is a client of the object store. It implements Objects and shares
// the connections of a Client.
type ObjectClient struct {
	client *Client
}

// Put implements Objects.
func (o *ObjectClient) Put(ctx context.Context, name string, body io.Reader) error {
	reply, err := o.client.sendObject(ctx, http.MethodPut, name, 0, body)
	if err != nil {
		return err
	}
	return reply.Close()
}

// Get implements Objects.
func (o *ObjectClient) Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error) {
	return o.client.sendObject(ctx, http.MethodGet, name, offset, nil)
}

// Delete implements Objects.
func (o *ObjectClient) Delete(ctx context.Context, name string) error {
	reply, err := o.client.sendObject(ctx, http.MethodDelete, name, 0, nil)
	if err != nil {
		return err
	}
	return reply.Close()
}
