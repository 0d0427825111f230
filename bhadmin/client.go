package bhadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

const (
	clientTimeout = 30 * time.Second
	replyLimit    = 16 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the base URL of an entry's admin address.
	URL   string
	Token string
}

// Client calls the operators' API of one entry.
type Client struct {
	config ClientConfig
	client *http.Client
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, client: &http.Client{Timeout: clientTimeout}}
}

// Current returns the version in force at the entry.
func (c *Client) Current(ctx context.Context) (ConfigReply, error) {
	return call[ConfigReply](ctx, c, http.MethodGet, PathConfig, nil)
}

// Version returns an old version.
func (c *Client) Version(ctx context.Context, version int64) (ConfigReply, error) {
	return call[ConfigReply](ctx, c, http.MethodGet, PathConfig+"/"+strconv.FormatInt(version, 10), nil)
}

// Push asks for a new version.
func (c *Client) Push(ctx context.Context, request PushRequest) (PushReply, error) {
	return call[PushReply](ctx, c, http.MethodPost, PathConfig, request)
}

// History returns the newest versions.
func (c *Client) History(ctx context.Context, limit int) (HistoryReply, error) {
	return call[HistoryReply](ctx, c, http.MethodGet, PathHistory+"?limit="+strconv.Itoa(limit), nil)
}

// Status returns which host has which version.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return call[StatusReply](ctx, c, http.MethodGet, PathStatus, nil)
}

// Revoke stops the keys with the digests.
func (c *Client) Revoke(ctx context.Context, digests ...string) (bhsync.RevokeResult, error) {
	return call[bhsync.RevokeResult](ctx, c, http.MethodPost, PathRevoke, RevokeRequest{Digests: digests})
}

func call[Reply any](ctx context.Context, c *Client, method, path string, body any) (Reply, error) {
	var reply Reply
	data, err := json.Marshal(body)
	if err != nil {
		return reply, errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.config.URL+path, bytes.NewReader(data))
	if err != nil {
		return reply, errors.WithStack(err)
	}
	request.Header.Set("Authorization", bearer+c.config.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return reply, errors.Wrap(err, "the entry did not answer")
	}
	defer response.Body.Close()
	data, err = io.ReadAll(io.LimitReader(response.Body, replyLimit))
	if err != nil {
		return reply, errors.Wrap(err, "the entry's answer broke off")
	}
	if response.StatusCode != http.StatusOK {
		return reply, failure(response.StatusCode, data)
	}
	return reply, errors.Wrap(json.Unmarshal(data, &reply), "the entry's answer")
}

func failure(status int, data []byte) error {
	var reply ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Code == 0 {
		return errors.Errorf("the entry answered with status %d", status)
	}
	if len(reply.Problems) > 0 {
		return reply.Problems
	}
	return bhcode.New(bhcode.Code(reply.Code), "%s", reply.Message)
}
