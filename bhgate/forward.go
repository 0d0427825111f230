package bhgate

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhadmit"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhevent"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhpolicy"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// maxNotRun bounds the attempts of a request that certainly did not run:
	// upstreams that took no connection or refused the request.
	maxNotRun = 4
	// silenceTargets is the silence timeout of a safe request as a multiple of the
	// route's latency objective. The last attempt has no silence timeout.
	silenceTargets = 2
	// minSilenceTimeout is enough for an upstream to answer under its usual load.
	minSilenceTimeout = 200 * time.Millisecond
	// streamSilenceTimeout is the silence after which a resumable stream is
	// resumed at another upstream. Clients give up after 2 s.
	streamSilenceTimeout = time.Second
	// bufferLimit is the size in bytes up to which an answer is read completely
	// before it is relayed, so that a broken answer can be replaced by that of
	// another attempt.
	bufferLimit = 256 << 10
	// minStart is the size in bytes of the first buffer for an answer.
	minStart = 2 << 10
)

// attempt is one exchange with one upstream instance.
type attempt struct {
	instance bhwatch.Instance
	answer   *bhforward.Answer
	sentAt   time.Time
	// timer cancels the attempt if the upstream is silent; nil if no other
	// upstream may be tried.
	timer  *silenceTimer
	cancel context.CancelFunc
	// broke records that the connection broke with the error, abandoned that the client
	// takes no more of the answer.
	broke     func(err error)
	abandoned func()
}

func (a *attempt) close() {
	a.timer.stop()
	_ = a.answer.Close()
	a.cancel()
}

// checkRest returns an error if the answer can't bring the rest of a stream.
func (a *attempt) checkRest() error {
	if err := bhevent.CheckHead(a.answer.Status, a.answer.Header); err != nil {
		return bhcode.Wrap(err, bhcode.UpstreamFailed, "answer of upstream "+a.instance.ID).WithRan(bhcode.RanYes)
	}
	return nil
}

// forward sends the request to one upstream after another until an answer is
// final or no attempt is left.
func (c *call) forward(ctx context.Context) error {
	// A client that leaves early says nothing about the engine.
	defer func() { c.engineWatch.answered() }()
	service := c.chooseService()
	excluded := make(map[string]bool)
	notRun := 0
	var lastErr error
	for c.sends < c.route.MaxAttempts && notRun < maxNotRun {
		if err := c.refreshView(&service); err != nil {
			return c.finalError(ctx, lastErr, err)
		}
		if err := c.checkStop(); err != nil {
			lastErr = preferMayHaveRun(lastErr, err)
			break
		}
		if err := c.admitContent(ctx); err != nil {
			lastErr = preferMayHaveRun(lastErr, err)
			break
		}
		instance, err := c.chooseUpstream(ctx, service, excluded, false)
		if err != nil {
			lastErr = preferMayHaveRun(lastErr, err)
			break
		}
		excluded[instance.ID] = true
		retry, err := c.tryUpstream(ctx, instance)
		c.gate.config.Balancer.Done(instance.ID)
		if !retry {
			return c.finalResult(ctx, err)
		}
		if bhcode.From(err).Ran == bhcode.RanNo {
			notRun++
			c.notRun = err
		}
		lastErr = preferMayHaveRun(lastErr, err)
		if ctx.Err() != nil {
			break
		}
	}
	return c.finalError(ctx, lastErr, c.noUpstream(service))
}

// finalResult returns the result of the call after an attempt that no other may
// follow.
func (c *call) finalResult(ctx context.Context, err error) error {
	if err == nil || errors.Is(err, errClientGone) {
		return err
	}
	return c.finalError(ctx, err, err)
}

// preferMayHaveRun returns lastErr if its attempt may have run, otherwise err, so
// that a later attempt that did not run doesn't hide one that may have.
func preferMayHaveRun(lastErr, err error) error {
	if lastErr != nil && bhcode.From(lastErr).Ran != bhcode.RanNo {
		return lastErr
	}
	return err
}

