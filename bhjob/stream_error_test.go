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

// errorAnswers are answers of engines, by their header lines and their body, that are no output.
var errorAnswers = []struct{ head, body string }{
	{"Content-Type: application/json", ""},
	{"Content-Type: application/json", `{"error": "out of memory"}` + "\n\n"},
	{"Content-Type: text/html", "id: 1\ndata: <h1>out of memory</h1>\n\n"},
	{"Content-Type: text/event-stream\r\nContent-Encoding: gzip", ""},
	{"Content-Type: text/plain", "out of memory\n\n"},
	{"Content-Type: text/event-stream", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"},
}

// Guards against an item that was listed as completed with an error as its output, as a part of
// it, or with an output that isn't whole.
func TestErrorIsNotTakenForAnItemsOutput(t *testing.T) {
	for _, answer := range errorAnswers {
		for begun := range 2 {
			t.Run(fmt.Sprintf("%q/%d events before", answer, begun), func(t *testing.T) {
				store := bhstand.NewStore(bhstand.StoreConfig{})
				r := newRunnerFixture(t, store, "a")
				fails := func(w http.ResponseWriter, r *http.Request) {
					writeFramed(w, r, bhforward.FramedByLength, answer.head+"\r\n", answer.body)
				}
				r.engine.set(func(e *fakeEngine) {
					e.next = fails
					if begun > 0 {
						e.next = func(w http.ResponseWriter, r *http.Request) {
							writeFramed(w, r, bhforward.FramedByLength, "", "id: 1\ndata: j-0-1\n\nid: 2")
							e.set(func(e *fakeEngine) { e.next = fails })
						}
					}
				})
				submission := sampleJob("j", 1)
				submission.Attempts = 1
				require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
				results := r.waitResults("j", 1)
				assert.Equal(t, Completed, results[0].Status, "an interruption is no failure")
				assert.Equal(t, expectedOutput("j-0", 5), results[0].Text)
				assert.Len(t, r.engine.requestHeaders(), 2+begun)
			})
		}
	}
}

// An output may be empty for a good reason: of an item, or of what its run had left to send.
func TestItemWithoutOutputIsCompleted(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.engine.set(func(e *fakeEngine) { e.eventCount = 0 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("empty", 1)))
	assert.Equal(t, Result{ID: "empty-0", Status: Completed}, r.waitResults("empty", 1)[0])
	r.engine.set(func(e *fakeEngine) { e.eventCount, e.abortAfter = 3, 3 })
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("left", 1)))
	assert.Equal(t, Result{ID: "left-0", Status: Completed, Text: expectedOutput("left-0", 3)}, r.waitResults("left", 1)[0])
}

// Guards against events without IDs that stand twice in an item's output: they came before a break,
// and again when the item was resumed.
func TestEventsWithoutIDsAreNotRepeatedInAnOutput(t *testing.T) {
	for name, begin := range map[string]string{"none has one": "data: a\n\ndata: b\n\n", "the last has none": "id: 1\ndata: j-0-1\n\ndata: b\n\n"} {
		t.Run(name, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			r.engine.set(func(e *fakeEngine) {
				e.next = func(w http.ResponseWriter, r *http.Request) {
					writeFramed(w, r, bhforward.FramedByLength, "", begin+"id")
				}
			})
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
			assert.Equal(t, Result{ID: "j-0", Status: Completed, Text: expectedOutput("j-0", 5)}, r.waitResults("j", 1)[0])
			assert.Empty(t, r.engine.requestHeaders()[1].Get(dialect.LastEvent), "begun anew")
		})
	}
}

// Guards against comments that stand as empty lines in an item's output.
func TestCommentsAreNoPartOfAnOutput(t *testing.T) {
	store := bhstand.NewStore(bhstand.StoreConfig{})
	r := newRunnerFixture(t, store, "a")
	r.engine.set(func(e *fakeEngine) {
		e.next = func(w http.ResponseWriter, r *http.Request) {
			writeFramed(w, r, bhforward.FramedByLength, "", ": busy\n\nid: 1\ndata: a\n\n: still there\n\nid: 2\ndata: b\n\ndata: c\n\n")
		}
	})
	require.NoError(t, newTestJobStore(store).Submit(t.Context(), sampleJob("j", 1)))
	assert.Equal(t, "a\nb\nc", r.waitResults("j", 1)[0].Text)
}
