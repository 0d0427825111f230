package bhentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcache"
	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhroute"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

// maxAttempts bounds the upstreams that one request is sent to.
const maxAttempts = 4

// answer takes in what an upstream sends for one request. It is used by one
// attempt at a time.
type answer interface {
	// begin prepares for an attempt and returns the body to send. The error
	// ends the request.
	begin() ([]byte, error)
	// head takes the status and headers of the answer.
	head(bhwire.Head) error
	// data takes the next bytes of the answer.
	data([]byte) error
	// flush sends the caller what was taken so far.
	flush()
	// end takes the answer's orderly end and reports whether it is whole.
	end() error
	// resumable reports whether another attempt can follow what was taken.
	resumable() bool
}

// dispatch leads the request to upstreams until one gives a whole answer, the
// attempts are used up or another attempt isn't allowed.
func (e *Entry) dispatch(ctx context.Context, submit bhwire.Submit, answer answer) error {
	request := bhroute.Request{
		Group:  submit.Group,
		Model:  submit.Model,
		Prefix: bhcache.Sample(submit.Prefix),
		Work:   submit.Work,
	}
	e.budgets.RecordRequest(submit.Group)
	var last error
	for submit.Attempt = 1; submit.Attempt <= maxAttempts; submit.Attempt++ {
		trial, err := e.suspects.admit(ctx, submit, last)
		if err != nil {
			return err
		}
		submit.Alone = trial != nil
		request.Alone = submit.Alone
		target, err := e.fleet.pick(request, submit.ID)
		if err != nil {
			trial.end(ctx, err)
			return orElse(last, err)
		}
		submit.Upstream = target.upstream
		e.fleet.table.Sent(target.upstream, request)
		last = e.attempt(ctx, target, submit, answer)
		trial.end(ctx, last)
		outcome := outcomeOf(last)
		e.fleet.table.Finished(target.upstream, request, outcome)
		if last == nil {
			return nil
		}
		if cause := revocation(ctx); cause != nil {
			return cause
		}
		if ctx.Err() != nil || !mayRetry(last, submit.Idempotent, answer) {
			return last
		}
		if spendsBudget(submit.Attempt, outcome) && !e.budgets.AllowRetry(submit.Group) {
			return last
		}
		request.Exclude = append(request.Exclude, target.upstream)
		bhlog.Event(e.logger, "request.retry", "id", submit.ID, "attempt", submit.Attempt, "upstream", target.upstream, "err", last)
	}
	return last
}

// spendsBudget reports whether a retry after the attempt takes from the retry
// budget. The first retry after a failed upstream doesn't: an engine that dies
// ends all its requests at once, and the breaker bounds how many it gets.
func spendsBudget(attempt int, outcome bhroute.Outcome) bool {
	return attempt > 1 || outcome != bhroute.Failed
}

// outcomeOf says what the end of an attempt tells of its upstream's health.
func outcomeOf(err error) bhroute.Outcome {
	if err == nil {
		return bhroute.Succeeded
	}
	switch bhcode.From(err).Code {
	case bhcode.UpstreamFailed, bhcode.UpstreamLost, bhcode.AnswerIncomplete, bhcode.NoUpstream:
		return bhroute.Failed
	}
	return bhroute.Neutral
}

// revocation returns the reason why ctx was ended before its time, or nil.
func revocation(ctx context.Context) error {
	var failure *bhcode.Error
	if errors.As(context.Cause(ctx), &failure) {
		return failure.WithRan(bhcode.RanUnknown)
	}
	return nil
}

func orElse(err error, other error) error {
	if err != nil {
		return err
	}
	return other
}

// mayRetry allows another attempt only if the failed one certainly did not
// run or the request is idempotent, and if the caller has nothing that another
// answer would contradict.
func mayRetry(err error, idempotent bool, answer answer) bool {
	failure := bhcode.From(err)
	switch failure.Code {
	case bhcode.Cancelled, bhcode.RunTimeout, bhcode.QueueTimeout, bhcode.BadRequest, bhcode.Internal:
		return false
	}
	if !answer.resumable() {
		return false
	}
	return failure.Ran == bhcode.RanNo || idempotent
}

// attempt sends the request to one upstream and leads its answer on.
func (e *Entry) attempt(ctx context.Context, target target, submit bhwire.Submit, answer answer) error {
	body, err := answer.begin()
	if err != nil {
		return err
	}
	submit.Body = body
	submit.Window = window
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.New("request without deadline")
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
			return e.finish(target, submit.Digest, frame, answer)
		}
		if err := lead(frame, answer); err != nil {
			return err
		}
		if !call.pending() {
			answer.flush()
		}
	}
}

// lead gives one frame of the answer to the caller's side.
func lead(frame bhwire.Frame, answer answer) error {
	switch frame.Kind {
	case bhwire.KindHead:
		head, err := bhwire.Decode[bhwire.Head](frame)
		if err != nil {
			return err
		}
		return answer.head(head)
	case bhwire.KindData:
		return answer.data(frame.Body)
	}
	return nil
}

// finish takes the end of an attempt, with the news of the upstream's cache.
func (e *Entry) finish(target target, digest string, frame bhwire.Frame, answer answer) error {
	end, err := bhwire.Decode[bhwire.End](frame)
	if err != nil {
		return err
	}
	if end.Code == int(bhcode.OK) {
		e.fleet.table.ApplyCacheChanges(target.upstream, bhroute.CacheChanges{Cached: end.Cached, Evicted: end.Evicted, Gap: end.Gap})
		return answer.end()
	}
	if end.Crashed {
		e.suspects.crashed(target.link.session.Peer, digest, end)
	}
	failure := bhcode.New(bhcode.Code(end.Code), "%s", end.Message)
	return failure.WithRan(bhcode.Ran(end.Ran)).WithRetryAfter(end.Retry)
}