// finalError returns the error of the call after the last attempt. It uses
// fallback if no attempt failed, a timeout if the deadline passed or the gate's drain
// ended, and errClientGone if the client left.
func (c *call) finalError(ctx context.Context, lastErr, fallback error) error {
	if c.r.Context().Err() != nil {
		return errClientGone
	}
	if lastErr == nil {
		lastErr = fallback
	}
	failure := bhcode.From(lastErr)
	switch {
	case ctx.Err() == nil:
		return lastErr
	case failure.Ran != bhcode.RanNo:
		return bhcode.Wrap(lastErr, bhcode.RunTimeout, "the request did not finish in time").WithRan(failure.Ran)
	case c.drained():
		return c.leaving()
	}
	return bhcode.Wrap(lastErr, bhcode.QueueTimeout, "no upstream took the request in time")
}

// refreshView adopts a newer policy before each send, so that a request never
// follows an older policy than an earlier request of this gateway did. It changes
// service if the route no longer serves it.
func (c *call) refreshView(service *string) error {
	view := c.gate.config.Policies.View()
	if view.Index != c.view.Index {
		c.view = view
		if err := c.resolve(); err != nil {
			return err
		}
		if c.route == nil || c.route.Kind == bhpolicy.Batch {
			return bhcode.New(bhcode.NotFound, "the route changed its kind").WithRetryAfter(overloadRetryAfter)
		}
		return c.checkService(service)
	}
	c.view = view
	if c.account != nil {
		return c.gate.checkProofAge(view)
	}
	return nil
}

// checkService changes the service if the route no longer serves it. It fails if the
// call's stream may go on at that service only.
func (c *call) checkService(service *string) error {
	switch {
	case c.route.Serves(*service):
		return nil
	case c.origin != nil:
		return c.noUpstream(*service)
	}
	*service = c.chooseService()
	return nil
}

// chooseService draws one of the route's services at random by weight, or returns the
// service that began the call's stream. It returns "" if no service has a weight.
func (c *call) chooseService() string {
	if c.origin != nil {
		return c.origin.Service
	}
	total := 0
	for _, backend := range c.route.Backends {
		total += max(0, backend.Weight)
	}
	if total == 0 {
		return ""
	}
	draw := rand.IntN(total)
	for _, backend := range c.route.Backends {
		if draw -= max(0, backend.Weight); draw < 0 {
			return backend.Service
		}
	}
	return ""
}

// tryUpstream sends the request to one instance and relays the answer. It reports
// whether another upstream may be tried.
func (c *call) tryUpstream(ctx context.Context, instance bhwatch.Instance) (bool, error) {
	current, err := c.send(ctx, instance, "")
	if err != nil {
		return c.retryable(err), err
	}
	defer current.close()
	answer := current.answer
	if c.gate.config.Dialect.Refused(answer) {
		return true, bhcode.New(bhcode.Overloaded, "upstream %s refused with status %d", instance.ID, answer.Status).WithRetryAfter(c.refusalRetryAfter(answer.Status))
	}
	if c.takesUp() && answer.Status == http.StatusOK {
		if err := current.checkRest(); err != nil {
			return c.retryable(err), err
		}
	}
	switch {
	case answer.Status < 300 && c.route.Kind == bhpolicy.Streaming && bhevent.KindOf(answer.Header) != bhevent.Other:
		return false, c.relayStream(ctx, current)
	case answer.Status >= 500 && c.repeatsNow():
		return true, bhcode.New(bhcode.UpstreamFailed, "upstream %s answered %d", instance.ID, answer.Status).WithRan(bhcode.RanYes)
	case meansNotRun(answer.Status):
		// Without the dialect's not-run header the client must not learn from the
		// upstream's status that its request did not run.
		err := bhcode.New(bhcode.UpstreamFailed, "upstream %s answered %d without a promise", instance.ID, answer.Status).WithRan(bhcode.RanUnknown)
		return c.retryable(err), err
	}
	c.engineWatch.answered()
	return c.relay(current)
}

