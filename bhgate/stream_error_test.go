package bhgate

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// errorHead is the head of an upstream's answer.
const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 15"

// errorAnswers are answers of upstreams, by their status and header lines and their body, that
// are no rest of a stream.
var errorAnswers = []struct{ head, body string }{
	{"500 Internal Server Error", "out of memory\n\n"},
	{"404 Not Found", "id: 8\ndata: no route\n\n"},
	{"302 Found\r\nLocation: /elsewhere", ""},
	{"204 No Content", ""},
	{"206 Partial Content", "id: 8\ndata: 8\n\n"},
	{"200 OK\r\nContent-Type: application/json", `{"error": "out of memory"}` + "\n\n"},
	{"200 OK\r\nContent-Type: application/json", ""},
	{"200 OK\r\nContent-Type: text/html", "id: 8\ndata: <h1>out of memory</h1>\n\n"},
	{"200 OK\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip", ""},
}

// errorBodies are errors that their heads don't tell.
var errorBodies = []struct{ head, body string }{
	{"200 OK", `{"error": "out of memory"}` + "\n\n"},
	{"200 OK\r\nContent-Type: text/plain", "out of memory\n\n"},
	{"200 OK\r\nContent-Type: text/event-stream", errorHead + "\r\n\r\n"},
	{"200 OK", `data: {"error": "out of memory"}` + "\n\n"},
	{"200 OK", ": busy\n\nevent: error\ndata: out of memory\n\nid: 8\ndata: 8\n\n"},
}

// resumedAfter returns what a caller reads of a stream of 20 events that breaks off after 7, if the
// next attempts are answered as given and the others soundly.
func resumedAfter(t *testing.T, attempts int, answers ...func(http.ResponseWriter, *http.Request, int)) (string, error) {
	var turns atomic.Int64
	next := func(w http.ResponseWriter, r *http.Request, number int) {
		if turn := int(turns.Add(1)); turn <= len(answers) {
			answers[turn-1](w, r, number)
			return
		}
		streamEvents(20, 0)(w, r, number)
	}
	upstreams := []*fakeUpstream{newUpstream(t, streamEvents(20, 7))}
	for range attempts - 1 {
		upstreams = append(upstreams, newUpstream(t, next))
	}
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: attempts}, upstreams...)
	_, body, err := g.do(g.request("/a/x"))
	assert.Equal(t, int64(attempts-1), turns.Load(), "attempts after the first")
	return body, err
}

// Guards against a stream that broke off and was joined with the answer of the next upstream,
// which was an error: its text reached the caller, or its end as that of the stream.
func TestErrorOfTheNextUpstreamIsNotJoinedToTheStream(t *testing.T) {
	for _, answer := range slices.Concat(errorAnswers, errorBodies) {
		for _, framing := range framings {
			t.Run(fmt.Sprintf("%q/%s", answer, framing), func(t *testing.T) {
				body, err := resumedAfter(t, 2, framedAnswer(framing, answer.head, answer.body))
				require.Error(t, err, "the stream must break visibly")
				assert.Equal(t, wholeStream(7), body)
				body, err = resumedAfter(t, 3, framedAnswer(framing, answer.head, answer.body))
				require.NoError(t, err)
				assert.Equal(t, wholeStream(20), body)
			})
		}
	}
}

// A run that has nothing left to send, because the stream broke off after its last event, may be
// empty; the end of a connection doesn't show that.
func TestEmptyRestOfAStreamIsCompleteInItsFraming(t *testing.T) {
	for _, head := range []string{"200 OK", "200 OK\r\nContent-Type: text/event-stream"} {
		for _, framing := range framings {
			for _, rest := range []string{"", ": still there\n\n"} {
				body, err := resumedAfter(t, 2, framedAnswer(framing, head, rest))
				assert.Equal(t, framing != bhforward.FramedByClose, err == nil, "%q by %s: %v", head+rest, framing, err)
				assert.Equal(t, wholeStream(7)+rest, body)
			}
		}
	}
}

// Guards against an encoded answer whose bytes were read as events and that was broken off.
func TestEncodedAnswerIsRelayedOnStreamingRoute(t *testing.T) {
	u := newUpstream(t, framedAnswer(bhforward.FramedByChunks, "200 OK\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip", "\x1f\x8b\n\n\x08"))
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, u)
	_, body, err := g.do(g.request("/a/x", func(r *http.Request) { r.Header.Set("Accept-Encoding", "gzip") }))
	require.NoError(t, err)
	assert.Equal(t, "\x1f\x8b\n\n\x08", body)
}

