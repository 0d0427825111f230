package bhentry

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhonce"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	headerIdempotency = "Idempotency-Key"
	// maxBufferedBytes is the largest response body that is kept in memory.
	maxBufferedBytes = 4 << 20
	// ownAnswerBytes is what each answer may take of memory until it is whole, whatever others take.
	ownAnswerBytes = 64 << 10
)

// dispatchOnce runs a non-idempotent request with an idempotency key at most
// once. A resend of the key gets the stored response of the first run. ctx must
// not end when the caller disconnects, so that the run completes and a resend
// finds its response.
func (e *Entry) dispatchOnce(ctx context.Context, c echo.Context, submit bhwire.Submit, body []byte) error {
	deadline, _ := ctx.Deadline()
	claim, stored, err := e.idempotency.Claim(ctx, bhonce.Request{
		Account:  submit.Account,
		Key:      c.Request().Header.Get(headerIdempotency),
		Digest:   submit.Digest,
		Deadline: deadline,
	})
	if err != nil {
		return err
	}
	if stored != nil {
		bhlog.Event(e.logger, "request.repeated", "id", submit.ID)
		return writeResponse(c, *stored)
	}
	return e.dispatchClaimed(ctx, c, claim, submit, body)
}

// dispatchClaimed dispatches the request that holds the claim, then settles the
// claim: it stores the response, releases the key if the request certainly did
// not run, or else records an unknown outcome.
func (e *Entry) dispatchClaimed(ctx context.Context, c echo.Context, claim *bhonce.Claim, submit bhwire.Submit, body []byte) error {
	memory := e.answers.Open(ownAnswerBytes)
	defer memory.Close()
	sink := &bufferedSink{body: body, memory: memory}
	err := e.dispatch(ctx, submit, bhcrash.Traits{}, sink)
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(settleDeadline(ctx)))
	defer cancel()
	if err == nil {
		// The response is valid even if it couldn't be stored yet: the claim keeps
		// retrying in the background.
		if err := claim.Finish(settleCtx, sink.response()); err != nil {
			bhlog.Problem(e.logger, "claim.unsettled", err, "id", submit.ID)
		}
		return writeResponse(c, sink.response())
	}
	settle := claim.MarkUnknown
	if bhcode.From(err).Ran == bhcode.RanNo {
		settle = claim.Release
	}
	if err := settle(settleCtx); err != nil {
		bhlog.Problem(e.logger, "claim.unsettled", err, "id", submit.ID)
	}
	return err
}

// settleTimeout is how long a response waits at most for its claim to be
// settled.
const settleTimeout = 2 * time.Second

// settleDeadline returns the deadline for settling a claim: settleTimeout from
// now, or the deadline of ctx if that is still ahead and earlier.
func settleDeadline(ctx context.Context) time.Time {
	latest := time.Now().Add(settleTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(time.Now()) && deadline.Before(latest) {
		return deadline
	}
	return latest
}

// writeResponse writes a complete response to the caller.
func writeResponse(c echo.Context, response bhonce.Answer) error {
	header := c.Response().Header()
	for name, values := range response.Header {
		header[name] = values
	}
	c.Response().WriteHeader(response.Status)
	if _, err := c.Response().Write(response.Body); err != nil {
		return bhcode.Wrap(err, bhcode.Cancelled, "the caller left").WithRan(bhcode.RanYes)
	}
	return nil
}

// bufferedSink buffers the whole response. Nothing reaches the caller before
// the response is complete, so that each attempt can start over.
type bufferedSink struct {
	// body is the request body.
	body []byte
	// memory is what the response may take.
	memory *bhspool.Share
	status int
	header http.Header
	buffer bytes.Buffer
}

func (s *bufferedSink) beginAttempt() ([]byte, error) {
	s.status, s.header = 0, nil
	s.buffer.Reset()
	return s.body, nil
}

func (s *bufferedSink) writeHead(head bhwire.Head) error {
	s.status = head.Status
	s.header = make(http.Header)
	for name, values := range head.Header {
		if !slices.Contains(hopByHopHeaders, name) {
			s.header[name] = values
		}
	}
	return nil
}

func (s *bufferedSink) writeData(data []byte) error {
	if err := holdAnswer(s.memory, s.buffer.Len()+len(data)); err != nil {
		return err
	}
	s.buffer.Write(data)
	return nil
}

// holdAnswer takes memory for an answer of that many bytes. It returns TooLarge if no answer may have
// as many, and AnswerIncomplete if there is no memory for them.
func holdAnswer(memory *bhspool.Share, bytes int) error {
	if bytes > maxBufferedBytes {
		return bhcode.New(bhcode.TooLarge, "the answer is over %d bytes", maxBufferedBytes).WithRan(bhcode.RanYes)
	}
	if !memory.Resize(int64(bytes)) {
		return bhcode.New(bhcode.AnswerIncomplete, "the entry has no memory for an answer of %d bytes", bytes).WithRan(bhcode.RanYes)
	}
	return nil
}

func (s *bufferedSink) flush() {}

func (s *bufferedSink) finish() error { return nil }

func (s *bufferedSink) resumable() bool { return true }

func (s *bufferedSink) response() bhonce.Answer {
	return bhonce.Answer{Status: s.status, Header: s.header, Body: s.buffer.Bytes()}
}
