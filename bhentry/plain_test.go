package bhentry_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSmallAnswerThatBreaksOffIsTriedElsewhere guards against callers of requests that may be
// repeated who get the head of a small answer and then a broken body.
func TestSmallAnswerThatBreaksOffIsTriedElsewhere(t *testing.T) {
	var calls atomic.Int32
	breaksOnce := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "5")
		if calls.Add(1) == 1 {
			w.Header().Set("X-First", "1")
			_, _ = io.WriteString(w, "wh")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "whole")
	})
	cluster := newTestCluster(t, breaksOnce, breaksOnce)
	response, err := cluster.send(t.Context(), http.MethodGet, "/svc/x")
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "whole", string(body))
	assert.Empty(t, response.Header.Get("X-First"), "a header of the answer that broke off")
	assert.EqualValues(t, 2, calls.Load())
}

// TestAnswerOfUnknownLengthIsNotHeldBack guards against callers who wait for the end of an answer
// whose parts come one by one.
func TestAnswerOfUnknownLengthIsNotHeldBack(t *testing.T) {
	read := make(chan struct{})
	cluster := newTestCluster(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-read
		_, _ = io.WriteString(w, "second")
	}))
	response, err := cluster.send(t.Context(), http.MethodGet, "/svc/x")
	require.NoError(t, err)
	defer response.Body.Close()
	first := make([]byte, 5)
	_, err = io.ReadFull(response.Body, first)
	close(read)
	require.NoError(t, err)
	rest, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "firstsecond", string(first)+string(rest))
}
