package bhentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcache"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhroute"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// maxAttempts is the largest number of attempts per request, each on another
// upstream.
const maxAttempts = 4

// responseSink consumes the response of upstreams to one request. One attempt
// at a time uses it.
type responseSink interface {
	// beginAttempt resets the sink for an attempt and returns the request body
	// to send. An error ends the request without an attempt.
	beginAttempt() ([]byte, error)
	// writeHead consumes the status and headers of the response.
	writeHead(bhwire.Head) error
	// writeData consumes the next bytes of the response body.
	writeData([]byte) error
	// flush sends the caller the data written so far, if the sink streams.
	flush()
	// finish ends a response that the upstream ended without an error. It returns
	// an error if the response is incomplete.
	finish() error
	// resumable reports whether another attempt may follow the data written so
	// far.
	resumable() bool
}

// dispatch sends the request to upstreams until one gives a complete response,
// the attempts or the retry budget are used up, or a retry isn't allowed. The
// error is that of the last attempt, or of the refusal or revocation that ended
// the request.
// The traits are those of a chat's prompt; other requests have none.
func (e *Entry) dispatch(ctx context.Context, submit bhwire.Submit, traits bhcrash.Traits, sink responseSink) error {
	request := bhroute.Request{
		Group:  submit.Group,
		Model:  submit.Model,
		Prefix: bhcache.Sample(submit.Prefix),
		Work:   submit.Work,
	}
	e.retryBudgets.RecordRequest(submit.Group)
	var lastErr error
	for submit.Attempt = 1; submit.Attempt <= maxAttempts; submit.Attempt++ {
		trial, err := e.quarantine.admit(ctx, submit, lastErr)
		if err != nil {
			return err
		}
		permit, err := e.prompts.Admit(ctx, traits)
		if err != nil {
			trial.finish(ctx, err)
			return withRanOf(lastErr, bhcode.From(err))
		}
		run := &promptRun{prompts: e.prompts, traits: traits, permit: permit, sentAt: time.Now()}
		submit.Alone = trial != nil
		request.Alone = submit.Alone
		target, err := e.fleet.pick(request, submit.ID)
		if err != nil {
			trial.finish(ctx, err)
			run.finish(err)
			return firstError(lastErr, err)
		}
		submit.Upstream = target.upstream
		e.fleet.table.Sent(target.upstream, request)
		lastErr = e.attempt(ctx, target, submit, run, sink)
		trial.finish(ctx, lastErr)
		run.finish(lastErr)
		outcome := upstreamOutcome(lastErr)
		e.fleet.table.Finished(target.upstream, request, outcome)
		if lastErr == nil {
			return nil
		}
		if cause := cancelCause(ctx); cause != nil {
			return cause.WithRan(bhcode.RanUnknown)
		}
		if ctx.Err() != nil || !mayRetry(lastErr, submit.Idempotent, sink) {
			return lastErr
		}
		if spendsBudget(submit.Attempt, outcome, lastErr) && !e.retryBudgets.AllowRetry(submit.Group) {
			return lastErr
		}
		request.Exclude = append(request.Exclude, target.upstream)
		bhlog.Event(e.logger, "request.retry", "id", submit.ID, "attempt", submit.Attempt, "upstream", target.upstream, "err", lastErr)
	}
	return lastErr
}

// spendsBudget reports whether a retry after the given attempt, counted from 1,
// spends the retry budget. The first retry after a failed upstream is free: an
// engine crash fails all its running requests at once, and the circuit breaker
// limits how many requests a failing engine gets. So is the first one after a
// leaving host, which refuses all that waits there at once and gets nothing more.
func spendsBudget(attempt int, outcome bhroute.Outcome, err error) bool {
	return attempt > 1 || outcome != bhroute.Failed && !bhcode.Is(err, bhcode.Leaving)
}

