package bhsidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhbatch"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// TestStatusThatIsNoneIsNoAnswer guards against an answer that a caller or a batch item gets
// although its status is none.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	raw := &rawUpstream{}
	server := httptest.NewServer(raw)
	defer server.Close()
	engine := batchEngine{upstream: newUpstream(bhconf.Upstream{Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1}, equalWeight), onFirstToken: func() {}}
	defer engine.upstream.close()
	const fields = "\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "099", "+20", "-01", "101", "600", "999", "1000"} {
		for _, idempotent := range []bool{false, true} {
			raw.set("HTTP/1.1 "+status+" OK"+fields+"HTTP/1.1 200 OK"+fields, false)
			response, err := engine.upstream.send(t.Context(), bhwire.Submit{Method: http.MethodPost, Path: "/x", Body: []byte("a"), Idempotent: idempotent})
			if err == nil {
				_ = response.Body.Close()
			}
			require.Error(t, err, status)
			assert.Equal(t, bhcode.RanUnknown, bhcode.From(err).Ran, status)
		}
		raw.set("HTTP/1.1 "+status+" OK"+fields, false)
		_, err := engine.Run(t.Context(), batchItem("week"), bhbatch.ResumePoint{}, discardEmit)
		require.Error(t, err, status)
		assert.False(t, bhcode.Is(err, bhcode.ItemFailed), "the item runs again: %v", err)
	}
	for _, status := range []string{"200", "404", "599"} {
		raw.set("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" OK"+fields, false)
		response, err := engine.upstream.send(t.Context(), bhwire.Submit{Method: http.MethodPost, Path: "/x", Body: []byte("a")})
		require.NoError(t, err, status)
		assert.NoError(t, response.Body.Close())
	}
}
