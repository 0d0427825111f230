package bhgate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// defaultDeadline bounds requests that name none on routes without a timeout.
	defaultDeadline = 30 * time.Second
	// confirmTimeout bounds the wait for a newer policy before a refusal.
	confirmTimeout = 900 * time.Millisecond
	// staleRetry, fullRetry and emptyRetry are when to come back after a
	// refusal for lack of a fresh policy, of room, and of upstreams. Another
	// gateway may have a fresh policy right now.
	staleRetry = 50 * time.Millisecond
	fullRetry  = 150 * time.Millisecond
	emptyRetry = 300 * time.Millisecond
	// maxBody bounds bodies where the policy sets no limit.
	maxBody = 4 << 20
)

// errClientGone ends a call whose client has left.
var errClientGone = errors.New("the client has left")

// call is one request of a client.
type call struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	id      string
	key     string
	arrived time.Time

	view    bhwatch.View
	route   *bhpolicy.Route
	account *bhpolicy.Account
	body    []byte
	// expires is when the client stops waiting or the route's timeout ends.
	expires time.Time

	sends    int
	upstream string
	choice   choice
	// job names the job that a call is about.
	job string
	// begun reports that the head of an answer was sent to the client, first is
	// when, counted from the request's arrival.
	begun  bool
	first  time.Duration
	status int
	bytes  int64
}

func newCall(gate *Gate, w http.ResponseWriter, r *http.Request) *call {
	dialect := &gate.config.Dialect
	return &call{
		gate:    gate,
		w:       w,
		r:       r,
		id:      r.Header.Get(dialect.RequestID),
		key:     dialect.Key(r.Header),
		arrived: time.Now(),
	}
}

// serve answers the request or returns why it didn't.
func (c *call) serve() error {
	if err := c.admit(); err != nil {
		return err
	}
	if c.route == nil {
		return c.serveJobCall()
	}
	if err := c.readBody(); err != nil {
		return err
	}
	if c.route.Kind == bhpolicy.Batch {
		return c.submit()
	}
	if err := c.spend(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.expires)
	defer cancel()
	return c.forward(ctx)
}

// admit finds the route and the account. Refusals that a newer policy might
// allow are confirmed first.
func (c *call) admit() error {
	c.view = c.gate.config.Policies.View()
	err := c.resolve()
	if err == nil || !confirmable(err) {
		return err
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), confirmTimeout)
	defer cancel()
	view, failure := c.gate.config.Policies.Confirm(ctx)
	if failure != nil {
		return bhcode.Wrap(failure, bhcode.ConfigStale, "no newer policy was read before refusing").WithRetryAfter(staleRetry)
	}
	c.view = view
	return c.resolve()
}

func confirmable(err error) bool {
	return bhcode.Is(err, bhcode.NotFound) || bhcode.Is(err, bhcode.Unauthorized) || bhcode.Is(err, bhcode.NoConfiguration)
}

// resolve looks up the route and the account in the view at hand.
func (c *call) resolve() error {
	index := c.view.Index
	if index == nil {
		return bhcode.New(bhcode.NoConfiguration, "no policy is known yet").WithRetryAfter(staleRetry)
	}
	c.route = index.Route(c.r.Host, c.r.RequestURI)
	if c.route == nil && !c.isJobCall() {
		return bhcode.New(bhcode.NotFound, "host %q has no route for %q", c.r.Host, c.r.RequestURI)
	}
	c.account = nil
	if index.Keyed() && (c.route == nil || !c.route.Public) {
		c.account = index.Account(c.key)
		if c.account == nil {
			return bhcode.New(bhcode.Unauthorized, "the key is missing or unknown")
		}
		if err := c.gate.fresh(c.view); err != nil {
			return err
		}
	}
	c.expires = c.deadline()
	return nil
}

