package bhjob

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// writeFramed answers with the header lines and the body, complete in the framing, and closes the
// connection in an orderly way.
func writeFramed(w http.ResponseWriter, r *http.Request, framing bhforward.Framing, lines, body string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: %s\r\n", lines, dialect.RequestID, r.Header.Get(dialect.RequestID))
	switch framing {
	case bhforward.FramedByLength:
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case bhforward.FramedByChunks:
		fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	case bhforward.FramedByClose:
		fmt.Fprintf(conn, "%s\r\n%s", head, body)
	}
}

// Guards against an item whose output broke off inside an event and was listed as
// completed, with a part of that event.
func TestItemOutputThatEndsInsideEventIsResumed(t *testing.T) {
	for _, framing := range []bhforward.Framing{bhforward.FramedByLength, bhforward.FramedByChunks, bhforward.FramedByClose} {
		t.Run(string(framing), func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			r.engine.set(func(e *fakeEngine) {
				e.next = func(w http.ResponseWriter, r *http.Request) {
					writeFramed(w, r, framing, "", "id: 1\ndata: j-0-1\n\nid: 2\ndata: j-0-2\n\nid: 3\ndata: j-")
				}
			})
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
			results := r.waitResults("j", 1)
			assert.Equal(t, Completed, results[0].Status)
			assert.Equal(t, expectedOutput("j-0", 5), results[0].Text)
			requests := r.engine.requestHeaders()
			require.Len(t, requests, 2)
			assert.Equal(t, "2", requests[1].Get(dialect.LastEvent))
		})
	}
}

// Guards against an engine whose bytes never end and that fills the memory or keeps
// the item for ever.
func TestItemIsRunAgainAfterEndlessOutput(t *testing.T) {
	for name, block := range map[string]string{
		"events":               strings.Repeat("data: "+strings.Repeat("more ", 200)+"\n\n", 100),
		"bytes without events": strings.Repeat("garbage ", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			const enough = 64 << 20
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			written := make(chan int, 1)
			r.engine.set(func(e *fakeEngine) {
				e.next = func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(dialect.RequestID, r.Header.Get(dialect.RequestID))
					bytes := 0
					for bytes < enough {
						n, err := io.WriteString(w, block)
						if bytes += n; err != nil {
							break
						}
					}
					written <- bytes
				}
			})
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
			results := r.waitResults("j", 1)
			assert.Equal(t, Completed, results[0].Status)
			assert.Equal(t, expectedOutput("j-0", 5), results[0].Text)
			assert.Less(t, <-written, enough, "the connection was closed")
		})
	}
}

// TestEventIDThatCannotBeSentEndsNoItem guards against an item that is given up without an answer
// that allows it: its stream broke off, and the ID of the last event can't stand in the request
// that resumes it.
func TestEventIDThatCannotBeSentEndsNoItem(t *testing.T) {
	for _, id := range []string{"1\x01", "1 ", "\x7f", strings.Repeat("1\t", 2)} {
		t.Run(fmt.Sprintf("%q", id), func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			r.engine.set(func(e *fakeEngine) {
				e.next = func(w http.ResponseWriter, r *http.Request) {
					writeFramed(w, r, bhforward.FramedByClose, "", "id: "+id+"\ndata: j-0-1\n\nid: 3\ndata: j-")
				}
			})
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
			results := r.waitResults("j", 1)
			assert.Equal(t, Completed, results[0].Status)
			assert.Equal(t, expectedOutput("j-0", 5), results[0].Text)
		})
	}
}
