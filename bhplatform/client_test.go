package bhplatform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhplatform"
)

// Guards against an object of which the platform sent a part and that was taken for
// whole, because its reply ended with its connection.
func TestPartOfAnObjectIsAnError(t *testing.T) {
	for reply, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart":                            true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\n\r\npart":                                                 false,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart":                            false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n":          false,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, reply)
			_ = conn.Close()
		}))
		objects := bhplatform.NewClient(bhplatform.ClientConfig{URL: server.URL}).Platform().Objects
		body, err := objects.Get(t.Context(), "o", 0)
		if err == nil {
			_, err = io.ReadAll(body)
			require.NoError(t, body.Close())
		}
		assert.Equal(t, whole, err == nil, "%q: %v", reply, err)
		server.Close()
	}
}
