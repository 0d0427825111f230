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

// A caller that doesn't read its answer holds up nobody, and what waits for it
// is bounded.
func TestSlowReaderDelaysNobody(t *testing.T) {
	const huge, piece = 64 << 20, 64 << 10
	var written atomic.Int64
	rig := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/svc/huge" {
			fmt.Fprint(w, "small")
			return
		}
		data := make([]byte, piece)
		for range huge / piece {
			if _, err := w.Write(data); err != nil {
				return
			}
			written.Add(piece)
		}
	}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 4 {
		response, err := rig.open(ctx, http.MethodGet, "/svc/huge")
		require.NoError(t, err)
		defer response.Body.Close()
	}
	for range 200 {
		status, body, err := rig.call(http.MethodGet, "/svc/small")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "small", body)
	}
	assert.Less(t, written.Load(), int64(4*huge/2), "the answers nobody reads are held back")
}

// An answer that breaks off never looks whole, and a request that may not be
// repeated isn't.
func TestBrokenAnswerIsSeenAndNotRepeated(t *testing.T) {
	var runs atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/svc/half" {
			fmt.Fprint(w, "half of the")
			w.(http.Flusher).Flush()
		}
		panic(http.ErrAbortHandler)
	})
	rig := newRig(t, handler, handler)
	_, body, err := rig.call(http.MethodPost, "/svc/half")
	assert.Error(t, err, "the caller got %q and took it for whole", body)
	assert.EqualValues(t, 1, runs.Load())

	status, body, err := rig.call(http.MethodPost, "/svc/none")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, status)
	assert.Contains(t, body, `"ran":"unknown"`)
	assert.EqualValues(t, 2, runs.Load())
}

// A caller that leaves ends its request at the upstream.
func TestLeavingCallerEndsItsRequest(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	rig := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		close(began)
		<-r.Context().Done()
		close(ended)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	response, err := rig.open(ctx, http.MethodGet, "/svc/long")
	require.NoError(t, err)
	defer response.Body.Close()
	<-began
	cancel()
	<-ended
}

// An idempotent request whose upstream fails is answered by another.
func TestIdempotentRequestGoesToAnotherUpstream(t *testing.T) {
	bad := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	good := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "good") })
	rig := newRig(t, bad, good)
	for i := range 20 {
		// Each request is another one: the same one again would rightly be taken
		// for the cause of the failures.
		status, body, err := rig.call(http.MethodGet, fmt.Sprintf("/svc/x?n=%d", i))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "good", body)
	}
}
