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
	contextCaller = "caller"
	contextID     = "id"
	bearer        = "Bearer "
	idBytes       = 12
)

// caller is an authenticated caller. Its zero value is a caller on an open
// route.
type caller struct {
	identity bhkey.Identity
	key      string
	state    *bhsync.Snapshot
}

// authenticated wraps a handler that needs a valid key.
func (e *Entry) authenticated(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		caller, err := e.authenticate(c.Request())
		if err != nil {
			return err
		}
		c.Set(contextCaller, caller)
		return next(c)
	}
}

func callerOf(c echo.Context) caller {
	caller, _ := c.Get(contextCaller).(caller)
	return caller
}

// authenticate finds the client account of the request's key.
func (e *Entry) authenticate(r *http.Request) (caller, error) {
	key, ok := bearerKey(r)
	if !ok {
		return caller{}, bhcode.New(bhcode.Unauthorized, "the request has no key")
	}
	state := e.store.Current()
	identity, err := e.store.Authenticate(key, time.Now())
	if bhcode.Is(err, bhcode.Unauthorized) {
		if wait := e.guard.Wrong(sourceOf(r), time.Now()); wait > 0 {
			return caller{}, bhcode.New(bhcode.TooManyBadKeys, "").WithRetryAfter(wait)
		}
	}
	if err != nil {
		return caller{}, err
	}
	return caller{identity: identity, key: key, state: state}, nil
}

func bearerKey(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	return key, ok && key != ""
}

func sourceOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// keyHeaders are the headers in which callers and proxies carry keys.
var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie", "X-Auth-Token"}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// cleanHeader returns the headers that an upstream may see: none that carries
// a key, and none that concerns only the caller's connection.
func cleanHeader(header http.Header, key string) http.Header {
	clean := header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		clean.Del(strings.TrimSpace(name))
	}
	for _, name := range keyHeaders {
		clean.Del(name)
	}
	for _, name := range hopHeaders {
		clean.Del(name)
	}
	clean.Del("Content-Length")
	clean.Del("Accept-Encoding")
	for name, values := range clean {
		if key != "" && strings.Contains(strings.Join(values, "\n"), key) {
			clean.Del(name)
		}
	}
	return clean
}

// cleanQuery returns the query without parameters that hold the key.
func cleanQuery(raw, key string) string {
	if key == "" || raw == "" {
		return raw
	}
	var kept []string
	for _, pair := range strings.Split(raw, "&") {
		text, err := url.QueryUnescape(pair)
		if err == nil && !strings.Contains(text, key) && !strings.Contains(pair, key) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}

// refuseKeyIn returns an error if the path or body holds the caller's key.
func refuseKeyIn(path string, body []byte, key string) error {
	if key == "" {
		return nil
	}
	if strings.Contains(path, key) || bytes.Contains(body, []byte(key)) {
		return bhcode.New(bhcode.BadRequest, "the request holds its own key outside the Authorization header")
	}
	return nil
}

// requestID returns the identifier of the request, making one at first use.
func requestID(c echo.Context) string {
	if id, ok := c.Get(contextID).(string); ok {
		return id
	}
	var random [idBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	id := "req-" + hex.EncodeToString(random[:])
	c.Set(contextID, id)
	return id
}
