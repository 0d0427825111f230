package bhentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhconf"
)

// testDrain is the drain timeout of the daemons of a test cluster.
const testDrain = 3 * time.Second

// hangingService answers no request before its caller leaves. started gets a value for each request.
func hangingService(started chan<- struct{}) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		started <- struct{}{}
		<-r.Context().Done()
	})
}

// answer is what a caller gets for a request.
type answer struct {
	status int
	retry  string
	body   string
	err    error
}

// post sends a request that may not be repeated, and returns a channel that receives its answer.
func (c *testCluster) post(path string) <-chan answer { return c.begin(http.MethodPost, path) }

// begin sends a request and returns a channel that receives its answer.
func (c *testCluster) begin(method, path string) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		answers <- newAnswer(c.send(context.Background(), method, path))
	}()
	return answers
}

// readAnswer returns a channel that receives the answer that comes on the connection.
func readAnswer(conn net.Conn) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		answers <- newAnswer(response, err)
	}()
	return answers
}

// newAnswer reads the rest of the response, unless there is none.
func newAnswer(response *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, retry: response.Header.Get("Retry-After"), body: string(body), err: err}
}

// TestEntryAnswersWhatStillRunsAtTheEndOfItsStop guards against requests that a planned stop of an
// entry cuts off without an answer, although they may not be repeated.
func TestEntryAnswersWhatStillRunsAtTheEndOfItsStop(t *testing.T) {
	started := make(chan struct{}, 8)
	cluster := newTestCluster(t, hangingService(started))
	plain := cluster.post("/svc/x")
	<-started
	keyed := make(chan answer, 1)
	go func() {
		status, body, err := cluster.postWithKey(context.Background(), "k", "body")
		keyed <- answer{status: status, body: body, err: err}
	}()
	<-started
	cluster.stopEntry()
	for _, answers := range []<-chan answer{plain, keyed} {
		got := <-answers
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusBadGateway, got.status, "503 means that it did not run")
		assert.Empty(t, got.retry, "a caller may not send it again unasked")
		assert.Contains(t, got.body, `"code":2008`)
		assert.Contains(t, got.body, `"ran":"unknown"`)
	}
}

// TestEntryRefusesRequestsThatComeLateInItsStop guards against requests that a stopping entry passes
// on although too little time is left for them.
func TestEntryRefusesRequestsThatComeLateInItsStop(t *testing.T) {
	var ran atomic.Int32
	cluster := newTestCluster(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	var conns [2]net.Conn
	for i := range conns {
		conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
		require.NoError(t, err)
		defer conn.Close()
		fmt.Fprint(conn, "POST /svc/x HTTP/1.1\r\nHost: x\r\n") // the entry waits for the rest
		conns[i] = conn
	}
	require.Eventually(t, func() bool {
		status, _, err := cluster.fetch(http.MethodGet, "/svc/x")
		return err == nil && status == 200
	}, eventuallyTimeout, pollInterval)
	before := ran.Load()
	cluster.stopEntry()
	finish := func(conn net.Conn) (*http.Response, string) {
		fmt.Fprintf(conn, "Authorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", testAPIKey)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response, string(body)
	}
	time.Sleep(testDrain / 5)
	response, body := finish(conns[0])
	assert.Equal(t, http.StatusOK, response.StatusCode, body)
	time.Sleep(testDrain * 4 / 10)
	response, body = finish(conns[1])
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Equal(t, "1", response.Header.Get("Retry-After"))
	assert.Contains(t, body, `"ran":"no"`)
	assert.Equal(t, before+1, ran.Load(), "the late request was passed on")
}

// TestSidecarAnswersWhatItCannotFinishInItsStop guards against requests that the end of a sidecar's
// stop cuts off: callers were told of a lost upstream, also if their request had waited for a slot
// and didn't run.
func TestSidecarAnswersWhatItCannotFinishInItsStop(t *testing.T) {
	started := make(chan struct{}, 8)
	cluster := newChangedCluster(t, func(config *bhconf.Config) { config.Upstreams[0].Slots = 1 }, hangingService(started))
	running := cluster.post("/svc/running")
	<-started
	waiting := cluster.post("/svc/waiting")
	require.Never(t, func() bool { return len(started) > 0 }, testDrain/5, pollInterval)
	cluster.stopSidecars[0]()
	for _, c := range []struct {
		answers <-chan answer
		status  int
		ran     string
		retry   string
	}{{waiting, http.StatusServiceUnavailable, "no", "1"}, {running, http.StatusBadGateway, "unknown", ""}} {
		got := <-c.answers
		require.NoError(t, got.err)
		assert.Equal(t, c.status, got.status, got.body)
		assert.Contains(t, got.body, `"code":2008`)
		assert.Contains(t, got.body, `"ran":"`+c.ran+`"`)
		assert.Equal(t, c.retry, got.retry)
	}
	assert.Empty(t, started, "the waiting request was not sent")
}

// TestRequestThatWaitsAtAStoppingSidecarRunsElsewhere guards against the same while another host
// could serve the request.
func TestRequestThatWaitsAtAStoppingSidecarRunsElsewhere(t *testing.T) {
	started := make(chan struct{}, 8)
	free := make(chan struct{})
	cluster := newChangedCluster(t, func(config *bhconf.Config) {
		for i := range config.Upstreams {
			config.Upstreams[i].Slots = 1
		}
	}, hangingService(started), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		started <- struct{}{}
		<-free
	}))
	for range 2 { // one at each
		cluster.post("/svc/running")
		<-started
	}
	var waiting []<-chan answer
	for range 4 {
		waiting = append(waiting, cluster.post("/svc/waiting"))
	}
	require.Never(t, func() bool { return len(started) > 0 }, testDrain/5, pollInterval)
	cluster.stopSidecars[0]()
	time.Sleep(testDrain * 7 / 10)
	close(free)
	for _, answers := range waiting {
		got := <-answers
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status, got.body)
	}
}

