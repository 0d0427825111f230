package bhgate

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

// Guards against a chunked body that its client breaks off and that is passed on as if it
// were whole.
func TestBrokenOffBodyIsNotPassedOn(t *testing.T) {
	upstream := newUpstream(t, answerOK)
	g := newTestGate(t, bhpolicy.Route{Kind: bhpolicy.Unsafe}, upstream)
	for _, sent := range []string{"4\r\nhalf\r\n", "8\r\nhalf", ""} {
		conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
		require.NoError(t, err)
		fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\nAuthorization: Key k1\r\nTransfer-Encoding: chunked\r\n\r\n%s", sent)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		_, _ = io.Copy(io.Discard, conn)
		require.NoError(t, conn.Close())
	}
	assert.Zero(t, upstream.count())
}