// send starts one attempt: it sends the request to the instance and returns once
// the head of the answer has arrived. A non-empty lastEventID resumes a stream
// after that event. The caller closes the attempt.
func (c *call) send(ctx context.Context, instance bhwatch.Instance, lastEventID string) (*attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer, watch := c.newSilenceTimer(cancel), c.engineWatch
	request := c.upstreamRequest(instance, lastEventID)
	request.Progress = func() { // an upstream that takes the body isn't silent
		timer.reset()
		watch.progressed()
	}
	sentAt, asked := time.Now(), c.gate.config.Clock.Now()
	answer, err := c.gate.config.Pool.Exchange(ctx, instance.Address, request)
	ran := bhcode.RanYes
	if err != nil {
		ran = bhcode.From(err).Ran
	}
	if ran != bhcode.RanNo {
		c.sends++
		c.upstream, c.version = instance.ID, instance.Version
	}
	if err != nil {
		c.upstreamBroke(ctx, instance, sentAt, err)
		timer.stop()
		cancel()
		var forgotten *bhforward.ForgottenError
		switch {
		case bhcode.Is(err, bhcode.BadRequest): // nothing was sent
		case errors.As(err, &forgotten):
			c.gate.metrics.forgotten.Inc(1) // says nothing about the upstream's health
		case c.r.Context().Err() == nil && !c.drained():
			c.gate.config.Balancer.Failed(instance.ID, err)
			c.engineWatch.failed()
		}
		return nil, err
	}
	c.countConnection(answer)
	c.framing = answer.Framing
	timer.reset()
	if answer.Status != http.StatusMisdirectedRequest {
		c.observeLimit(instance, answer, sentAt)
	}
	if c.gate.config.Dialect.IsLeaving(answer) {
		c.gate.config.Policies.MarkLeaving(instance)
	}
	c.recordStatus(instance, answer, asked)
	return &attempt{
		instance: instance, answer: answer, sentAt: sentAt, timer: timer, cancel: cancel,
		broke:     func(err error) { c.upstreamBroke(ctx, instance, sentAt, err) },
		abandoned: func() { c.upstreamAbandoned(instance, sentAt) },
	}, nil
}

// recordStatus records what the status of an answer says about its upstream: that it failed, has
// moved, or works. A refusal says nothing about its health. The request was sent at asked.
func (c *call) recordStatus(instance bhwatch.Instance, answer *bhforward.Answer, asked time.Duration) {
	balancer := c.gate.config.Balancer
	if occupant, moved := c.gate.config.Dialect.Misdirected(answer, instance.ID); moved {
		balancer.Moved(instance.ID)
		c.gate.config.Policies.ObserveOccupant(instance, occupant, asked)
	}
	switch {
	case c.gate.config.Dialect.Refused(answer):
		c.engineWatch.answered()
	case answer.Status >= http.StatusInternalServerError:
		c.engineWatch.failed()
		balancer.Failed(instance.ID, errors.Errorf("upstream answered %d", answer.Status))
	default:
		balancer.Answered(instance.ID)
	}
}

// upstreamRequest returns the request to send to the instance: without the
// client's key, and with the gateway's own account, instance and deadline headers.
func (c *call) upstreamRequest(instance bhwatch.Instance, lastEventID string) *bhforward.Request {
	dialect := &c.gate.config.Dialect
	header := bhforward.EndToEnd(c.r.Header, dialect.KeyHeader, dialect.Account, dialect.Instance)
	remaining := max(1, time.Until(c.workUntil()).Milliseconds())
	header.Set(dialect.Deadline, strconv.FormatInt(remaining, 10))
	header.Set(dialect.Instance, instance.ID)
	if c.account != nil {
		header.Set(dialect.Account, c.account.Name)
	}
	if lastEventID != "" {
		header.Set(dialect.LastEvent, lastEventID)
	}
	return &bhforward.Request{
		Method:   c.r.Method,
		Target:   c.r.RequestURI,
		Host:     c.r.Host,
		Header:   header,
		Body:     c.body,
		IDHeader: dialect.RequestID,
		MaxRest:  c.maxRest(instance, c.choice.load),
	}
}

