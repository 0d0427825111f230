package bhjob

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhstand"
)

// writeFramed answers with the body, complete in the framing, and closes the
// connection in an orderly way.
func writeFramed(w http.ResponseWriter, r *http.Request, framing bhforward.Framing, body string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", dialect.RequestID, r.Header.Get(dialect.RequestID))
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
					writeFramed(w, r, framing, "id: 1\ndata: j-0-1\n\nid: 2\ndata: j-0-2\n\nid: 3\ndata: j-")
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
