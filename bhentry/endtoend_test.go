package bhentry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A caller that doesn't read its response must not delay other requests, and
// the data buffered for it must be bounded.
func TestUnreadResponsesAreBoundedAndDoNotBlockOthers(t *testing.T) {
	const responseSize, writeSize = 64 << 20, 64 << 10
	var written atomic.Int64
	cluster := newTestCluster(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/svc/huge" {
			fmt.Fprint(w, "small")
			return
		}
		data := make([]byte, writeSize)
		for range responseSize / writeSize {
			if _, err := w.Write(data); err != nil {
				return
			}
			written.Add(writeSize)
		}
	}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 4 {
		response, err := cluster.send(ctx, http.MethodGet, "/svc/huge")
		require.NoError(t, err)
		defer response.Body.Close()
	}
	for range 200 {
		status, body, err := cluster.fetch(http.MethodGet, "/svc/small")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "small", body)
	}
	assert.Less(t, written.Load(), int64(4*responseSize/2), "the unread responses must be held back")
}

// The upstream aborts the connection during a response. The caller must see an
// error instead of a complete response, and a request that isn't idempotent
// must not be retried.
func TestTruncatedResponseFailsAndIsNotRetried(t *testing.T) {
	var runs atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/svc/half" {
			fmt.Fprint(w, "half of the")
			w.(http.Flusher).Flush()
		}
		panic(http.ErrAbortHandler)
	})
	cluster := newTestCluster(t, handler, handler)
	_, body, err := cluster.fetch(http.MethodPost, "/svc/half")
	assert.Error(t, err, "the caller received %q as a complete response", body)
	assert.EqualValues(t, 1, runs.Load())

	status, body, err := cluster.fetch(http.MethodPost, "/svc/none")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, status)
	assert.Contains(t, body, `"ran":"unknown"`)
	assert.EqualValues(t, 2, runs.Load())
}

// When a caller disconnects, its request must be cancelled at the upstream.
func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	cluster := newTestCluster(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		close(started)
		<-r.Context().Done()
		close(ended)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	response, err := cluster.send(ctx, http.MethodGet, "/svc/long")
	require.NoError(t, err)
	defer response.Body.Close()
	<-started
	cancel()
	<-ended
}

// An idempotent request whose upstream fails must succeed on another upstream.
func TestIdempotentRequestIsRetriedOnAnotherUpstream(t *testing.T) {
	failing := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	healthy := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "good") })
	cluster := newTestCluster(t, failing, healthy)
	for i := range 20 {
		// Each request differs: a repeated one would be quarantined as the cause of
		// the crashes.
		status, body, err := cluster.fetch(http.MethodGet, fmt.Sprintf("/svc/x?n=%d", i))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "good", body)
	}
}
