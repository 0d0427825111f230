package bhsidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	readSize = 16 << 10
	// endTimeout bounds the sending of a stream's last frame.
	endTimeout = 5 * time.Second
)

// stream is one submitted request.
type stream struct {
	session *liveSession
	id      uint64
	submit  bhwire.Submit
	credit  *credit
	cancel  context.CancelFunc
	// begun says whether the answer's body has begun.
	begun bool
}

func newStream(session *liveSession, id uint64, submit bhwire.Submit) *stream {
	return &stream{session: session, id: id, submit: submit, credit: newCredit(submit.Window)}
}

// run executes the request and always sends the stream's end.
func (s *stream) run(ctx context.Context) {
	end := s.execute(ctx)
	bhlog.Trace(s.session.sidecar.logger, "request.end", "id", s.submit.ID, "attempt", s.submit.Attempt,
		"code", end.Code, "ran", end.Ran, "crashed", end.Crashed)
	sending, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := s.session.link.SendMessage(sending, bhwire.KindEnd, s.id, end); err != nil {
		bhlog.Trace(s.session.sidecar.logger, "request.end_unsent", "id", s.submit.ID, "err", err)
	}
}

func (s *stream) execute(ctx context.Context) bhwire.End {
	if s.session.sidecar.leaving.Load() {
		return endOf(bhcode.New(bhcode.Leaving, "the host is leaving"))
	}
	upstream, err := s.session.sidecar.upstreams.find(s.submit)
	if err != nil {
		return endOf(err)
	}
	release, err := upstream.admission.admit(ctx, s.submit)
	if err != nil {
		return endOf(err)
	}
	defer release()
	run := s.session.sidecar.crashes.enter(upstream)
	defer run.leave()
	watch := upstream.aside.arrive()
	defer watch.end()
	response, err := upstream.send(ctx, s.submit)
	if err != nil {
		return s.failed(ctx, run, err)
	}
	defer response.Body.Close()
	return s.forward(ctx, run, response, watch)
}

// forward sends the upstream's answer as far as the entry has given credit.
func (s *stream) forward(ctx context.Context, run crashRun, response *http.Response, watch *liveWatch) bhwire.End {
	head := bhwire.Head{Status: response.StatusCode, Header: response.Header}
	if err := s.session.link.SendMessage(ctx, bhwire.KindHead, s.id, head); err != nil {
		return endOf(asRan(err))
	}
	buffer := make([]byte, readSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			s.begun = true
			watch.token(time.Now())
			if err := s.data(ctx, buffer[:n]); err != nil {
				return endOf(asRan(err))
			}
			watch.passed(time.Now())
		}
		if errors.Is(err, io.EOF) {
			return s.whole(run.upstream)
		}
		if err != nil {
			return s.failed(ctx, run, asRan(err))
		}
	}
}

// whole is the end of a whole answer, with the news of the upstream's cache.
func (s *stream) whole(upstream *upstream) bhwire.End {
	end := bhwire.End{Ran: string(bhcode.RanYes)}
	if upstream.cache != nil && upstream.config.Name == s.submit.Upstream {
		changes := s.session.cacheChanges(upstream.cache)
		end.Cached, end.Evicted, end.Gap = changes.Cached, changes.Evicted, changes.Gap
	}
	return end
}

func (s *stream) data(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		n, err := s.credit.take(ctx, len(data))
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

// failed returns the end of a request that its upstream did not finish.
func (s *stream) failed(ctx context.Context, run crashRun, err error) bhwire.End {
	failure := bhcode.From(err)
	if ctx.Err() != nil {
		return endOf(s.interrupted(ctx, failure.Ran))
	}
	end := endOf(failure)
	if failure.Ran != bhcode.RanNo {
		run.crashed(s.submit, s.begun, &end)
	}
	bhlog.Problem(s.session.sidecar.logger, "upstream.failed", err, "upstream", run.upstream.config.Name, "id", s.submit.ID)
	return end
}

func (s *stream) interrupted(ctx context.Context, ran bhcode.Ran) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bhcode.New(bhcode.RunTimeout, "the deadline passed while the request ran").WithRan(ran)
	}
	return bhcode.New(bhcode.Cancelled, "cancelled while it ran").WithRan(ran)
}

// asRan marks err as the failure of a request that did run.
func asRan(err error) error {
	return bhcode.Wrap(err, bhcode.UpstreamFailed, "the answer broke off").WithRan(bhcode.RanYes)
}

func endOf(err error) bhwire.End {
	failure := bhcode.From(err)
	return bhwire.End{
		Code:    int(failure.Code),
		Message: failure.Error(),
		Ran:     string(failure.Ran),
		Retry:   failure.RetryAfter,
	}
}
