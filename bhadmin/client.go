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
	maxReplyBytes = 16 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the base URL of an entry's admin address.
	URL string
	// Token is an operator's token, or a fleet secret if the entry has no operators.
	Token string
}

// Client is a client of the operators' API of one entry. It limits each call to
// 30 s. If the entry refuses a call, the error carries the code of the entry's
// reply, or is a bhconf.Problems if the reply lists problems of a configuration.
type Client struct {
	config     ClientConfig
	httpClient *http.Client
}

// NewClient returns a client of the entry at config.URL.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, httpClient: &http.Client{Timeout: clientTimeout}}
}

// Current returns the configuration version that the entry currently uses.
func (c *Client) Current(ctx context.Context) (ConfigReply, error) {
	return call[ConfigReply](ctx, c, http.MethodGet, PathConfig, nil)
}

// Version returns the configuration of the given version. The error carries
// NotFound if the history no longer has it.
func (c *Client) Version(ctx context.Context, version int64) (ConfigReply, error) {
	return call[ConfigReply](ctx, c, http.MethodGet, PathConfig+"/"+strconv.FormatInt(version, 10), nil)
}

// Push requests a new version of the configuration.
func (c *Client) Push(ctx context.Context, request PushRequest) (PushReply, error) {
	return call[PushReply](ctx, c, http.MethodPost, PathConfig, request)
}

// History returns up to limit of the newest versions, newest first. The entry
// returns at most 200.
func (c *Client) History(ctx context.Context, limit int) (HistoryReply, error) {
	return call[HistoryReply](ctx, c, http.MethodGet, PathHistory+"?limit="+strconv.Itoa(limit), nil)
}

// Status returns the version that each host has.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return call[StatusReply](ctx, c, http.MethodGet, PathStatus, nil)
}

// Revoke revokes the keys with the digests, at most 1000 in one call.
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
	request.Header.Set("Authorization", bearerPrefix+c.config.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return reply, errors.Wrap(err, "the entry did not answer")
	}
	defer response.Body.Close()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply, errors.Wrap(err, "the entry's answer broke off")
	}
	if response.StatusCode != http.StatusOK {
		return reply, responseError(response.StatusCode, data)
	}
	return reply, errors.Wrap(json.Unmarshal(data, &reply), "the entry's answer")
}

// responseError returns the error for a response whose status isn't 200.
func responseError(status int, data []byte) error {
	var reply ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Code == 0 {
		return errors.Errorf("the entry answered with status %d", status)
	}
	if len(reply.Problems) > 0 {
		return reply.Problems
	}
	return bhcode.New(bhcode.Code(reply.Code), "%s", reply.Message)
}
