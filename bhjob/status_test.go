package bhjob

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhstand"
)

// TestItemRunsAgainAfterAStatusThatIsNone guards against an item that ends as failed, or takes what
// follows for its output, because an engine's answer has no status.
func TestItemRunsAgainAfterAStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			store := bhstand.NewStore(bhstand.StoreConfig{})
			r := newRunnerFixture(t, store, "a")
			r.engine.set(func(e *fakeEngine) {
				e.next = func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						panic(err)
					}
					defer conn.Close()
					fields := dialect.RequestID + ": " + r.Header.Get(dialect.RequestID) + "\r\nContent-Length: 17\r\n\r\n"
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" OK\r\n"+fields+"HTTP/1.1 200 OK\r\n"+fields+"id: 1\ndata: not\n\n")
				}
			})
			submission := sampleJob("j", 1)
			submission.Attempts = 1
			require.NoError(t, newTestJobStore(store).Submit(t.Context(), submission))
			assert.Equal(t, []Result{{ID: "j-0", Status: Completed, Text: expectedOutput("j-0", 5)}}, r.waitResults("j", 1))
		})
	}
}
