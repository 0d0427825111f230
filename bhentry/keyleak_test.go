package bhentry_test

import (
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recordingUpstream is an upstream that records all requests it receives.
type recordingUpstream struct {
	mutex sync.Mutex
	seen  strings.Builder
	count int
}

func (u *recordingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dump, err := httputil.DumpRequest(r, true)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.seen.Write(dump)
	u.count++
	w.WriteHeader(http.StatusOK)
}

// An API key in any part of a request must not leak to an upstream, into the
// response or into the metrics.
func TestAPIKeyReachesNoUpstreamResponseOrMetric(t *testing.T) {
	upstream := &recordingUpstream{}
	cluster := newTestCluster(t, upstream)
	escaped := url.QueryEscape(testAPIKey[:1]) + "%" + hexByte(testAPIKey[1]) + testAPIKey[2:]
	placements := map[string]func(*http.Request){
		"none":            func(*http.Request) {},
		"api key header":  func(r *http.Request) { r.Header.Set("X-Api-Key", testAPIKey) },
		"cookie":          func(r *http.Request) { r.AddCookie(&http.Cookie{Name: "k", Value: testAPIKey}) },
		"own header":      func(r *http.Request) { r.Header.Set("X-Anything", "a "+testAPIKey+" b") },
		"second value":    func(r *http.Request) { r.Header.Add("X-Anything", "a"); r.Header.Add("X-Anything", testAPIKey) },
		"proxy header":    func(r *http.Request) { r.Header.Set("Proxy-Authorization", "Bearer "+testAPIKey) },
		"second bearer":   func(r *http.Request) { r.Header.Add("Authorization", "Bearer "+testAPIKey) },
		"query":           func(r *http.Request) { r.URL.RawQuery = "a=1&key=" + testAPIKey },
		"query name":      func(r *http.Request) { r.URL.RawQuery = testAPIKey + "=1" },
		"escaped query":   func(r *http.Request) { r.URL.RawQuery = "key=" + escaped },
		"path":            func(r *http.Request) { r.URL.Path += "/" + testAPIKey },
		"body":            func(r *http.Request) { setBody(r, "my key is "+testAPIKey) },
		"idempotency key": func(r *http.Request) { r.Header.Set("Idempotency-Key", testAPIKey) },
		"request id":      func(r *http.Request) { r.Header.Set("X-Request-Id", testAPIKey) },
		"connection header": func(r *http.Request) {
			r.Header.Set("Connection", "X-Anything")
			r.Header.Set("X-Anything", testAPIKey)
		},
	}
	for name, addKey := range placements {
		request, err := http.NewRequest(http.MethodPost, cluster.url+"/svc/deposit", strings.NewReader("x"))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+testAPIKey)
		addKey(request)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err, name)
		dump, err := httputil.DumpResponse(response, true)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.NotContains(t, string(dump), testAPIKey, name)
		upstream.mutex.Lock()
		assert.NotContains(t, upstream.seen.String(), testAPIKey, name)
		assert.NotContains(t, upstream.seen.String(), escaped, name)
		upstream.seen.Reset()
		upstream.mutex.Unlock()
	}
	assert.Positive(t, upstream.count)
	assert.NotContains(t, cluster.metrics(), testAPIKey)
}

func hexByte(b byte) string {
	return string("0123456789abcdef"[b>>4]) + string("0123456789abcdef"[b&15])
}

func setBody(r *http.Request, text string) {
	r.Body = io.NopCloser(strings.NewReader(text))
	r.ContentLength = int64(len(text))
	r.GetBody = nil
}

// metrics returns the metrics page of the entry.
func (c *testCluster) metrics() string {
	response, err := http.Get(c.admin + "/metrics")
	require.NoError(c.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.NotEmpty(c.t, text)
	return string(text)
}
