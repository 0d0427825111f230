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

// recorder is an upstream that keeps all that it receives.
type recorder struct {
	mutex sync.Mutex
	seen  strings.Builder
	count int
}

func (u *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// A key that is planted in every part of a request reaches no upstream, no
// answer and no metric.
func TestNoUpstreamSeesAKey(t *testing.T) {
	upstream := &recorder{}
	rig := newRig(t, upstream)
	escaped := url.QueryEscape(testKey[:1]) + "%" + hexOf(testKey[1]) + testKey[2:]
	plants := map[string]func(*http.Request){
		"none":              func(*http.Request) {},
		"api key header":    func(r *http.Request) { r.Header.Set("X-Api-Key", testKey) },
		"cookie":            func(r *http.Request) { r.AddCookie(&http.Cookie{Name: "k", Value: testKey}) },
		"own header":        func(r *http.Request) { r.Header.Set("X-Anything", "a "+testKey+" b") },
		"second value":      func(r *http.Request) { r.Header.Add("X-Anything", "a"); r.Header.Add("X-Anything", testKey) },
		"proxy header":      func(r *http.Request) { r.Header.Set("Proxy-Authorization", "Bearer "+testKey) },
		"second bearer":     func(r *http.Request) { r.Header.Add("Authorization", "Bearer "+testKey) },
		"query":             func(r *http.Request) { r.URL.RawQuery = "a=1&key=" + testKey },
		"query name":        func(r *http.Request) { r.URL.RawQuery = testKey + "=1" },
		"escaped query":     func(r *http.Request) { r.URL.RawQuery = "key=" + escaped },
		"path":              func(r *http.Request) { r.URL.Path += "/" + testKey },
		"body":              func(r *http.Request) { setBody(r, "my key is "+testKey) },
		"idempotency key":   func(r *http.Request) { r.Header.Set("Idempotency-Key", testKey) },
		"request id":        func(r *http.Request) { r.Header.Set("X-Request-Id", testKey) },
		"connection header": func(r *http.Request) { r.Header.Set("Connection", "X-Anything"); r.Header.Set("X-Anything", testKey) },
	}
	for name, plant := range plants {
		request, err := http.NewRequest(http.MethodPost, rig.url+"/svc/deposit", strings.NewReader("x"))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+testKey)
		plant(request)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err, name)
		answer, err := httputil.DumpResponse(response, true)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.NotContains(t, string(answer), testKey, name)
		upstream.mutex.Lock()
		assert.NotContains(t, upstream.seen.String(), testKey, name)
		assert.NotContains(t, upstream.seen.String(), escaped, name)
		upstream.seen.Reset()
		upstream.mutex.Unlock()
	}
	assert.Positive(t, upstream.count)
	assert.NotContains(t, rig.metrics(), testKey)
}

func hexOf(b byte) string { return string("0123456789abcdef"[b>>4]) + string("0123456789abcdef"[b&15]) }

func setBody(r *http.Request, text string) {
	r.Body = io.NopCloser(strings.NewReader(text))
	r.ContentLength = int64(len(text))
	r.GetBody = nil
}

// metrics returns the metrics of the entry.
func (r *rig) metrics() string {
	response, err := http.Get(r.admin + "/metrics")
	require.NoError(r.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(r.t, err)
	require.NotEmpty(r.t, text)
	return string(text)
}
