package bhsidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhcode"
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

// TestSidecarKeepsToTheLimitOfAnUpstream guards against live requests and items that together
// exceed the limit that an upstream names, and against a limit that outlives its answers.
func TestSidecarKeepsToTheLimitOfAnUpstream(t *testing.T) {
	var calls atomic.Int64
	var limit atomic.Value
	limit.Store("2")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if value := limit.Load().(string); value != "" {
			w.Header().Set(limitHeader, value)
		}
	}))
	defer server.Close()
	upstream := newUpstream(bhconf.Upstream{Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1}, nil)
	defer upstream.close()
	began := time.Now()
	send := func() error {
		response, err := upstream.send(t.Context(), bhwire.Submit{Method: http.MethodPost, Path: "/", Idempotent: true})
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	refused := 0
	for range 100 {
		if err := send(); err != nil {
			refused++
			require.True(t, bhcode.Is(err, bhcode.Overloaded), "%v", err)
			require.Positive(t, bhcode.From(err).RetryAfter)
			require.Equal(t, bhcode.RanNo, bhcode.From(err).Ran)
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Positive(t, refused)
	require.LessOrEqual(t, float64(calls.Load()), 2*time.Since(began).Seconds()*1.5+5)
	limit.Store("")
	require.Eventually(t, func() bool { return send() == nil }, 2*time.Second, 50*time.Millisecond)
	for range 10 {
		require.NoError(t, send(), "the limit has ended")
	}
}

// lateBody is an empty body whose end comes late, as on a busy machine.
type lateBody struct{}

// Read implements io.Reader.
func (lateBody) Read([]byte) (int, error) {
	time.Sleep(300 * time.Millisecond)
	return 0, io.EOF
}

// Guards against a request without a body that is sent in chunks while the machine is busy: a service
// that answers and closes without reading them resets its answer.
func TestRequestWithoutBodyIsNotSentInChunks(t *testing.T) {
	heads := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { heads <- r }))
	defer server.Close()
	u := newUpstream(bhconf.Upstream{Name: "u", Address: server.Listener.Addr().String(), Slots: 1}, func(string) float64 { return 1 })
	defer u.close()
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions} {
		request, err := u.newRequest(t.Context(), bhwire.Submit{Method: method, Path: "/x", Idempotent: true})
		require.NoError(t, err)
		request.Body = io.NopCloser(lateBody{})
		response, err := u.keepAlive.RoundTrip(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		got := <-heads
		assert.Empty(t, got.TransferEncoding, method)
		assert.Zero(t, got.ContentLength, method)
	}
}
