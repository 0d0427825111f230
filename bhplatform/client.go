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

	// MaxReply is the largest reply of the table in bytes.
	MaxReply = 64 << 20
	// DefaultTimeout bounds one operation of the table.
	DefaultTimeout = 5 * time.Second

	idleConnections = 16
	idleTimeout     = 30 * time.Second
)

// GetRequest asks the table for a row.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest asks the table for rows in key order.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// ListReply holds the rows listed.
type ListReply struct {
	Rows []Row `json:"rows"`
}

// CommitRequest asks the table to apply writes.
type CommitRequest struct {
	Writes []Write `json:"writes"`
}

// CommitReply holds the new versions of the rows written.
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
	// Timeout bounds one operation of the table; zero means DefaultTimeout.
	Timeout time.Duration
}

// Client speaks the platform's HTTP protocol. It implements Table and Hosts,
// and Objects through ObjectClient. It never repeats an operation.
type Client struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

// NewClient returns a client of the platform at config.URL.
func NewClient(config ClientConfig) *Client {
	timeout := config.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{base: config.URL, timeout: timeout, client: &http.Client{Transport: transport}}
}

// Platform returns the client as a Platform.
func (c *Client) Platform() Platform {
	return Platform{Table: c, Objects: &ObjectClient{client: c}, Hosts: c}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.client.CloseIdleConnections()
	return nil
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, PathGet, GetRequest{Key: key}, &row, bhcode.PlatformUnavailable)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var reply ListReply
	request := ListRequest{Prefix: prefix, After: after, Limit: limit}
	err := c.call(ctx, PathList, request, &reply, bhcode.PlatformUnavailable)
	return reply.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, writes ...Write) ([]Version, error) {
	var reply CommitReply
	err := c.call(ctx, PathCommit, CommitRequest{Writes: writes}, &reply, bhcode.PlatformUnknown)
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

func (c *Client) call(ctx context.Context, path string, request, reply any, lost bhcode.Code) error {
	return c.send(ctx, http.MethodPost, path, request, reply, lost)
}

// send performs one exchange. A failure after the request may have reached the
// platform carries the code lost.
func (c *Client) send(ctx context.Context, method, path string, request, reply any, lost bhcode.Code) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := c.do(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return bhcode.Wrap(err, lost, path)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxReply))
	if err != nil {
		return bhcode.Wrap(err, lost, path)
	}
	if err := statusError(response.StatusCode, data, lost); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return bhcode.Wrap(err, lost, path)
	}
	return nil
}

func (c *Client) object(ctx context.Context, method, name string, offset int64, body io.Reader) (io.ReadCloser, error) {
	path := PathObjects + url.PathEscape(name) + "?offset=" + strconv.FormatInt(offset, 10)
	response, err := c.do(ctx, method, path, body)
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.PlatformUnknown, "object "+name)
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxReply))
	if err != nil {
		return nil, bhcode.Wrap(err, bhcode.PlatformUnknown, "object "+name)
	}
	return nil, statusError(response.StatusCode, data, bhcode.PlatformUnknown)
}

func (c *Client) do(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.GetBody = nil
	return c.client.Do(request)
}

func statusError(status int, data []byte, lost bhcode.Code) error {
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
	return bhcode.New(lost, "status %d: %s", status, data)
}

// ObjectClient implements Objects over a Client.
type ObjectClient struct {
	client *Client
}

// Put implements Objects.
func (o *ObjectClient) Put(ctx context.Context, name string, body io.Reader) error {
	reply, err := o.client.object(ctx, http.MethodPut, name, 0, body)
	if err != nil {
		return err
	}
	return reply.Close()
}

// Get implements Objects.
func (o *ObjectClient) Get(ctx context.Context, name string, offset int64) (io.ReadCloser, error) {
	return o.client.object(ctx, http.MethodGet, name, offset, nil)
}

// Delete implements Objects.
func (o *ObjectClient) Delete(ctx context.Context, name string) error {
	reply, err := o.client.object(ctx, http.MethodDelete, name, 0, nil)
	if err != nil {
		return err
	}
	return reply.Close()
}