// upstreamOutcome returns what the result of an attempt says about the health
// of its upstream.
func upstreamOutcome(err error) bhroute.Outcome {
	if err == nil {
		return bhroute.Succeeded
	}
	switch bhcode.From(err).Code {
	case bhcode.UpstreamFailed, bhcode.UpstreamLost, bhcode.AnswerIncomplete, bhcode.NoUpstream:
		return bhroute.Failed
	}
	return bhroute.Neutral
}

// cancelCause returns the error that cancelled ctx: KeyRevoked or ConfigStale from
// bhsync.RunningRequests, or Leaving from bhdrain.Departure. It returns nil if neither did.
func cancelCause(ctx context.Context) *bhcode.Error {
	var failure *bhcode.Error
	if errors.As(context.Cause(ctx), &failure) {
		return failure
	}
	return nil
}

// firstError returns err, or fallback if err is nil.
func firstError(err error, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}

// mayRetry reports whether another attempt is allowed: if the failed attempt
// certainly did not run or the request is idempotent, and if another response
// can't contradict what the caller already has.
func mayRetry(err error, idempotent bool, sink responseSink) bool {
	failure := bhcode.From(err)
	switch failure.Code {
	case bhcode.Cancelled, bhcode.RunTimeout, bhcode.QueueTimeout, bhcode.BadRequest, bhcode.Internal:
		return false
	}
	if !sink.resumable() {
		return false
	}
	return failure.Ran == bhcode.RanNo || idempotent
}

// attempt sends the request to one upstream and forwards its response to the
// sink. ctx must have a deadline.
func (e *Entry) attempt(ctx context.Context, target target, submit bhwire.Submit, run *promptRun, sink responseSink) error {
	body, err := sink.beginAttempt()
	if err != nil {
		return err
	}
	submit.Body = body
	submit.Window = receiveWindow(e.config.Limits)
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.New("request context has no deadline")
	}
	submit.Timeout = time.Until(deadline)
	call, err := target.link.submit(ctx, submit)
	if err != nil {
		return err
	}
	defer call.close()
	for {
		frame, err := call.receive(ctx)
		if err != nil {
			return err
		}
		if frame.Kind == bhwire.KindEnd {
			return e.finishAttempt(ctx, target, submit.Digest, run, frame, sink)
		}
		if err := writeFrame(frame, sink); err != nil {
			return err
		}
		if !call.pending() {
			sink.flush()
		}
	}
}

// writeFrame forwards one response frame to the sink.
func writeFrame(frame bhwire.Frame, sink responseSink) error {
	switch frame.Kind {
	case bhwire.KindHead:
		head, err := bhwire.Decode[bhwire.Head](frame)
		if err != nil {
			return err
		}
		if err := bhforward.CheckFinalStatus(head.Status); err != nil {
			return bhcode.Wrap(err, bhcode.UpstreamFailed, "head of an answer").WithRan(bhcode.RanUnknown)
		}
		return sink.writeHead(head)
	case bhwire.KindData:
		return sink.writeData(frame.Body)
	}
	return nil
}

// finishAttempt handles the end frame of an attempt. It updates the routing
// table with the changes of the upstream's prefix cache and records a crash.
// The error is the one that the sidecar reported or that of the sink.
func (e *Entry) finishAttempt(ctx context.Context, target target, digest string, run *promptRun, frame bhwire.Frame, sink responseSink) error {
	end, err := bhwire.Decode[bhwire.End](frame)
	if err != nil {
		return err
	}
	if end.Code == int(bhcode.OK) {
		e.fleet.table.ApplyCacheChanges(target.upstream, bhroute.CacheChanges{Cached: end.Cached, Evicted: end.Evicted, Gap: end.Gap})
		return sink.finish()
	}
	if end.Crashed {
		e.quarantine.recordCrash(target.link.session.Peer, digest, end)
		run.crashed(ctx, target.link.session.Peer, target.upstream)
	}
	failure := bhcode.New(bhcode.Code(end.Code), "%s", end.Message)
	return failure.WithRan(bhcode.Ran(end.Ran)).WithRetryAfter(end.Retry)
}
