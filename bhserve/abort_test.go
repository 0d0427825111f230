package bhserve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an answer that was aborted and that a caller of HTTP/1.0, to whom
// it ends with its connection, took for complete.
func TestAbortedAnswerIsVisiblyBroken(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/broken" {
			Abort(w, r)
		}
	}))
	defer server.Close()
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for path, whole := range map[string]bool{"/whole": true, "/broken": false} {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			fmt.Fprintf(conn, "GET %s %s\r\nHost: x\r\nConnection: close\r\n\r\n", path, protocol)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				var body []byte
				body, err = io.ReadAll(response.Body)
				assert.True(t, strings.HasPrefix("half", string(body)))
			}
			assert.Equal(t, whole, err == nil, "%s %s: %v", protocol, path, err)
			require.NoError(t, conn.Close())
		}
	}
}
