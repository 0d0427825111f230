package bhsidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhbatch"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// writeUntilClosed hijacks the connection and writes the start, then the block until
// the caller closes or enough bytes are written. It returns the number of bytes.
func writeUntilClosed(w http.ResponseWriter, start, block string, enough int64) int64 {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	written := int64(0)
	for text := start; err == nil && written < enough; text = block {
		var n int
		n, err = conn.Write([]byte(text))
		written += int64(n)
	}
	return written
}

// Guards against an upstream whose bytes never end and that fills the memory of the
// sidecar, in the head of an answer or in that of a batch item.
func TestEndlessAnswersAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		start, block string
		enough       int64
	}{
		"head": {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-More: and more\r\n", 1000), 9 << 20},
		"item": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat(`data: {"choices":[{"delta":{"content":"`+strings.Repeat("more ", 200)+`"}}]}`+"\n\n", 100), 64 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64 // by the connection with the most
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				written.Store(max(written.Load(), writeUntilClosed(w, c.start, c.block, c.enough)))
			}))
			engine := batchEngine{upstream: newUpstream(bhconf.Upstream{Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1}, equalWeight), onFirstToken: func() {}}
			_, err := engine.Run(t.Context(), batchItem("week"), bhbatch.ResumePoint{}, discardEmit)
			require.Error(t, err)
			if name == "head" {
				_, err = engine.upstream.send(t.Context(), bhwire.Submit{Method: http.MethodGet, Path: "/", Idempotent: true}) //nolint:bodyclose // no answer
				require.Error(t, err)
			}
			engine.upstream.close()
			server.Close() // waits for the handlers
			assert.Less(t, written.Load(), c.enough, "the connection was closed")
		})
	}
}
