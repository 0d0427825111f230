package bhgate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhdrain"
	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhorigin"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhserve"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// defaultTimeout bounds requests without a deadline on routes without a
	// timeout.
	defaultTimeout = 30 * time.Second
	// confirmTimeout bounds the wait for a newer policy before a request is
	// refused.
	confirmTimeout = 900 * time.Millisecond
	// staleRetryAfter is sent without a recent policy. It is short because another
	// gateway may have a recent one already.
	staleRetryAfter = 50 * time.Millisecond
	// overloadRetryAfter is sent if upstreams have no capacity or the request's
	// route has just changed.
	overloadRetryAfter = 150 * time.Millisecond
	// unavailableRetryAfter is sent if no upstream is left or the job store fails.
	unavailableRetryAfter = 300 * time.Millisecond
	// maxQuotaPatience bounds the wait for a token of an account's quota, which is
	// one of quotaPatienceParts of the route's latency objective.
	maxQuotaPatience   = 70 * time.Millisecond
	quotaPatienceParts = 5
	// defaultMaxBody bounds request bodies, in bytes, if the policy sets no limit.
	defaultMaxBody = 4 << 20
)

// errClientGone ends a call whose client closed the connection.
var errClientGone = errors.New("the client closed the connection")

// call is one request of a client.
type call struct {
	gate *Gate
	w    http.ResponseWriter
	r    *http.Request
	// ctx is the request's context, which also ends with the gate's drain.
	ctx     context.Context
	cancel  func()
	id      string
	key     string
	arrived time.Time

	view    bhwatch.View
	route   *bhpolicy.Route
	account *bhpolicy.Account
	body    []byte
	// bodyReadAt is when the whole body had arrived.
	bodyReadAt time.Time
	// traits are the digests of the request's content, which is the same for each
	// attempt of a client, and of the shared parts of its prompt.
	traits bhcrash.Traits
	// permit is the right to run the call as the trial of a suspect; nil if it has
	// none.
	permit *bhevidence.Permit
	// deadline is when the client stops waiting or the route's timeout ends,
	// whichever is first.
	deadline time.Time

	// origin is that of the call's stream, which may go on there only; nil if none has
	// begun.
	origin *bhorigin.Origin
	// sends counts the attempts that may have run.
	sends int
	// notRun is why the last of the other attempts failed; nil if there was none.
	notRun error
	// upstream is the ID of the instance of the last of these attempts.
	upstream string
	// version is that of the instance's software.
	version string
	// framing is that of the last answer of an upstream.
	framing bhforward.Framing
	choice  engineChoice
	// limitWait is the least time until an upstream that was passed over for its limit takes
	// a request; zero if none was.
	limitWait time.Duration
	// jobID is the ID of the job that the call submits, reads or ends.
	jobID string
	// headSent is set when the head of an answer is sent to the client; headDelay
	// is the time from the request's arrival until then.
	headSent  bool
	headDelay time.Duration
	// engineWatch watches the engine of the present attempt until its first event.
	engineWatch *engineWatch
	// firstEventAt is when the first event of a stream was relayed.
	firstEventAt time.Time
	// bodyHolding is what is held for the request's body; nil before it is read.
	bodyHolding *bhspool.Holding
	// out is what is held of the answer; nil before its head is sent.
	out    *outbox
	status int
	bytes  int64
}

func newCall(gate *Gate, w http.ResponseWriter, r *http.Request) *call {
	dialect := &gate.config.Dialect
	ctx, cancel := context.WithCancel(r.Context())
	detach := context.AfterFunc(gate.ended, cancel)
	return &call{
		gate: gate,
		w:    w,
		r:    r,
		ctx:  ctx,
		cancel: func() {
			detach()
			cancel()
		},
		id:      r.Header.Get(dialect.RequestID),
		key:     dialect.Key(r.Header),
		arrived: time.Now(),
	}
}

// serve answers the request, or returns the error for which it didn't or for
// which the answer is incomplete.
func (c *call) serve() error {
	if err := c.admit(); err != nil {
		return err
	}
	if err := c.holdHead(); err != nil {
		return err
	}
	if c.route == nil {
		return c.serveJobCall()
	}
	if err := c.checkStop(); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	if err := c.checkStop(); err != nil {
		return err
	}
	if c.route.Kind == bhpolicy.Batch {
		return c.submit()
	}
	c.traits = c.content().Traits()
	// What isn't sent must not use up the account's rate.
	if err := c.gate.config.Crashes.Withheld(c.traits); err != nil {
		return err
	}
	if err := c.takeQuota(); err != nil {
		return err
	}
	if c.takesUp() {
		if err := c.findOrigin(c.ctx); err != nil {
			return c.finalError(c.ctx, err, err)
		}
	}
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	err := c.forward(ctx)
	c.endContent(err)
	return err
}

