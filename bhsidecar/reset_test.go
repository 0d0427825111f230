package bhsidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// TestEarlyAnswerThatIsResetIsBroken guards against a part of an answer that a caller gets as the
// whole: the upstream answers without a length while it is sent the request, and resets the
// connection, which net/http's write may take alone.
func TestEarlyAnswerThatIsResetIsBroken(t *testing.T) {
	raw := &rawUpstream{}
	server := httptest.NewServer(raw)
	defer server.Close()
	upload := make([]byte, 8<<20)
	for name, idempotent := range map[string]bool{"kept connection": true, "one connection each": false} {
		t.Run(name, func(t *testing.T) {
			upstream := newUpstream(bhconf.Upstream{Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1}, equalWeight)
			defer upstream.close()
			for range 50 {
				raw.set("HTTP/1.1 200 OK\r\n\r\nonly a part", true)
				response, err := upstream.send(t.Context(), bhwire.Submit{Method: http.MethodPut, Path: "/x", Body: upload, Idempotent: idempotent})
				if err != nil {
					continue
				}
				body, err := io.ReadAll(response.Body)
				assert.NoError(t, response.Body.Close())
				require.Error(t, err, "%q", body)
			}
			raw.set("HTTP/1.1 413 Content Too Large\r\nContent-Length: 9\r\nConnection: close\r\n\r\ntoo large", false)
			response, err := upstream.send(t.Context(), bhwire.Submit{Method: http.MethodPut, Path: "/x", Body: []byte("small"), Idempotent: idempotent})
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.NoError(t, response.Body.Close())
			assert.Equal(t, "too large", string(body))
		})
	}
}
