package bhgate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhserve"
)

// framings are those in which an upstream may answer.
var framings = []bhforward.Framing{bhforward.FramedByLength, bhforward.FramedByChunks, bhforward.FramedByClose}

// framedAnswer returns a handler that answers with the status and header lines and
// the body, complete in its framing, and closes the connection in an orderly way.
func framedAnswer(framing bhforward.Framing, head, body string) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		head := fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\n", head, r.Header.Get("Request-Id"))
		switch framing {
		case bhforward.FramedByLength:
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		case bhforward.FramedByChunks:
			fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", head)
			if body != "" {
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(body), body)
			}
			fmt.Fprint(conn, "0\r\n\r\n")
		case bhforward.FramedByClose:
			fmt.Fprintf(conn, "%s\r\n%s", head, body)
		}
	}
}

// Guards against a stream that broke off inside an event and reached its caller as
// a complete answer, or with a part of the event.
func TestStreamThatEndsInsideEventIsNotComplete(t *testing.T) {
	for _, framing := range framings {
		for name, rest := range map[string]string{"in a line": "id: 8\nda", "before the blank line": "id: 8\ndata: 8\n"} {
			t.Run(string(framing)+"/"+name, func(t *testing.T) {
				cut := newUpstream(t, framedAnswer(framing, "200 OK", wholeStream(7)+rest))
				g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, cut)
				_, body, err := g.do(g.request("/a/x"))
				require.Error(t, err, "the caller must see that the answer is incomplete")
				assert.Equal(t, wholeStream(7), body)

				other := newUpstream(t, streamEvents(20, 0))
				g = newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: 2}, cut, other)
				_, body, err = g.do(g.request("/a/x"))
				require.NoError(t, err)
				assert.Equal(t, wholeStream(20), body, "resumed after the last complete event")
			})
		}
	}
}

// Guards against an engine that went away before its first event and whose caller
// got an empty answer as complete.
func TestStreamThatEndsWithItsConnectionBeforeAnyEventIsNotComplete(t *testing.T) {
	gone := newUpstream(t, framedAnswer(bhforward.FramedByClose, "200 OK", ""))
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, gone)
	_, _, err := g.do(g.request("/a/x"))
	require.Error(t, err)
}

// A stream that is complete in its framing and ends between two events is complete.
func TestCompleteStreamIsRelayedInEachFraming(t *testing.T) {
	for _, framing := range framings {
		u := newUpstream(t, framedAnswer(framing, "200 OK", wholeStream(7)))
		g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, u)
		_, body, err := g.do(g.request("/a/x"))
		require.NoError(t, err, framing)
		assert.Equal(t, wholeStream(7), body, framing)
	}
}

// An answer on a streaming route that is declared as data of another kind has no
// events that could be incomplete; its framing decides.
func TestAnswerThatIsNoStreamIsRelayedOnStreamingRoute(t *testing.T) {
	for _, framing := range framings {
		u := newUpstream(t, framedAnswer(framing, "200 OK\r\nContent-Type: application/json", `{"text": "whole"}`))
		g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, u)
		_, body, err := g.do(g.request("/a/x"))
		require.NoError(t, err, framing)
		assert.Equal(t, `{"text": "whole"}`, body, framing)
	}
}

// Guards against a caller of HTTP/1.0, to whom an answer ends with its connection,
// that takes a broken stream for a complete one.
func TestBrokenStreamIsBrokenForOldCallersToo(t *testing.T) {
	for rest, whole := range map[string]bool{"": true, "id: 8": false} {
		u := newUpstream(t, framedAnswer(bhforward.FramedByClose, "200 OK", wholeStream(7)+rest))
		g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, u)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{Handler: g.gate, ReadHeaderTimeout: time.Minute}
		go func() {
			_ = server.Serve(bhserve.NewCallerListener(bhserve.CallerListenerConfig{Listener: listener, IdleTimeout: func() time.Duration { return time.Minute }}))
		}()
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		fmt.Fprint(conn, "GET /open/x HTTP/1.0\r\nHost: one.example\r\nRequest-Id: r1\r\n\r\n")
		_, err = io.ReadAll(conn)
		assert.Equal(t, whole, err == nil, "%q: %v", rest, err)
		require.NoError(t, conn.Close())
		require.NoError(t, server.Close())
	}
}

// Guards against an upstream whose bytes never become an event, on which a stream
// waits for its deadline while the bytes fill the gateway's memory.
func TestStreamResumesAfterBytesWithoutEnd(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "slowly": 20 * time.Millisecond} {
		endless := newUpstream(t, func(w http.ResponseWriter, r *http.Request, _ int) {
			fmt.Fprint(w, wholeStream(7))
			for r.Context().Err() == nil {
				fmt.Fprint(w, "garbage ")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
			}
		})
		other := newUpstream(t, streamEvents(20, 0))
		g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: 2}, endless, other)
		_, body, err := g.do(g.request("/a/x"))
		require.NoError(t, err, name)
		assert.Equal(t, wholeStream(20), body, name)
	}
}
