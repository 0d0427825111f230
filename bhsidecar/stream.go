package bhsidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhevent"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// readBufferSize is the size in bytes of the buffer for an answer's body.
	readBufferSize = 16 << 10
	// sendEndTimeout bounds the time to send a stream's end frame.
	sendEndTimeout = 5 * time.Second
	// leavingRetryAfter is when a caller may come back, to another host.
	leavingRetryAfter = time.Second
)

// stream is one request that an entry submitted on a live session.
type stream struct {
	session *liveSession
	id      uint64
	submit  bhwire.Submit
	credit  *credit
	cancel  context.CancelFunc
	// bodyStarted reports whether the answer's body has begun.
	bodyStarted bool
}

func newStream(session *liveSession, id uint64, submit bhwire.Submit) *stream {
	return &stream{session: session, id: id, submit: submit, credit: newCredit(submit.Window)}
}

// run executes the request and then sends the stream's end frame, whatever the
// outcome.
func (s *stream) run(ctx context.Context) {
	end := s.execute(ctx)
	bhlog.Trace(s.session.sidecar.logger, "request.end", "id", s.submit.ID, "attempt", s.submit.Attempt,
		"code", end.Code, "ran", end.Ran, "crashed", end.Crashed)
	sendCtx, cancel := context.WithTimeout(context.Background(), sendEndTimeout)
	defer cancel()
	if err := s.session.link.SendMessage(sendCtx, bhwire.KindEnd, s.id, end); err != nil {
		bhlog.Trace(s.session.sidecar.logger, "request.end_unsent", "id", s.submit.ID, "err", err)
	}
}

// execute admits the request, sends it to the upstream and forwards the answer.
func (s *stream) execute(ctx context.Context) bhwire.End {
	departure := s.session.sidecar.departure
	if s.session.sidecar.leaving.Load() {
		return endFromError(bhcode.New(bhcode.Leaving, "the host is leaving").WithRetryAfter(leavingRetryAfter))
	}
	ctx, unbind := departure.Bind(ctx)
	defer unbind()
	upstream, err := s.session.sidecar.upstreams.find(s.submit)
	if err != nil {
		return endFromError(err)
	}
	waitCtx, started := departure.BindWaiting(ctx)
	release, err := upstream.admission.admit(waitCtx, s.submit)
	started()
	if err != nil {
		return endFromError(err)
	}
	defer release()
	run := s.session.sidecar.crashReporter.beginRun(upstream)
	defer run.finish()
	monitor := upstream.batchLimiter.beginLive()
	defer monitor.end()
	response, err := upstream.send(ctx, s.submit)
	if err != nil {
		return s.failureEnd(ctx, run, err)
	}
	defer response.Body.Close()
	return s.forward(ctx, run, response, monitor)
}

// forward sends the upstream's answer to the entry, within the credit that the
// entry grants.
func (s *stream) forward(ctx context.Context, run trackedRun, response *http.Response, monitor *liveMonitor) bhwire.End {
	body := answerBody(response)
	head := bhwire.Head{Status: response.StatusCode, Header: response.Header}
	if err := s.session.link.SendMessage(ctx, bhwire.KindHead, s.id, head); err != nil {
		return s.unsentEnd(ctx, err)
	}
	buffer := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			s.bodyStarted = true
			monitor.chunkReceived(time.Now())
			if err := s.sendData(ctx, buffer[:n]); err != nil {
				return s.unsentEnd(ctx, err)
			}
			monitor.chunkForwarded(time.Now())
		}
		if errors.Is(err, io.EOF) {
			return s.successEnd(run.upstream)
		}
		if err != nil {
			return s.failureEnd(ctx, run, brokenAnswer(err))
		}
	}
}

// answerBody returns the body of the answer. Reading it fails at the end of a stream
// of events that broke off, whatever its framing. It removes the length of a stream,
// with which the caller would take the answer for complete before that end.
func answerBody(response *http.Response) io.Reader {
	if bhevent.KindOf(response.Header) != bhevent.Declared {
		return response.Body
	}
	response.Header.Del("Content-Length")
	return bhevent.NewCheckedReader(response.Body, bhforward.FramingOf(response) == bhforward.FramedByClose)
}

// successEnd returns the end frame of a complete answer. It carries the changes
// of the upstream's prefix cache if that is the upstream that the entry chose.
func (s *stream) successEnd(upstream *upstream) bhwire.End {
	end := bhwire.End{Ran: string(bhcode.RanYes)}
	if upstream.cacheLog != nil && upstream.config.Name == s.submit.Upstream {
		changes := s.session.cacheChanges(upstream.cacheLog)
		end.Cached, end.Evicted, end.Gap = changes.Cached, changes.Evicted, changes.Gap
	}
	return end
}

// sendData sends data in one or more frames, as credit allows.
func (s *stream) sendData(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		n, err := s.credit.acquire(ctx, len(data))
		if err != nil {
			return err
		}
		body := append([]byte(nil), data[:n]...)
		frame := bhwire.Frame{Kind: bhwire.KindData, Stream: s.id, Body: body}
		if err := s.session.link.Send(ctx, frame); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// failureEnd returns the end frame of a request that its upstream did not
// finish. Unless ctx has ended or the request did not run, it reports an
// upstream crash.
func (s *stream) failureEnd(ctx context.Context, run trackedRun, err error) bhwire.End {
	failure := bhcode.From(err)
	if ctx.Err() != nil {
		return endFromError(s.interruptedError(ctx, failure.Ran))
	}
	end := endFromError(failure)
	if failure.Ran != bhcode.RanNo {
		run.reportCrash(s.submit, s.bodyStarted, &end)
	}
	bhlog.Problem(s.session.sidecar.logger, "upstream.failed", err, "upstream", run.upstream.config.Name, "id", s.submit.ID)
	return end
}

// unsentEnd returns the end frame of a request whose answer couldn't be sent to the entry.
func (s *stream) unsentEnd(ctx context.Context, err error) bhwire.End {
	if ctx.Err() != nil {
		return endFromError(s.interruptedError(ctx, bhcode.RanYes))
	}
	return endFromError(brokenAnswer(err))
}

// interruptedError returns the error of a request whose context ended: Leaving at the
// end of a planned stop, RunTimeout after the deadline, otherwise Cancelled.
func (s *stream) interruptedError(ctx context.Context, ran bhcode.Ran) error {
	if leaving := leavingCause(ctx); leaving != nil {
		return leaving.WithRan(ran)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bhcode.New(bhcode.RunTimeout, "the deadline passed while the request ran").WithRan(ran)
	}
	return bhcode.New(bhcode.Cancelled, "cancelled while it ran").WithRan(ran)
}

// leavingCause returns the error with which bhdrain.Departure cancelled ctx, or nil if it
// didn't.
func leavingCause(ctx context.Context) *bhcode.Error {
	var failure *bhcode.Error
	if errors.As(context.Cause(ctx), &failure) && failure.Code == bhcode.Leaving {
		return failure
	}
	return nil
}

// brokenAnswer wraps err as UpstreamFailed and marks the request as run.
func brokenAnswer(err error) error {
	return bhcode.Wrap(err, bhcode.UpstreamFailed, "the answer broke off").WithRan(bhcode.RanYes)
}

// endFromError returns the end frame that reports err.
func endFromError(err error) bhwire.End {
	failure := bhcode.From(err)
	return bhwire.End{
		Code:    int(failure.Code),
		Message: failure.Error(),
		Ran:     string(failure.Ran),
		Retry:   failure.RetryAfter,
	}
}
