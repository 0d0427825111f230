package bhbatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newRawServer returns a client of an entry that answers with the text as it is.
func newRawServer(t *testing.T, text string) *Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
	}))
	t.Cleanup(server.Close)
	client := NewClient(ClientConfig{URL: server.URL})
	t.Cleanup(client.Close)
	return client
}

// Guards against a reply without an end that fills the memory of the command.
func TestEndlessReplyIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"id":"`)
		for block := strings.Repeat("more ", 10_000); err == nil; {
			_, err = io.WriteString(w, block)
		}
	}))
	defer server.Close()
	client := NewClient(ClientConfig{URL: server.URL})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := client.Get(ctx, "b")
	require.Error(t, err)
	require.NoError(t, ctx.Err(), "refused before the end")
}

// Guards against a part of a file that is written out as the whole.
func TestContentOfUnknownLengthIsRefused(t *testing.T) {
	_, err := newRawServer(t, "HTTP/1.1 200 OK\r\n\r\npart").Content(t.Context(), "f")
	require.ErrorContains(t, err, "length")
	content, err := newRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole").Content(t.Context(), "f")
	require.NoError(t, err)
	defer content.Close()
	data, err := io.ReadAll(content)
	require.NoError(t, err)
	assert.Equal(t, "whole", string(data))
}