// drained reports whether the gate's drain is over, which ends the call.
func (c *call) drained() bool { return c.gate.ended.Err() != nil }

// leaving returns the error of a call that the gate doesn't run because it stops. Another
// gateway takes it at once.
func (c *call) leaving() error {
	return bhcode.New(bhcode.Leaving, "the gateway stops before the request could be answered").WithRetryAfter(staleRetryAfter)
}

// checkStop returns the error leaving if the gate stops before the call is expected to be
// answered.
func (c *call) checkStop() error {
	if !c.gate.isDraining() {
		return nil
	}
	request := bhdrain.Request{
		Left: time.Until(c.gate.end), Deadline: time.Until(c.deadline),
		// A stream that breaks, even one that may be resumed, costs more than a new connection.
		Repeatable: c.route.Kind == bhpolicy.Safe || c.route.Kind == bhpolicy.Batch,
	}
	if c.gate.durations.Fits(c.route.Name, request) {
		return nil
	}
	return c.leaving()
}

// observeDuration adds how long the call took if an upstream answered it, without the time in
// which the client sent its body. It is called before the wait for the client to read the answer.
func (c *call) observeDuration(err error) {
	if err == nil && c.sends > 0 && c.status < http.StatusInternalServerError {
		c.gate.durations.Observe(c.route.Name, time.Since(c.bodyReadAt))
	}
}

// workUntil returns until when upstreams may work on the call: its deadline, or the end of
// the gate's drain if that is sooner.
func (c *call) workUntil() time.Time {
	if c.gate.isDraining() && c.gate.end.Before(c.deadline) {
		return c.gate.end
	}
	return c.deadline
}

// admit finds the route and the account. Before it refuses a request that a newer
// policy might allow, it reads the policy again.
func (c *call) admit() error {
	c.view = c.gate.config.Policies.View()
	err := c.resolve()
	if err == nil || !confirmable(err) {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, confirmTimeout)
	defer cancel()
	view, failure := c.gate.config.Policies.Confirm(ctx)
	if failure != nil {
		return bhcode.Wrap(failure, bhcode.ConfigStale, "no newer policy was read before refusing").WithRetryAfter(staleRetryAfter)
	}
	c.view = view
	return c.resolve()
}

// confirmable reports whether a newer policy might allow the refused request.
func confirmable(err error) bool {
	return bhcode.Is(err, bhcode.NotFound) || bhcode.Is(err, bhcode.Unauthorized) || bhcode.Is(err, bhcode.NoConfiguration)
}

// resolve looks up the route and the account in c.view and sets the deadline.
func (c *call) resolve() error {
	index := c.view.Index
	if index == nil {
		return bhcode.New(bhcode.NoConfiguration, "no policy is known yet").WithRetryAfter(staleRetryAfter)
	}
	c.route = index.Route(c.r.Host, c.r.RequestURI)
	if c.route == nil && !c.isJobCall() {
		return bhcode.New(bhcode.NotFound, "host %q has no route for %q", c.r.Host, c.r.RequestURI)
	}
	c.account = nil
	if index.RequiresKeys() && (c.route == nil || !c.route.Public) {
		c.account = index.AccountByKey(c.key)
		if c.account == nil {
			return bhcode.New(bhcode.Unauthorized, "the key is missing or unknown")
		}
		if err := c.gate.checkProofAge(c.view); err != nil {
			return err
		}
	}
	c.deadline = c.computeDeadline()
	return nil
}

// computeDeadline returns when the client stops waiting or the route's timeout
// ends, whichever is first.
func (c *call) computeDeadline() time.Time {
	timeout := defaultTimeout
	if c.route != nil && c.route.Timeout > 0 {
		timeout = c.route.Timeout
	}
	if value, err := strconv.ParseInt(c.r.Header.Get(c.gate.config.Dialect.Deadline), 10, 32); err == nil && value > 0 {
		timeout = min(timeout, time.Duration(value)*time.Millisecond)
	}
	return c.arrived.Add(timeout)
}

func (c *call) readBody() error {
	limit := c.view.Index.Policy.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.r.ContentLength > limit {
		return bhcode.New(bhcode.TooLarge, "the body has %d bytes of at most %d", c.r.ContentLength, limit)
	}
	body, err := c.readHeld(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bhcode.New(bhcode.TooLarge, "the body is longer than %d bytes", limit)
	case bhcode.Is(err, bhcode.Overloaded):
		return err
	case c.drained():
		return c.leaving()
	case isTimeout(err): // it cancels the request's context, too
		return bhcode.Wrap(err, bhcode.QueueTimeout, "the body did not arrive in time")
	case c.r.Context().Err() != nil:
		return errClientGone
	case err != nil:
		return bhcode.Wrap(err, bhcode.BadRequest, "reading the body")
	}
	c.body, c.bodyReadAt = body, time.Now()
	return nil
}

