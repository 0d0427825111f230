package bhentry

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// servePlain serves a request for a plain service. A request that isn't
// idempotent but has an idempotency key runs at most once.
func (e *Entry) servePlain(c echo.Context) error {
	snapshot := e.configStore.Current()
	if snapshot == nil {
		return bhcode.New(bhcode.NoConfiguration, "").WithRetryAfter(time.Second)
	}
	route, ok := snapshot.Route(c.Request().URL.Path)
	if !ok {
		return bhcode.New(bhcode.NotFound, "no route has this path")
	}
	caller, err := e.authorizePlain(c, route)
	if err != nil {
		return err
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if err := rejectKeyIn(c.Request().URL.Path, body, caller.key); err != nil {
		return err
	}
	timeout := time.Duration(route.Timeout)
	if timeout == 0 {
		timeout = bhconf.DefaultRouteTimeout
	}
	submit := newPlainSubmit(c, route, caller, body)
	atMostOnce := !submit.Idempotent && c.Request().Header.Get(headerIdempotency) != ""
	parent := c.Request().Context()
	if atMostOnce {
		bound, release := e.departure.Bind(context.WithoutCancel(parent))
		defer release()
		parent = bound
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	if !route.Open {
		runningCtx, release := e.runningRequests.Add(ctx, caller.identity)
		defer release()
		ctx = runningCtx
	}
	if atMostOnce {
		return e.dispatchOnce(ctx, c, submit, body)
	}
	return e.dispatch(ctx, submit, bhcrash.Traits{}, &passthroughSink{c: c, body: body})
}

// authorizePlain authenticates the caller and takes a token of its account. On
// an open route it does neither.
func (e *Entry) authorizePlain(c echo.Context, route bhconf.Route) (caller, error) {
	if route.Open {
		key, _ := bearerKey(c.Request())
		return caller{key: key}, nil
	}
	caller, err := e.authenticate(c.Request())
	if err != nil {
		return caller, err
	}
	return caller, e.takeToken(c.Request().Context(), caller.identity.Account)
}

func newPlainSubmit(c echo.Context, route bhconf.Route, caller caller, body []byte) bhwire.Submit {
	request := c.Request()
	return bhwire.Submit{
		ID:         requestID(c),
		Account:    caller.identity.Account,
		Group:      route.Group,
		Method:     request.Method,
		Path:       request.URL.EscapedPath(),
		Query:      sanitizeQuery(request.URL.RawQuery, caller.key),
		Header:     sanitizeHeader(request.Header, caller.key),
		Idempotent: slices.Contains(route.Idempotent, request.Method),
		Digest:     contentDigest(caller.identity.Account, append([]byte(request.Method+request.URL.RequestURI()), body...)),
		Work:       1,
	}
}

// maxHeldBytes is the largest declared length of an answer that is held back until it is
// complete, so that another attempt may follow one that broke off.
const maxHeldBytes = 64 << 10

// passthroughSink forwards the response to the caller as it arrives, or once it is complete if
// it declares that it is small.
type passthroughSink struct {
	c echo.Context
	// body is the request body.
	body []byte
	// head and held are the response so far while it is held back; head is nil otherwise.
	head *bhwire.Head
	held bytes.Buffer
}

func (s *passthroughSink) beginAttempt() ([]byte, error) {
	s.head = nil
	s.held.Reset()
	return s.body, nil
}

func (s *passthroughSink) writeHead(head bhwire.Head) error {
	length, err := strconv.ParseInt(head.Header.Get(echo.HeaderContentLength), 10, 64)
	if err == nil && length <= maxHeldBytes {
		s.head = &head
		return nil
	}
	s.commit(head)
	return nil
}

// commit writes the head of the response to the caller.
func (s *passthroughSink) commit(head bhwire.Head) {
	header := s.c.Response().Header()
	for name, values := range head.Header {
		if !slices.Contains(hopByHopHeaders, name) {
			header[name] = values
		}
	}
	s.c.Response().WriteHeader(head.Status)
}

func (s *passthroughSink) writeData(data []byte) error {
	if s.head != nil {
		s.held.Write(data)
		return nil
	}
	if _, err := s.c.Response().Write(data); err != nil {
		return bhcode.Wrap(err, bhcode.Cancelled, "the caller left").WithRan(bhcode.RanYes)
	}
	return nil
}

func (s *passthroughSink) flush() {
	if s.c.Response().Committed {
		s.c.Response().Flush()
	}
}

func (s *passthroughSink) finish() error {
	if s.head == nil {
		return nil
	}
	s.commit(*s.head)
	s.head = nil
	return s.writeData(s.held.Bytes())
}

func (s *passthroughSink) resumable() bool { return !s.c.Response().Committed }
