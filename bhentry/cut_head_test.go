package bhentry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rawService answers with the text in the query as it is, and ends the connection in an orderly
// way or, with the query reset, at once. Without a text it answers with 200.
func rawService(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if !query.Has("answer") {
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, query.Get("answer"))
	if query.Has("reset") {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// fetchOnce is fetch on a connection of its own: the client sends a GET again if a reused
// connection breaks before the answer.
func (c *testCluster) fetchOnce(method, path string) (int, string, error) {
	request, err := http.NewRequestWithContext(c.t.Context(), method, c.url+path, nil)
	require.NoError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+testAPIKey)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

const (
	// cutAnswerTries bounds how often a request is sent again that the service didn't get.
	cutAnswerTries = 50
	// cutAnswerWait is the time before it is sent again.
	cutAnswerWait = 200 * time.Millisecond
)

// TestCallersGetNoAnswerThatWasCutInItsHead guards against a service that stops in the middle of
// a head, a chunk-size line or a trailer, and whose caller gets a success that is empty or short.
func TestCallersGetNoAnswerThatWasCutInItsHead(t *testing.T) {
	var asked atomic.Int64
	cluster := newTestCluster(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		rawService(w, r)
	}))
	// fetch sends the request until the service has got it. Only one that is answered as not run
	// may have missed it: on a busy machine it takes too long to connect.
	fetch := func(method, path string) (int, string, error) {
		earlier := asked.Load()
		for range cutAnswerTries {
			status, answer, err := cluster.fetchOnce(method, path)
			if status != http.StatusServiceUnavailable {
				require.Equal(t, earlier+1, asked.Load(), "the service got the request once: %d %s %v", status, answer, err)
				return status, answer, err
			}
			require.NoError(t, err)
			require.Contains(t, answer, `"ran":"no"`)
			require.Equal(t, earlier, asked.Load(), "the service got a request that is answered as not run")
			time.Sleep(cutAnswerWait)
		}
		require.Fail(t, "the service didn't get the request", "%d times, %s %s", cutAnswerTries, method, path)
		return 0, "", nil
	}
	const body = "eleven byte"
	for framing, fields := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)),
		"chunks": "Transfer-Encoding: chunked\r\n\r\n",
		"close":  "\r\n",
	} {
		for _, end := range []string{"", "&reset"} {
			head, framed := "HTTP/1.1 200 OK\r\n"+fields, body
			if framing == "chunks" {
				framed = fmt.Sprintf("%x;e=1\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(body), body)
			}
			whole, last := head+framed, len(head+framed)
			if framing == "close" && end == "" {
				last = len(head) // an orderly close is the end of such a body
			}
			for cut := range last {
				// A whole answer in between keeps the circuit breaker closed and the connection open.
				status, answer, err := fetch(http.MethodGet, "/svc/x")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status, "%s%s, before a cut at %d: %s", framing, end, cut, answer)
				method := []string{http.MethodGet, http.MethodPost}[cut%2]
				// Each request has a URL of its own: content that has ended the service before is quarantined.
				status, got, err := fetch(method, "/svc/x?framing="+framing+"&answer="+url.QueryEscape(whole[:cut])+end)
				require.True(t, err != nil || status >= 400, "%s: %q reached a caller as %d %q", framing, whole[:cut], status, got)
			}
			if end == "" {
				closing := strings.Replace(whole, "\r\n", "\r\nConnection: close\r\n", 1)
				status, got, err := fetch(http.MethodGet, "/svc/x?answer="+url.QueryEscape(closing))
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, body, got)
			}
		}
	}
}