// Guards against an error that a client gets for the rest of its stream, as a success, when it
// takes the stream up.
func TestErrorIsNoRestOfAStreamThatIsTakenUp(t *testing.T) {
	for _, answer := range slices.Concat(errorAnswers, errorBodies) {
		if !strings.HasPrefix(answer.head, "200 ") {
			continue // the status tells the client
		}
		for _, framing := range framings {
			for _, attempts := range []int{1, 2} {
				failing, sound := newUpstream(t, framedAnswer(framing, answer.head, answer.body)), newUpstream(t, streamEvents(20, 0))
				route := resumableRoute
				route.MaxAttempts = attempts
				g := newTestGate(t, route, failing, sound)
				g.setVersions("v1", "v1")
				response, body, err := g.do(g.request("/a/x", takeUp("r1", "7")))
				if attempts == 1 && slices.Contains(errorBodies, answer) {
					require.Error(t, err, "%q", answer)
					assert.Empty(t, body, "%q", answer)
					continue
				}
				require.NoError(t, err, "%q", answer)
				if attempts == 1 {
					assert.Equal(t, http.StatusBadGateway, response.StatusCode, "%q", answer)
					continue
				}
				assert.Equal(t, wholeStream(20)[len(wholeStream(7)):], body, "%q", answer)
			}
		}
	}
}

// Guards against the head and the text of an error that an upstream writes into the body of its
// stream, or after a body that ends with its connection.
func TestErrorWithinAStreamIsNotRelayed(t *testing.T) {
	for _, part := range []string{"", "id: 8\n", "id: 8\nda", "id: 8\ndata: 8", "id: 8\ndata: 8\n"} {
		for _, failure := range []string{errorHead + "\r\n\r\nout of memory\r\n", `{"error": "out of memory"}` + "\n\n", "out of memory\n\n"} {
			if part == "id: 8\ndata: 8" && failure[0] != 'H' {
				continue // text that is appended to data can't be told from it
			}
			for _, framing := range framings {
				failing := newUpstream(t, framedAnswer(framing, "200 OK", wholeStream(7)+part+failure))
				g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming}, failing)
				_, body, err := g.do(g.request("/a/x"))
				require.Error(t, err, "%q%q: the stream must break visibly", part, failure)
				assert.Equal(t, wholeStream(7), body)
				g = newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: 2}, failing, newUpstream(t, streamEvents(20, 0)))
				_, body, err = g.do(g.request("/a/x"))
				require.NoError(t, err)
				assert.Equal(t, wholeStream(20), body)
			}
		}
	}
}

// Guards against events without IDs that a caller reads twice: what was passed on of them can't be
// named to the next upstream.
func TestStreamIsNotResumedAfterAnEventWithoutID(t *testing.T) {
	for _, rest := range []string{"data: a\n\n", "id: 1\ndata: 1\n\ndata: a\n\n"} {
		failing, next := newUpstream(t, framedAnswer(bhforward.FramedByChunks, "200 OK", rest+"id")), newUpstream(t, streamEvents(20, 0))
		g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: 2}, failing, next)
		_, body, err := g.do(g.request("/a/x"))
		require.Error(t, err)
		assert.Equal(t, rest, body)
		assert.Zero(t, next.count())
	}
}

// Guards against the answer that follows a stream on its connection, and that a caller reads as the
// rest of its stream.
func TestAnswerBehindAStreamIsNotRelayed(t *testing.T) {
	stream := wholeStream(7)
	for _, answer := range []struct{ head, body string }{
		{fmt.Sprintf("200 OK\r\nContent-Length: %d", len(stream)), stream},
		{"200 OK\r\nTransfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(stream), stream)},
	} {
		u := newUpstream(t, framedAnswer(bhforward.FramedByClose, answer.head, answer.body+errorHead+"\r\n\r\nout of memory\r\n"))
		g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: 2}, u)
		for range 2 {
			_, body, err := g.do(g.request("/a/x"))
			require.NoError(t, err)
			assert.Equal(t, stream, body)
		}
	}
}

// Guards against an upstream that answers a resumption with a failure, or for another one that has
// its address, and goes on to get requests, as its first attempt would have kept them away.
func TestStatusOfAResumptionCountsForItsUpstream(t *testing.T) {
	for _, c := range []struct {
		head            string
		rests, hasMoved bool
	}{
		{head: "500 Internal Server Error", rests: true},
		{head: "503 Service Unavailable", rests: true},
		{head: "503 Service Unavailable\r\nNot-Run: 1"},
		{head: "421 Misdirected Request", hasMoved: true},
		{head: "404 Not Found"},
	} {
		for _, attempt := range []string{"first", "resumption"} {
			next := newUpstream(t, framedAnswer(bhforward.FramedByLength, c.head, ""))
			upstreams := []*fakeUpstream{next}
			if attempt == "resumption" {
				upstreams = []*fakeUpstream{newUpstream(t, streamEvents(20, 7)), next}
			}
			g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Streaming, Resumable: true, MaxAttempts: len(upstreams)}, upstreams...)
			_, _, err := g.do(g.request("/a/x"))
			assert.Equal(t, attempt == "resumption", err != nil, "%q: a stream that has begun breaks visibly: %v", c.head, err)
			require.Equal(t, 1, next.count())
			instances := g.policies.View().Fleet["s"]
			instance := instances[len(instances)-1]
			assert.Equal(t, c.rests, g.gate.config.Balancer.BackingOff(instance.ID), "%s: %q", attempt, c.head)
			usable := g.gate.config.Balancer.Sample(instances[len(instances)-1:], nil, 1)
			assert.Equal(t, c.hasMoved, len(usable) == 0, "%s: %q", attempt, c.head)
		}
	}
}