// takeQuota takes the request from the account's quota. It returns a RateExceeded
// error if the account is over its rate, and RateUnknown if that can't be told.
func (c *call) takeQuota() error {
	if c.account == nil || c.account.Rate <= 0 {
		return nil
	}
	decision := c.gate.config.Quota.Take(c.ctx, c.account, c.quotaPatience())
	switch {
	case decision.Granted:
		return nil
	case c.r.Context().Err() != nil:
		return errClientGone
	case c.drained():
		return c.leaving()
	case decision.Unknown:
		return bhcode.New(bhcode.RateUnknown, "no token of client account %s can be had, which may be below its rate", c.account.Name).WithRetryAfter(decision.RetryAfter)
	}
	return bhcode.New(bhcode.RateExceeded, "the client account %s is over its rate", c.account.Name).WithRetryAfter(decision.RetryAfter)
}

// quotaPatience returns how long the call may wait for a token: a part of its
// latency objective that leaves a refused client time to come back.
func (c *call) quotaPatience() time.Duration {
	if c.route.LatencyObjective <= 0 {
		return maxQuotaPatience
	}
	return min(maxQuotaPatience, c.route.LatencyObjective/quotaPatienceParts)
}

// finish records and logs the call, and answers the client if serve failed before
// an answer began.
func (c *call) finish(err error) {
	c.gate.metrics.record(c, err)
	switch {
	case err == nil:
		c.log("request.done", nil)
	case errors.Is(err, errClientGone):
		c.log("request.left", nil)
	case c.headSent:
		// Breaking the connection keeps the answer from looking complete.
		c.log("request.broken", err)
		bhserve.Abort(c.w, c.r)
	default:
		c.writeFailure(bhcode.From(err))
		c.log("request.failed", err)
	}
}

// writeFailure answers the client with a failure that the gateway found.
func (c *call) writeFailure(failure *bhcode.Error) {
	status := failure.Code.Info().Status
	if failure.Ran != bhcode.RanNo && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		status = http.StatusBadGateway // 429 and 503 would tell the client that the request did not run
	}
	header := c.w.Header()
	if failure.RetryAfter > 0 && failure.Ran == bhcode.RanNo {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if c.id != "" {
		header.Set(c.gate.config.Dialect.RequestID, c.id)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.closeIfUnready(header)
	c.status = status
	c.w.WriteHeader(status)
	_, writeErr := io.WriteString(c.w, failure.CallerText()+"\n")
	if writeErr != nil {
		c.log("request.unsent", writeErr)
	}
}

// closeIfUnready has the client close its connection after the answer if the gate
// isn't ready, so that its next request reaches another gateway.
func (c *call) closeIfUnready(header http.Header) {
	if c.gate.unreadyReason() != "" {
		header.Set("Connection", "close")
	}
}

// recover logs a panic of the call and breaks the client's connection. Other
// calls go on.
func (c *call) recover() {
	reason := recover()
	if reason == nil {
		return
	}
	if failure, ok := reason.(error); !ok || !errors.Is(failure, http.ErrAbortHandler) {
		bhlog.Problem(c.gate.config.Logger, "request.panic", errors.Errorf("%+v", reason), "request", c.id)
	}
	_ = c.endAnswer(errClientGone)
	bhserve.Abort(c.w, c.r)
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
	pairs := []any{"request", c.id, "content", c.traits.Content, "job", c.jobID, "route", route, "account", account, "policy", version,
		"proof_age", c.gate.config.Clock.Now() - c.view.ProvenAt, "sends", c.sends, "upstream", c.upstream, "version", c.version,
		"status", c.status, "framing", c.framing, "bytes", c.bytes, "first", c.headDelay, "took", time.Since(c.arrived)}
	pairs = append(pairs, c.choice.logPairs()...)
	if lastEvent := c.r.Header.Get(c.gate.config.Dialect.LastEvent); lastEvent != "" {
		pairs = append(pairs, "after", lastEvent, "resumes", c.r.Header.Get(c.gate.config.Dialect.Resumes))
	}
	if parts := c.gate.config.Dialect.SharedParts(c.r.Header); len(parts) > 0 {
		pairs = append(pairs, "parts", strings.Join(parts, ","))
	}
	if c.notRun != nil {
		pairs = append(pairs, "not_run", c.notRun)
	}
	if err != nil {
		bhlog.Problem(c.gate.config.Logger, event, err, pairs...)
		return
	}
	bhlog.Event(c.gate.config.Logger, event, pairs...)
}
