package bhgate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

const earlierAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 5\r\n\r\nfirst"

// newScriptedUpstream returns an upstream that answers with the request's body, byte by byte as
// it is, and ends the connection as the end of the path tells.
func newScriptedUpstream(t *testing.T) *fakeUpstream {
	var u *fakeUpstream
	u = newUpstream(t, func(w http.ResponseWriter, r *http.Request, number int) {
		if strings.HasSuffix(r.URL.Path, "/keep") {
			_, _ = io.WriteString(w, "first")
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		u.mu.Lock()
		answer := u.bodies[number-1]
		u.mu.Unlock()
		_, _ = io.WriteString(conn, answer)
		if strings.HasSuffix(r.URL.Path, "/reset") {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	return u
}

// TestClientsGetNoAnswerThatWasCutInItsHead guards against an upstream that stops in the middle
// of a head, a chunk-size line or a trailer, and whose client gets a success that is empty or
// short.
func TestClientsGetNoAnswerThatWasCutInItsHead(t *testing.T) {
	body := wholeStream(1)
	for name, before := range map[string]string{"fresh": "", "reused": "", "after an interim head": "HTTP/1.1 103 Early Hints\r\n\r\n", "after a late answer": earlierAnswer} {
		for _, framing := range framings {
			t.Run(name+"/"+string(framing), func(t *testing.T) {
				t.Parallel()
				u := newScriptedUpstream(t)
				g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Safe}, u)
				g.policies.update(func(p *fakePolicies) {
					policy := *p.view.Index.Policy
					policy.Services = []bhpolicy.Service{{Name: "s"}} // connections to plain services are kept
					p.view.Index = bhpolicy.NewIndex(&policy)
				})
				streaming := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, u)
				head, framed := framedText(framing, body)
				whole, last := head+framed, len(head+framed)
				if framing == bhforward.FramedByClose {
					last = len(head) // an orderly close is the end of such a body
				}
				send := func(to *testGate, end, answer string) (int, string, error) {
					to.policies.update(func(p *fakePolicies) { p.view.ProvenAt = to.clock.Now() }) // the cuts take longer than a proof lasts
					if to == g && (name == "reused" || before == earlierAnswer) {
						require.Equal(t, http.StatusOK, g.status(g.request("/a/keep", withID("first"))))
					}
					sent := u.count()
					request := to.request("/a/"+end, func(r *http.Request) {
						text := before + answer
						r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
					})
					response, got, err := to.do(request)
					require.Greater(t, u.count(), sent, "the upstream was asked")
					if err != nil {
						return 0, got, err
					}
					return response.StatusCode, got, nil
				}
				for cut := range last {
					for _, end := range []string{"close", "reset"} {
						status, got, err := send(g, end, whole[:cut])
						require.True(t, err != nil || status >= 500, "%s after %q reached a client as %d %q", end, whole[:cut], status, got)
					}
					if before != earlierAnswer { // those have a connection for each request
						status, got, err := send(streaming, "close", whole[:cut])
						require.True(t, err != nil || status >= 500, "a stream closed after %q reached a client as %d %q", whole[:cut], status, got)
					}
				}
				status, got, err := send(g, "close", whole)
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, body, got)
			})
		}
	}
}

// framedText returns the head of an answer to request r1 and its body in the framing, with a
// trailer if it is chunked.
func framedText(framing bhforward.Framing, body string) (head, framed string) {
	head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
	switch framing {
	case bhforward.FramedByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)), body
	case bhforward.FramedByChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x;e=1\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(body), body)
	}
	return head + "\r\n", body
}
