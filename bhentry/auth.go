package bhentry

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhkey"
	"github.com/baobabhaven/baobabhaven/bhsync"
)

const (
	contextKeyCaller = "caller"
	// contextKeyChatEvents is set once the response is a stream of chat events.
	contextKeyChatEvents = "chat_events"
	contextKeyRequestID  = "id"
	bearerPrefix         = "Bearer "
	requestIDBytes       = 12
)

// caller is the authenticated sender of a request. On an open route its
// identity and snapshot are zero.
type caller struct {
	identity bhkey.Identity
	key      string
	snapshot *bhsync.Snapshot
}

// requireKey wraps a handler that needs a valid API key. It stores the caller
// in the context for callerFrom.
func (e *Entry) requireKey(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		caller, err := e.authenticate(c.Request())
		if err != nil {
			return err
		}
		c.Set(contextKeyCaller, caller)
		return next(c)
	}
}

// callerFrom returns the caller that requireKey stored, or the zero value.
func callerFrom(c echo.Context) caller {
	caller, _ := c.Get(contextKeyCaller).(caller)
	return caller
}

// authenticate finds the client account of the request's key. The error is
// Unauthorized, TooManyBadKeys if the source sent too many wrong keys, or one
// of bhsync.Store.Authenticate.
func (e *Entry) authenticate(r *http.Request) (caller, error) {
	key, ok := bearerKey(r)
	if !ok {
		return caller{}, bhcode.New(bhcode.Unauthorized, "the request has no key")
	}
	snapshot := e.configStore.Current()
	identity, err := e.configStore.Authenticate(key, time.Now())
	if bhcode.Is(err, bhcode.Unauthorized) {
		if retryAfter := e.keyGuard.RecordBadKey(remoteHost(r), time.Now()); retryAfter > 0 {
			return caller{}, bhcode.New(bhcode.TooManyBadKeys, "").WithRetryAfter(retryAfter)
		}
	}
	if err != nil {
		return caller{}, err
	}
	return caller{identity: identity, key: key, snapshot: snapshot}, nil
}

// bearerKey returns the key of the Authorization header and whether there is
// one.
func bearerKey(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return key, ok && key != ""
}

// remoteHost returns the address of the request's sender without the port.
func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// credentialHeaders are the headers in which callers and proxies send keys.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie", "X-Auth-Token"}

// hopByHopHeaders apply to one connection only and aren't forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// sanitizeHeader returns the headers to send to an upstream: without credential
// headers, hop-by-hop headers, headers that Connection names, and any header
// whose value contains the key. Content-Length and Accept-Encoding are dropped
// too.
func sanitizeHeader(header http.Header, key string) http.Header {
	sanitized := header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		sanitized.Del(strings.TrimSpace(name))
	}
	for _, name := range credentialHeaders {
		sanitized.Del(name)
	}
	for _, name := range hopByHopHeaders {
		sanitized.Del(name)
	}
	sanitized.Del("Content-Length")
	sanitized.Del("Accept-Encoding")
	for name, values := range sanitized {
		if key != "" && strings.Contains(strings.Join(values, "\n"), key) {
			sanitized.Del(name)
		}
	}
	return sanitized
}

// sanitizeQuery returns the query string without parameters that contain the
// key, escaped or not, or that can't be decoded. If key is empty it returns
// raw.
func sanitizeQuery(raw, key string) string {
	if key == "" || raw == "" {
		return raw
	}
	var kept []string
	for _, pair := range strings.Split(raw, "&") {
		unescaped, err := url.QueryUnescape(pair)
		if err == nil && !strings.Contains(unescaped, key) && !strings.Contains(pair, key) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}

// rejectKeyIn returns BadRequest if the path or body contains the caller's key.
func rejectKeyIn(path string, body []byte, key string) error {
	if key == "" {
		return nil
	}
	if strings.Contains(path, key) || bytes.Contains(body, []byte(key)) {
		return bhcode.New(bhcode.BadRequest, "the request holds its own key outside the Authorization header")
	}
	return nil
}

// requestID returns the ID of the request and generates it on the first call.
func requestID(c echo.Context) string {
	if id, ok := c.Get(contextKeyRequestID).(string); ok {
		return id
	}
	var random [requestIDBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	id := "req-" + hex.EncodeToString(random[:])
	c.Set(contextKeyRequestID, id)
	return id
}
