package bhentry_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// uploadBytes is the largest body that an entry takes.
const uploadBytes = 4 << 20

// TestEarlyAnswerThatIsResetReachesNoCallerAsWhole guards against a part of an answer that a caller
// gets as the whole: the service answers without a length while it is sent a long upload, and resets
// the connection.
func TestEarlyAnswerThatIsResetReachesNoCallerAsWhole(t *testing.T) {
	cluster := newTestCluster(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nonly a part")
		_ = conn.(*net.TCPConn).SetLinger(0)
	}))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	reached := 0
	for try := range 100 {
		// A whole answer in between keeps the circuit breaker closed.
		status, _, err := cluster.fetch(http.MethodGet, "/svc/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		// Each request has a URL of its own: content that has ended the service before is quarantined.
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprint(cluster.url, "/svc/x?try=", try), bytes.NewReader(make([]byte, uploadBytes)))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+testAPIKey)
		response, err := client.Do(request)
		if err != nil {
			reached++
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			reached++
		}
		require.True(t, err != nil || response.StatusCode >= http.StatusInternalServerError, "%d %.40q was taken for a whole answer", response.StatusCode, body)
	}
	assert.Positive(t, reached, "the service was asked")
}
