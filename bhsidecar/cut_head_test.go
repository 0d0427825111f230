package bhsidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhbatch"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// rawUpstream answers with text as it is, and then ends the connection. It answers requests to
// /keep with 200.
type rawUpstream struct {
	mu    sync.Mutex
	text  string
	reset bool
	sent  int
}

func (u *rawUpstream) set(text string, reset bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.text, u.reset, u.sent = text, reset, 0
}

// count returns how many requests came since the last set.
func (u *rawUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sent
}

// ServeHTTP implements http.Handler.
func (u *rawUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/keep" || r.URL.Path == probePath {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent++
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, u.text)
	if u.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// TestUpstreamThatStopsInItsHeadHasNoAnswer guards against an upstream that stops in the middle
// of a head, a chunk-size line or a trailer, and whose caller or batch item gets an answer that
// is empty or short.
func TestUpstreamThatStopsInItsHeadHasNoAnswer(t *testing.T) {
	const event = `data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	raw := &rawUpstream{}
	server := httptest.NewServer(raw)
	defer server.Close()
	engine := batchEngine{upstream: newUpstream(bhconf.Upstream{Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1}, equalWeight), onFirstToken: func() {}}
	defer engine.upstream.close()
	read := func(path string) (string, error) {
		response, err := engine.upstream.send(t.Context(), bhwire.Submit{Method: http.MethodGet, Path: path, Idempotent: true})
		if err != nil {
			assert.Equal(t, bhcode.RanUnknown, bhcode.From(err).Ran, "%v", err)
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		for framing, head := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", len(event)),
			"chunks": "Transfer-Encoding: chunked\r\n\r\n",
			"close":  "\r\n",
		} {
			head, body := interim+"HTTP/1.1 200 OK\r\n"+head, event
			last := len(head)
			if framing == "chunks" {
				body = fmt.Sprintf("%x;e=1\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(event), event)
			}
			if framing != "close" {
				last = len(head + body)
			}
			for cut := range last {
				for _, reused := range []bool{false, true} {
					if reused {
						_, err := read("/keep")
						require.NoError(t, err)
					} else {
						engine.upstream.keepAlive.CloseIdleConnections()
					}
					raw.set((head + body)[:cut], reused == (cut%2 == 1))
					got, err := read("/x")
					require.Error(t, err, "%s: %q was taken for an answer with the body %q", framing, (head + body)[:cut], got)
					require.Equal(t, 1, raw.count(), "%q", (head + body)[:cut])
				}
				if cut >= len(head+event) {
					continue // the item is whole at its [DONE]
				}
				result, err := engine.Run(t.Context(), batchItem("week"), bhbatch.ResumePoint{}, discardEmit)
				require.Error(t, err, "%s: %q was taken for an item's answer %s", framing, (head + body)[:cut], result.Body)
			}
			raw.set(head+body, false)
			got, err := read("/x")
			require.NoError(t, err)
			assert.Equal(t, event, got)
		}
	}
}
