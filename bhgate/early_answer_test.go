package bhgate

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// uploadBytes is what a client sends in a request.
const uploadBytes = 2 << 20

// newEarlyUpstream returns an upstream that answers with the text before it has read the request's
// body, and ends the connection at once, with reset by a reset.
func newEarlyUpstream(t *testing.T, fields, body string, pause time.Duration, reset bool, asked *atomic.Int64) *fakeUpstream {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		asked.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n\r\n%s", fields, r.Header.Get("Request-Id"), body)
		time.Sleep(pause)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}))
	t.Cleanup(server.Close)
	return &fakeUpstream{server: server}
}

// withUpload is a change of a request that gives it a long body.
func withUpload(request *http.Request) {
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))), uploadBytes
}

// TestEarlyAnswerThatIsResetReachesNoClientAsWhole guards against a part of an answer that a client
// gets as the whole: its upstream answered without a length while it was sent a long upload, and
// reset the connection.
func TestEarlyAnswerThatIsResetReachesNoClientAsWhole(t *testing.T) {
	for _, kind := range []bhpolicy.Kind{bhpolicy.Safe, bhpolicy.Unsafe, bhpolicy.Streaming} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v, %s", kind, pause), func(t *testing.T) {
				var asked atomic.Int64
				upstream := newEarlyUpstream(t, "200 OK", "id: 1\ndata: part\n\n", pause, true, &asked)
				g := newTestGate(t, bhpolicy.Route{Kind: kind, LatencyObjective: time.Second}, upstream)
				for try := range 20 {
					response, body, err := g.do(g.request("/a/x", withUpload, withDeadline(time.Hour), withID(fmt.Sprint("r", try))))
					require.True(t, err != nil || response.StatusCode >= http.StatusInternalServerError, "%q was taken for a whole answer", body)
				}
				assert.Positive(t, asked.Load())
			})
		}
	}
}

// Guards against a whole answer that is thrown away because it came before the end of the upload.
func TestWholeEarlyAnswerReachesTheClient(t *testing.T) {
	for fields, want := range map[string]int{
		"413 Content Too Large\r\nContent-Length: 9": http.StatusRequestEntityTooLarge,
		"200 OK\r\nContent-Length: 9":                http.StatusOK,
		"422 Unprocessable Content":                  http.StatusUnprocessableEntity,
	} {
		t.Run(fields, func(t *testing.T) {
			var asked atomic.Int64
			g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe, LatencyObjective: time.Second}, newEarlyUpstream(t, fields, "too large", 0, false, &asked))
			response, body, err := g.doConnected("/a/x", withUpload)
			require.NoError(t, err)
			assert.Equal(t, want, response.StatusCode)
			assert.Equal(t, "too large", body)
			assert.Equal(t, int64(1), asked.Load())
		})
	}
}
