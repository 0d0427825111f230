package bhsidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// A request whose connection the upstream breaks is sent only once, even on a
// reused connection, where http.Transport resends replayable requests by
// itself.
func TestBrokenConnectionRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, header := range []http.Header{nil, {"Idempotency-Key": {"k"}}} {
			var brokenCalls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/broken" {
					brokenCalls.Add(1)
					panic(http.ErrAbortHandler)
				}
				require.Empty(t, r.TransferEncoding, "an empty body is sent as none")
			}))
			upstream := newUpstream(bhconf.Upstream{Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1}, nil)
			submit := bhwire.Submit{Method: method, Path: "/", Header: header, Idempotent: true}
			for range 2 {
				response, err := upstream.send(t.Context(), submit)
				require.NoError(t, err, method)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			}
			submit.Path = "/broken"
			_, err := upstream.send(t.Context(), submit)
			require.Error(t, err)
			require.EqualValues(t, 1, brokenCalls.Load(), "%s with %v", method, header)
			upstream.close()
			server.Close()
		}
	}
}