// refusalRetryAfter returns when a client should come back whose request an
// upstream refused with the status. One that has moved is found elsewhere soon; one
// that was full says that the service is.
func (c *call) refusalRetryAfter(status int) time.Duration {
	if status == http.StatusMisdirectedRequest {
		return overloadRetryAfter
	}
	return bhadmit.RetryAfter(time.Until(c.deadline), 0)
}

// meansNotRun reports whether the status tells a client that its request did not
// run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// repeatsNow reports whether the call may be sent once more although it has run: an answer
// that is dropped for a further attempt can't be relayed if none is made.
func (c *call) repeatsNow() bool {
	return c.route.Repeatable() && c.sends < c.route.MaxAttempts && c.checkStop() == nil
}

// retryable reports whether another attempt may follow the one that failed with
// err.
func (c *call) retryable(err error) bool {
	return c.r.Context().Err() == nil && (bhcode.From(err).Ran == bhcode.RanNo || c.route.Repeatable())
}

// relay sends an answer that is not a stream of events to the client. It reports
// whether another upstream may be tried.
func (c *call) relay(current *attempt) (bool, error) {
	answer := current.answer
	memory := c.gate.config.Answers.Open(ownAnswer)
	defer memory.Close()
	head, whole, err := readStart(answer.Body, c.bufferLimit(answer), memory)
	if err != nil {
		err = bhcode.Wrap(err, bhcode.AnswerIncomplete, "answer of upstream "+current.instance.ID).WithRan(bhcode.RanYes)
		current.broke(err)
		return c.retryable(err), err
	}
	length := answer.Length
	if whole {
		length = int64(len(head))
	}
	c.writeHead(answer, length)
	err = c.outbox().write(head)
	if err != nil && !whole {
		current.abandoned()
	}
	if err != nil || whole {
		return false, err
	}
	return false, c.relayRest(current)
}

// readStart reads the body until its end, up to the limit in bytes, or as far as there is memory. It
// reports whether it came to the end.
func readStart(body io.Reader, limit int64, memory *bhspool.Share) ([]byte, bool, error) {
	var start []byte
	for int64(len(start)) < limit {
		if len(start) == cap(start) {
			size := min(limit, max(2*int64(cap(start)), minStart))
			if !memory.Resize(size) {
				break
			}
			start = append(make([]byte, 0, size), start...)
		}
		n, err := body.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		switch {
		case err == io.EOF:
			return start, true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return start, false, nil
}

// relayRest sends the client the part of a large answer after what was buffered.
func (c *call) relayRest(current *attempt) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := current.answer.Body.Read(buffer)
		if n > 0 {
			current.timer.stop() // a wait for the client is no silence of the upstream
			if err := c.outbox().push(buffer[:n]); err != nil {
				current.abandoned()
				return err
			}
			current.timer.reset()
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			err = bhcode.Wrap(err, bhcode.AnswerIncomplete, "answer of upstream "+current.instance.ID).WithRan(bhcode.RanYes)
			current.broke(err)
			return err
		}
	}
}

// writeHead sends the client the status and headers of the upstream's answer. A
// negative length sends no Content-Length.
func (c *call) writeHead(answer *bhforward.Answer, length int64) {
	header := c.w.Header()
	for name, values := range bhforward.EndToEnd(answer.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	c.closeIfUnready(header)
	c.status = answer.Status
	c.markHeadSent()
	c.w.WriteHeader(answer.Status)
}

// markHeadSent records that the head of an answer is sent to the client.
func (c *call) markHeadSent() { c.headSent, c.headDelay = true, time.Since(c.arrived) }