// deadline returns when the client stops waiting, or when the route's timeout ends.
func (c *call) deadline() time.Time {
	wait := defaultDeadline
	if c.route != nil && c.route.Timeout > 0 {
		wait = c.route.Timeout
	}
	if value, err := strconv.ParseInt(c.r.Header.Get(c.gate.config.Dialect.Deadline), 10, 32); err == nil && value > 0 {
		wait = min(wait, time.Duration(value)*time.Millisecond)
	}
	return c.arrived.Add(wait)
}

func (c *call) readBody() error {
	limit := c.view.Index.Policy.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if c.r.ContentLength > limit {
		return bhcode.New(bhcode.TooLarge, "the body has %d bytes of at most %d", c.r.ContentLength, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return bhcode.New(bhcode.TooLarge, "the body is longer than %d bytes", limit)
	case c.r.Context().Err() != nil:
		return errClientGone
	case err != nil:
		return bhcode.Wrap(err, bhcode.BadRequest, "reading the body")
	}
	c.body = body
	return nil
}

// spend holds the request to the account's quota.
func (c *call) spend() error {
	if c.account == nil || c.account.Rate <= 0 {
		return nil
	}
	wait, ok := c.gate.config.Quota.Take(c.r.Context(), c.account)
	if ok {
		return nil
	}
	if c.r.Context().Err() != nil {
		return errClientGone
	}
	return bhcode.New(bhcode.RateExceeded, "the client account %s is over its rate", c.account.Name).WithRetryAfter(wait)
}

// finish gives the client its final answer and logs the call.
func (c *call) finish(err error) {
	c.gate.metrics.done(c, err)
	switch {
	case err == nil:
		c.log("request.done", nil)
	case errors.Is(err, errClientGone):
		c.log("request.left", nil)
	case c.begun:
		// Breaks the connection, so that the answer doesn't look complete.
		c.log("request.broken", err)
		panic(http.ErrAbortHandler)
	default:
		c.refuse(bhcode.From(err))
		c.log("request.failed", err)
	}
}

// refuse answers with a failure of the gateway's own.
func (c *call) refuse(failure *bhcode.Error) {
	status := failure.Code.Info().Status
	if failure.Ran != bhcode.RanNo && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		status = http.StatusBadGateway // these two would promise that it hasn't run
	}
	header := c.w.Header()
	if failure.RetryAfter > 0 && failure.Ran == bhcode.RanNo {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if c.id != "" {
		header.Set(c.gate.config.Dialect.RequestID, c.id)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.closing(header)
	c.status = status
	c.w.WriteHeader(status)
	_, writeErr := io.WriteString(c.w, failure.Error()+"\n")
	if writeErr != nil {
		c.log("request.unsent", writeErr)
	}
}

// closing has the client go to another gateway if this one isn't ready.
func (c *call) closing(header http.Header) {
	if c.gate.unready() != "" {
		header.Set("Connection", "close")
	}
}

// recover keeps a panic from ending more than this call.
func (c *call) recover() {
	reason := recover()
	if reason == nil {
		return
	}
	if failure, ok := reason.(error); !ok || !errors.Is(failure, http.ErrAbortHandler) {
		bhlog.Problem(c.gate.config.Logger, "request.panic", errors.Errorf("%+v", reason), "request", c.id)
	}
	panic(http.ErrAbortHandler)
}

func (c *call) log(event string, err error) {
	route, account := "", ""
	if c.route != nil {
		route = c.route.Name
	}
	if c.account != nil {
		account = c.account.Name
	}
	var version int64
	if c.view.Index != nil {
		version = c.view.Index.Policy.Version
	}
	pairs := []any{"request", c.id, "job", c.job, "route", route, "account", account, "policy", version,
		"proof_age", c.gate.config.Clock.Now() - c.view.Proof, "sends", c.sends, "upstream", c.upstream,
		"status", c.status, "bytes", c.bytes, "first", c.first, "took", time.Since(c.arrived)}
	pairs = append(pairs, c.choice.pairs()...)
	if err != nil {
		bhlog.Problem(c.gate.config.Logger, event, err, pairs...)
		return
	}
	bhlog.Event(c.gate.config.Logger, event, pairs...)
}
