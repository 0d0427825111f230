package bhforward

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// TestStatusThatIsNoneIsNoAnswer guards against an answer that is passed on although its status is
// none, and against one that is taken from what follows such a head.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	upstream := newFakeUpstream(t, func(conn net.Conn, _ *http.Request, head string, _ int) bool {
		const fields = "\r\nX-Request-Id: r\r\nContent-Length: 2\r\n\r\n"
		writeText(conn, "HTTP/1.1 "+head+fields+"HTTP/1.1 200 OK"+fields+"ok")
		return false
	})
	pool := NewPool()
	defer pool.Close()
	exchange := func(head string) (*Answer, error) {
		request := newTestRequest("r")
		request.Body = []byte(head)
		return pool.Exchange(t.Context(), upstream.address(), request)
	}
	for _, status := range []string{
		"000", "001", "020", "099", "+20", "-20", "-01", "20", "2", "0200", "1000", "600", "601", "666", "999", "0x2", " 20", "2e2",
		"101", // no request asks for another protocol
	} {
		for _, reason := range []string{" OK", ""} {
			answer, err := exchange(status + reason)
			if err == nil {
				_ = answer.Close()
			}
			require.Error(t, err, "%q", status+reason)
			assert.Equal(t, bhcode.RanUnknown, bhcode.From(err).Ran, "%q", status)
		}
	}
	for status, want := range map[string]int{"100": 200, "102": 200, "103": 200, "199": 200, "200": 200, "204": 204, "299": 299, "304": 304, "422": 422, "499": 499, "500": 500, "599": 599} {
		answer, err := exchange(status + " Reason")
		require.NoError(t, err, "%q", status)
		assert.Equal(t, want, answer.Status)
		_ = answer.Close()
	}
}
