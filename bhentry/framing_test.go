package bhentry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	wholeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	cutEvents   = wholeEvents + "id: 3\nda"
	// encodedEvents stands for an encoded stream, whose bytes aren't those of events.
	encodedEvents = "\x0b\x02\n\n\x80"
)

// eventService answers with events, in the framing that the query names: length,
// chunks or close. With the query encoded, they are encoded. With the query cut, or the body "cut", the answer ends inside an
// event. The connection is closed in an orderly way.
func eventService(w http.ResponseWriter, r *http.Request) {
	request, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	body := wholeEvents
	if string(request) == "cut" || query.Has("cut") {
		body = cutEvents
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
	if query.Has("encoded") {
		head, body = head+"Content-Encoding: br\r\n", encodedEvents
	}
	switch query.Get("framing") {
	case "length":
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case "chunks":
		fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	default:
		fmt.Fprintf(conn, "%s\r\n%s", head, body)
	}
}

// Guards against a plain service's stream that broke off inside an event and
// reached its caller as complete.
func TestPlainStreamThatEndsInsideEventIsNotComplete(t *testing.T) {
	cluster := newTestCluster(t, http.HandlerFunc(eventService))
	for _, framing := range []string{"length", "chunks", "close"} {
		status, body, err := cluster.fetch(http.MethodGet, "/svc/x?framing="+framing)
		require.NoError(t, err, framing)
		assert.Equal(t, http.StatusOK, status, framing)
		assert.Equal(t, wholeEvents, body, framing)
		status, _, err = cluster.fetch(http.MethodGet, "/svc/x?cut&framing="+framing)
		assert.True(t, err != nil || status >= 500, "%s: status %d", framing, status)
	}
}

// Guards against an answer that broke off inside an event and was stored under its
// idempotency key as the answer of the request.
func TestPartOfAStreamIsNotStoredUnderItsKey(t *testing.T) {
	cluster := newTestCluster(t, http.HandlerFunc(eventService))
	for range 2 {
		status, body, err := cluster.postWithKey(t.Context(), "k1", "cut")
		require.NoError(t, err)
		assert.GreaterOrEqual(t, status, 400, body)
		assert.NotContains(t, body, "data: a")
	}
	status, body, err := cluster.postWithKey(t.Context(), "k2", "whole")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, wholeEvents, body)
}

// Guards against an encoded stream that is sound, and that was broken off because its bytes were
// read as events.
func TestEncodedPlainStreamIsComplete(t *testing.T) {
	cluster := newTestCluster(t, http.HandlerFunc(eventService))
	for _, framing := range []string{"length", "chunks", "close"} {
		status, body, err := cluster.fetch(http.MethodGet, "/svc/x?encoded&framing="+framing)
		require.NoError(t, err, framing)
		assert.Equal(t, http.StatusOK, status, framing)
		assert.Equal(t, encodedEvents, body, framing)
	}
}

// Guards against a plain service's stream that broke off and was joined with the answer of the next
// service.
func TestPlainStreamThatBreaksIsNotContinued(t *testing.T) {
	services := make([]http.Handler, 2)
	var calls atomic.Int64
	for i := range services {
		services[i] = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) > 1 {
				http.Error(w, "out of memory\n", http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, wholeEvents+"id: 3\ndata: c")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			panic(http.ErrAbortHandler)
		})
	}
	cluster := newTestCluster(t, services...)
	_, body, err := cluster.fetch(http.MethodGet, "/svc/x")
	require.Error(t, err, "the stream must break visibly")
	assert.Equal(t, wholeEvents+"id: 3\ndata: c", body, "nothing but the bytes of the service")
	assert.EqualValues(t, 1, calls.Load())
}
