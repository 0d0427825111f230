package bhentry_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestHeadersReachTheOtherSideByteForByte guards against a value that isn't UTF-8, with which one
// caller broke the session of all others, or of which the caller got no answer or another one.
func TestHeadersReachTheOtherSideByteForByte(t *testing.T) {
	const value = "caf\xe9"
	held, release := make(chan struct{}, 1), make(chan struct{})
	cluster := newTestCluster(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/svc/held" {
			held <- struct{}{}
			<-release
			return
		}
		w.Header().Set("X-Got", r.Header.Get("X-Note"))
	}))
	other := make(chan int, 1)
	go func() {
		status, _, err := cluster.fetch(http.MethodPost, "/svc/held")
		if err != nil {
			status = 0
		}
		other <- status
	}()
	<-held
	send := func(method, key string) *http.Response {
		request, err := http.NewRequestWithContext(t.Context(), method, cluster.url+"/svc/x", http.NoBody)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+testAPIKey)
		request.Header.Set("X-Note", value)
		if key != "" {
			request.Header.Set("Idempotency-Key", key)
		}
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response
	}
	for _, attempt := range []struct{ method, key string }{{http.MethodGet, ""}, {http.MethodPost, "k"}, {http.MethodPost, "k"}} {
		response := send(attempt.method, attempt.key)
		assert.Equal(t, http.StatusOK, response.StatusCode, attempt)
		assert.Equal(t, value, response.Header.Get("X-Got"), attempt)
	}
	close(release)
	assert.Equal(t, http.StatusOK, <-other, "the request beside it")
}
