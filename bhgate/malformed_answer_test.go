package bhgate

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// newRawUpstream returns an upstream that answers each request with the text, in which %s stands
// for the request's ID, and closes the connection.
func newRawUpstream(t *testing.T, text string) *fakeUpstream {
	return newUpstream(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", r.Header.Get("Request-Id")))
	})
}

// TestStatusThatIsNoneReachesNoClient guards against a head without a status that a client gets as
// an answer, or instead of which it gets whatever follows.
func TestStatusThatIsNoneReachesNoClient(t *testing.T) {
	const fields = "\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\n"
	const whole = "HTTP/1.1 200 OK" + fields + "no"
	for _, kind := range []bhpolicy.Kind{bhpolicy.Safe, bhpolicy.Unsafe, bhpolicy.Streaming} {
		for _, status := range []string{"000", "001", "099", "+20", "-01", "101", "600", "999", "1000"} {
			t.Run(fmt.Sprintf("%v/%s", kind, status), func(t *testing.T) {
				follows := "no"
				if status < "200" {
					follows = whole
				}
				broken := newRawUpstream(t, "HTTP/1.1 "+status+" OK"+fields+follows)
				g := newTestGate(t, bhpolicy.Route{Kind: kind, LatencyObjective: time.Second}, broken)
				response, body, err := g.do(g.request("/a/x"))
				require.NoError(t, err)
				assert.Equal(t, http.StatusBadGateway, response.StatusCode, "it may have run: %s", body)
				assert.Equal(t, 1, broken.count())
			})
		}
	}
	sound := newRawUpstream(t, "HTTP/1.1 200 OK"+fields+"ok")
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe, MaxAttempts: 2, LatencyObjective: time.Second}, newRawUpstream(t, "HTTP/1.1 000 OK"+fields+"no"), sound)
	response, body, err := g.do(g.request("/a/x"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode, "another upstream answers")
	assert.Equal(t, "ok", body)
}

// lines collects log lines.
type lines struct{ text strings.Builder }

// Write implements io.Writer.
func (l *lines) Write(line []byte) (int, error) { return l.text.Write(line) }

// Guards against a client that is told an upstream's bytes, which may be those of another client.
func TestClientsAreNotToldTheBytesOfAMalformedHead(t *testing.T) {
	for _, head := range []string{
		"secret\r\n\r\n", "HTTP/1.1 secret\r\n\r\n", "HTTP/1.1 200 OK\r\nsecret\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: secret\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: secret\r\n\r\n", "HTTP/secret 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nRequest-Id: secret\r\n\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe, LatencyObjective: time.Second}, newRawUpstream(t, head))
			log := &lines{}
			logger, err := bhlog.New(log, bhlog.Info)
			require.NoError(t, err)
			g.gate.config.Logger = logger
			response, body, err := g.do(g.request("/a/x"))
			require.NoError(t, err)
			assert.Equal(t, http.StatusBadGateway, response.StatusCode)
			assert.NotContains(t, body, "secret")
			assert.Contains(t, body, "upstream_lost (2006)")
			g.server.Close()
			assert.Contains(t, log.text.String(), "secret", "operators are")
		})
	}
}
