package soak

import (
	"fmt"
	"math/rand/v2"
	"mime"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhforward"
)

// unwillingShare is the share of the streams that an unwilling engine doesn't go on with.
const unwillingShare = 0.6

// refusal is an answer in place of a stream that goes on.
type refusal struct {
	status  int
	kind    string
	body    string
	framing bhforward.Framing
}

// errorBodies are bodies without an event. The third one is a whole answer of an engine behind
// the engine, and has an end like that of an event.
var errorBodies = []string{
	"", `{"error":"the run is lost"}`, "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/html\r\n\r\n", "{\"error\":\"the run is lost\"}\n\n", "no such run\n",
}

// drawRefusal returns an error, or a success with what is no stream. An empty stream with a marked
// end is none of them: the one that broke off may have had all events.
func drawRefusal() refusal {
	statuses := []int{http.StatusNoContent, http.StatusBadRequest, http.StatusNotFound, http.StatusGone, http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable}
	drawn := refusal{
		status:  http.StatusOK,
		kind:    []string{"application/json", "text/html; charset=utf-8", "text/plain", "text/event-stream"}[rand.IntN(4)],
		body:    errorBodies[rand.IntN(len(errorBodies))],
		framing: []bhforward.Framing{bhforward.FramedByLength, bhforward.FramedByChunks, bhforward.FramedByClose}[rand.IntN(3)],
	}
	if rand.IntN(3) == 0 {
		drawn.status, drawn.framing = statuses[rand.IntN(len(statuses))], bhforward.FramedByLength
	}
	if isStreamType(drawn.kind) && drawn.body == "" && drawn.framing != bhforward.FramedByClose {
		drawn.body = errorBodies[1]
	}
	return drawn
}

// isStreamType reports whether an answer of the declared type may be a stream.
func isStreamType(kind string) bool {
	kind, _, _ = mime.ParseMediaType(kind)
	return slices.Contains([]string{"", "text/event-stream", "text/plain"}, kind)
}

// unwillingTo reports whether the engine doesn't go on with the stream that the request takes
// up.
func (e *engine) unwillingTo(r *http.Request) bool {
	return r.Header.Get("Last-Event-Id") != "" && e.draws(func(e *engine) float64 { return e.unwilling })
}

// breaksResumable reports whether the engine breaks off the stream, so that it is taken up.
func (e *engine) breaksResumable(r *http.Request) bool {
	return !strings.HasPrefix(r.URL.Path, "/stream/") && e.draws(func(e *engine) float64 { return e.unwilling / 2 })
}

// refuseTakeUp answers with an error instead of the rest of a stream.
func (e *engine) refuseTakeUp(w http.ResponseWriter, r *http.Request) {
	byClient, item, id := r.Header.Get("Resumes") != "", strings.HasPrefix(r.URL.Path, "/jobs/"), r.Header.Get("X-Request-Id")
	drawn := drawRefusal()
	e.record.spoiled(id, fmt.Sprintf("%s answered %+v after event %s", e.id, drawn, r.Header.Get("Last-Event-Id")))
	e.record.count(func(c *counts) {
		switch {
		case byClient:
			c.errorsToClients++
		case item:
			c.errorsToRunners++
		default:
			c.errorsToGateways++
		}
	})
	w.Header().Set("Content-Type", drawn.kind)
	switch drawn.framing {
	case bhforward.FramedByClose:
		write, end := unframed(w)
		defer end()
		_ = write(drawn.body)
	case bhforward.FramedByChunks:
		_ = flushed(w)(drawn.body)
	default:
		if item && drawn.status == http.StatusInternalServerError {
			e.record.failed(id)
		}
		w.WriteHeader(drawn.status)
		_, _ = fmt.Fprint(w, drawn.body)
	}
}

// TestErrorsInsideStreamsAreSeen checks that the soak would see a refusal that became a part or
// the end of a stream.
func TestErrorsInsideStreamsAreSeen(t *testing.T) {
	const got = 3
	var stream strings.Builder
	for i := range got {
		stream.WriteString(event("r", i+1, "v1"))
	}
	for _, body := range errorBodies {
		for _, whole := range []bool{true, false} {
			r := newRecorder()
			c := &client{world: &world{record: r}}
			c.checkSuccess("r", "/resume/x", http.Header{"X-Response-Signature": {signature("r")}}, stream.String()+body, whole)
			want := 1
			if body == "" && !whole {
				want = 0 // a break that the client sees
			}
			assert.Len(t, r.faults, want, "%q whole %t", body, whole)
		}
	}
}
