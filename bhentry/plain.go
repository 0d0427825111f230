package bhentry

import (
	"context"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhconf"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// plain serves a request for a plain service.
func (e *Entry) plain(c echo.Context) error {
	now := e.store.Current()
	if now == nil {
		return bhcode.New(bhcode.NoConfiguration, "").WithRetryAfter(time.Second)
	}
	route, ok := now.Route(c.Request().URL.Path)
	if !ok {
		return bhcode.New(bhcode.NotFound, "no route has this path")
	}
	caller, err := e.admitPlain(c, route)
	if err != nil {
		return err
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if err := refuseKeyIn(c.Request().URL.Path, body, caller.key); err != nil {
		return err
	}
	timeout := time.Duration(route.Timeout)
	if timeout == 0 {
		timeout = bhconf.DefaultRouteTimeout
	}
	submit := plainSubmit(c, route, caller, body)
	keyed := !submit.Idempotent && c.Request().Header.Get(headerIdempotency) != ""
	parent := c.Request().Context()
	if keyed {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	if !route.Open {
		running, release := e.running.Add(ctx, caller.identity)
		defer release()
		ctx = running
	}
	if keyed {
		return e.keyed(ctx, c, submit, body)
	}
	return e.dispatch(ctx, submit, &plainAnswer{c: c, body: body})
}

// admitPlain authenticates the caller and spends a token, unless the route is
// open to all.
func (e *Entry) admitPlain(c echo.Context, route bhconf.Route) (caller, error) {
	if route.Open {
		key, _ := bearerKey(c.Request())
		return caller{key: key}, nil
	}
	caller, err := e.authenticate(c.Request())
	if err != nil {
		return caller, err
	}
	return caller, e.spend(c.Request().Context(), caller.identity.Account)
}

func plainSubmit(c echo.Context, route bhconf.Route, caller caller, body []byte) bhwire.Submit {
	request := c.Request()
	return bhwire.Submit{
		ID:         requestID(c),
		Account:    caller.identity.Account,
		Group:      route.Group,
		Method:     request.Method,
		Path:       request.URL.EscapedPath(),
		Query:      cleanQuery(request.URL.RawQuery, caller.key),
		Header:     cleanHeader(request.Header, caller.key),
		Idempotent: slices.Contains(route.Idempotent, request.Method),
		Digest:     contentDigest(caller.identity.Account, append([]byte(request.Method+request.URL.RequestURI()), body...)),
		Work:       1,
	}
}

// plainAnswer passes an answer on as it comes.
type plainAnswer struct {
	c    echo.Context
	body []byte
}

func (a *plainAnswer) begin() ([]byte, error) { return a.body, nil }

func (a *plainAnswer) head(head bhwire.Head) error {
	header := a.c.Response().Header()
	for name, values := range head.Header {
		if !slices.Contains(hopHeaders, name) {
			header[name] = values
		}
	}
	a.c.Response().WriteHeader(head.Status)
	return nil
}

func (a *plainAnswer) data(data []byte) error {
	if _, err := a.c.Response().Write(data); err != nil {
		return bhcode.Wrap(err, bhcode.Cancelled, "the caller left").WithRan(bhcode.RanYes)
	}
	return nil
}

func (a *plainAnswer) flush() {
	if a.c.Response().Committed {
		a.c.Response().Flush()
	}
}

func (a *plainAnswer) end() error { return nil }

func (a *plainAnswer) resumable() bool { return !a.c.Response().Committed }
