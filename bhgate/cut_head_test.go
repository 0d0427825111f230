package bhgate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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

// cutAnswerTries bounds how often a request is sent again that says nothing about a cut answer.
const cutAnswerTries = 20

// cutAnswerCase sends requests that tell the upstream how to answer.
type cutAnswerCase struct {
	t        *testing.T
	upstream *fakeUpstream
	// before precedes each answer.
	before string
	// asked counts the requests that the upstream must have got.
	asked int
}

// send sends the request until the upstream has got it, with reused on the connection of an
// earlier request, and passes each answer to check. It is sent again if it is answered as not run
// and the upstream didn't get it, or got it on a new connection: on a busy machine it may take too
// long to connect, and connections may be idle for too long to be reused.
func (c *cutAnswerCase) send(g *testGate, reused bool, end, answer string, check func(status int, body string, err error)) {
	for range cutAnswerTries {
		if reused && !c.ask(g, "/a/keep", "first", "", func(status int, _ string, err error) {
			require.NoError(c.t, err)
			require.Equal(c.t, http.StatusOK, status)
		}) {
			continue
		}
		var earlier any
		if reused {
			earlier = c.upstream.last().Context().Value(connKey{})
		}
		asIntended := true
		asked := c.ask(g, "/a/"+end, "r1", c.before+answer, func(status int, body string, err error) {
			asIntended = !reused || c.upstream.last().Context().Value(connKey{}) == earlier
			if asIntended || c.before != earlierAnswer || status != http.StatusBadGateway { // another request's answer, on a new connection
				check(status, body, err)
			}
		})
		if asked && asIntended {
			return
		}
	}
	require.Fail(c.t, "the upstream didn't get the request as intended", "%d times, reused %t, %q", cutAnswerTries, reused, c.before+answer)
}

// ask sends one request and passes the answer to check. It returns false, without a call of
// check, if the upstream didn't get the request and the answer says so.
func (c *cutAnswerCase) ask(g *testGate, path, id, text string, check func(status int, body string, err error)) bool {
	request := g.request(path, withID(id), withDeadline(time.Minute), func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
	})
	response, got, err := g.do(request)
	status := 0
	if err == nil {
		status = response.StatusCode
	}
	if status == http.StatusServiceUnavailable {
		require.Equal(c.t, c.asked, c.upstream.count(), "the upstream got a request that is answered as not run: %q", got)
		return false
	}
	c.asked++
	require.Equal(c.t, c.asked, c.upstream.count(), "the upstream got the request once: %d %q %v", status, got, err)
	check(status, got, err)
	return true
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
				c := &cutAnswerCase{t: t, upstream: u, before: before}
				reused := name == "reused" || before == earlierAnswer
				for cut := range last {
					for _, end := range []string{"close", "reset"} {
						c.send(g, reused, end, whole[:cut], func(status int, got string, err error) {
							require.True(t, err != nil || status >= 500, "%s after %q reached a client as %d %q", end, whole[:cut], status, got)
						})
					}
					if before != earlierAnswer { // those have a connection for each request
						c.send(streaming, false, "close", whole[:cut], func(status int, got string, err error) {
							require.True(t, err != nil || status >= 500, "a stream closed after %q reached a client as %d %q", whole[:cut], status, got)
						})
					}
				}
				c.send(g, reused, "close", whole, func(status int, got string, err error) {
					require.NoError(t, err)
					assert.Equal(t, http.StatusOK, status)
					assert.Equal(t, body, got)
				})
				u.server.Close() // waits until it has got all requests
				assert.Equal(t, c.asked, u.count(), "the upstream got none of those that were answered as not run")
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
