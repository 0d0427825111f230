package bhjob

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// writeRaw writes the answer as it is and ends the connection.
func writeRaw(w http.ResponseWriter, answer string, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, answer)
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// framedAnswer returns the head of an answer to the item and its body in the framing, with a
// trailer if it is chunked.
func framedAnswer(framing bhforward.Framing, item, body string) (head, framed string) {
	head = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", dialect.RequestID, item)
	switch framing {
	case bhforward.FramedByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)), body
	case bhforward.FramedByChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x;e=1\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(body), body)
	}
	return head + "\r\n", body
}

// TestItemWhoseAnswerIsCutAtAnyByteIsInterrupted guards against an engine that stops in the
// middle of a head, a chunk-size line or a trailer, and whose item ends as completed with an
// empty or short output, as failed or as dead.
func TestItemWhoseAnswerIsCutAtAnyByteIsInterrupted(t *testing.T) {
	const events = "id: 1\ndata: a\n\n"
	r := newRunnerFixture(t, bhstand.NewStore(bhstand.StoreConfig{}), "a")
	r.engine.set(func(e *fakeEngine) { e.eventCount, e.eventInterval = 1, 0 })
	instance, ok := r.runner.engineInstance()
	require.True(t, ok)
	send := func(item string) (*itemRun, error) {
		run := &itemRun{runner: r.runner, job: &Job{Account: "zoo", Host: "one.example"}, item: Item{ID: item, Target: "/drafts/x"}}
		return run, run.send(t.Context(), instance, func() {})
	}
	for name, before := range map[string]string{"fresh": "", "reused": "", "after an interim head": "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		for _, framing := range []bhforward.Framing{bhforward.FramedByLength, bhforward.FramedByChunks, bhforward.FramedByClose} {
			head, body := framedAnswer(framing, "i", events)
			whole, last := before+head+body, len(before+head+body)
			if framing == bhforward.FramedByClose {
				last = len(before + head + events[:len(events)-1]) // an orderly close is the end of such a body
			}
			for cut := range last {
				for _, reset := range []bool{false, true} {
					if name == "reused" {
						_, err := send("first")
						require.NoError(t, err)
					}
					r.engine.set(func(e *fakeEngine) {
						e.next = func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, whole[:cut], reset) }
					})
					run, err := send("i")
					require.Error(t, err, "%s: %q was taken for whole, output %q", name, whole[:cut], run.output())
					code := bhcode.From(err).Code
					require.True(t, code == bhcode.UpstreamLost || code == bhcode.AnswerIncomplete, "%s: %q: %v", name, whole[:cut], err)
				}
			}
		}
	}
}

// TestItemWhoseAnswerIsCutInItsHeadRunsAgain guards against the same in the whole run of an item.
func TestItemWhoseAnswerIsCutInItsHeadRunsAgain(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	head, _ := framedAnswer(bhforward.FramedByLength, "j-0", "")
	r.engine.set(func(e *fakeEngine) {
		e.next = func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, head[:len(head)-4], false) }
	})
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
	results := r.waitResults("j", 1)
	assert.Equal(t, Completed, results[0].Status)
	assert.Equal(t, expectedOutput("j-0", 5), results[0].Text)
	assert.Len(t, r.engine.requestHeaders(), 2)
}