// TestRequestThatWaitsForItsTrialIsToldOfTheStop guards against requests that wait for a trial of
// their content at the end of an entry's stop, and were told that their own deadline had passed.
func TestRequestThatWaitsForItsTrialIsToldOfTheStop(t *testing.T) {
	started := make(chan struct{}, 8)
	hanging := hangingService(started)
	var crashes atomic.Int32
	service := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if crashes.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		hanging.ServeHTTP(w, r)
	})
	cluster := newTestCluster(t, service, service)
	trial := cluster.begin(http.MethodGet, "/svc/suspect")
	<-started
	waiting := cluster.begin(http.MethodGet, "/svc/suspect")
	require.Never(t, func() bool { return len(started) > 0 }, testDrain/5, pollInterval)
	cluster.stopEntry()
	got := <-waiting
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	assert.Equal(t, "1", got.retry)
	assert.Contains(t, got.body, `"code":2008`)
	assert.Contains(t, got.body, `"ran":"no"`)
	require.NoError(t, (<-trial).err)
	assert.Empty(t, started, "the waiting request was not sent")
}

// TestEntryAnswersRequestsWhoseBodyIsStillArriving guards against requests that the end of an entry's
// stop cuts off without an answer while their body arrives.
func TestEntryAnswersRequestsWhoseBodyIsStillArriving(t *testing.T) {
	var ran atomic.Int32
	cluster := newTestCluster(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	const half = "--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\nhalf"
	answers := make(map[string]<-chan answer)
	for _, path := range []string{"/svc/x", "/v1/chat/completions", "/v1/batches", "/v1/files"} {
		for _, framing := range []string{"Content-Length: 1000\r\n\r\n" + half, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half)} {
			conn, err := net.Dial("tcp", strings.TrimPrefix(cluster.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: multipart/form-data; boundary=b\r\nAuthorization: Bearer %s\r\n%s", path, testAPIKey, framing)
			answers[path+framing] = readAnswer(conn)
		}
	}
	time.Sleep(testDrain / 10)
	cluster.stopEntry()
	for request, answers := range answers {
		got := <-answers
		require.NoError(t, got.err, request)
		assert.Equal(t, http.StatusServiceUnavailable, got.status, request)
		assert.Equal(t, "1", got.retry, request)
		assert.Contains(t, got.body, `"code":2008`)
		assert.Contains(t, got.body, `"ran":"no"`)
	}
	assert.Zero(t, ran.Load())
}
