package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is how long a client waits for an answer, and retryDelay the time until it
// tries again at another gateway.
const (
	callTimeout = 5 * time.Second
	retryDelay  = 500 * time.Millisecond
	maxTries    = 20
)

// item is an item of a batch job on the wire.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// result is a listed result on the wire.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// client is a client of one tenant. Each call is made on a new connection.
type client struct {
	fleet     *fleet
	host, key string
	calls     int
}

// call makes one call at one of the gateways in turn.
func (c *client) call(method, path, id string, body []byte) (int, []byte, error) {
	gateway := c.fleet.gateways[c.calls%len(c.fleet.gateways)]
	c.calls++
	request, err := http.NewRequest(method, "http://"+gateway+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = c.host
	request.Header.Set("Authorization", "Token "+c.key)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	caller := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := caller.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// callUntil repeats a call until it is answered with the status.
func (c *client) callUntil(status int, method, path, id string, body []byte) ([]byte, error) {
	last := ""
	for range maxTries {
		got, data, err := c.call(method, path, id, body)
		if err == nil && got == status {
			return data, nil
		}
		last = fmt.Sprintf("status %d, %s, error %v", got, data, err)
		time.Sleep(retryDelay)
	}
	return nil, fmt.Errorf("%s %s: %s", method, path, last)
}

// submit submits a batch job until it is accepted.
func (c *client) submit(prefix, job string, items []item) error {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return err
	}
	c.fleet.log.note("client sends batch job %s with %d items, %d bytes", job, len(items), len(body))
	if _, err := c.callUntil(http.StatusAccepted, http.MethodPost, prefix+job, job, body); err != nil {
		return err
	}
	c.fleet.log.note("batch job %s is answered 202", job)
	return nil
}

// results reads the batch job's results from the start.
func (c *client) results(job string) ([]result, error) {
	data, err := c.callUntil(http.StatusOK, http.MethodGet, "/lots/"+job+"?after=0", "read-"+job, nil)
	if err != nil {
		return nil, err
	}
	var page struct {
		Results []result `json:"results"`
	}
	err = json.Unmarshal(data, &page)
	return page.Results, err
}

// awaitResults waits until the count of results is listed, or the time is over, and
// returns those that are.
func (c *client) awaitResults(job string, count int, limit time.Duration) ([]result, error) {
	deadline := time.Now().Add(limit)
	for {
		results, err := c.results(job)
		if err != nil || len(results) >= count || time.Now().After(deadline) {
			return results, err
		}
		time.Sleep(retryDelay)
	}
}
