package bhentry

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhonce"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	headerIdempotency = "Idempotency-Key"
	// maxKeptAnswer is the largest answer in bytes that is kept for resends.
	maxKeptAnswer = 4 << 20
)

// keyed runs a non-idempotent request with an idempotency key at most once.
// The run doesn't end when its caller leaves, so that a resend finds the
// answer.
func (e *Entry) keyed(ctx context.Context, c echo.Context, submit bhwire.Submit, body []byte) error {
	deadline, _ := ctx.Deadline()
	claim, answer, err := e.once.Claim(ctx, bhonce.Request{
		Account:  submit.Account,
		Key:      c.Request().Header.Get(headerIdempotency),
		Digest:   submit.Digest,
		Deadline: deadline,
	})
	if err != nil {
		return err
	}
	if answer != nil {
		bhlog.Event(e.logger, "request.repeated", "id", submit.ID)
		return writeAnswer(c, *answer)
	}
	return e.runClaimed(ctx, c, claim, submit, body)
}

func (e *Entry) runClaimed(ctx context.Context, c echo.Context, claim *bhonce.Claim, submit bhwire.Submit, body []byte) error {
	kept := &keptAnswer{body: body}
	err := e.dispatch(ctx, submit, kept)
	settling, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(settleBy(ctx)))
	defer cancel()
	if err == nil {
		// The answer is true even if keeping it goes on in the background.
		if err := claim.Finish(settling, kept.answer()); err != nil {
			bhlog.Problem(e.logger, "claim.unsettled", err, "id", submit.ID)
		}
		return writeAnswer(c, kept.answer())
	}
	end := claim.MarkUnknown
	if bhcode.From(err).Ran == bhcode.RanNo {
		end = claim.Release
	}
	if err := end(settling); err != nil {
		bhlog.Problem(e.logger, "claim.unsettled", err, "id", submit.ID)
	}
	return err
}

// settleTimeout bounds how long an answer waits for its claim to be settled.
const settleTimeout = 2 * time.Second

func settleBy(ctx context.Context) time.Time {
	by := time.Now().Add(settleTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.After(time.Now()) && deadline.Before(by) {
		return deadline
	}
	return by
}

func writeAnswer(c echo.Context, answer bhonce.Answer) error {
	header := c.Response().Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	c.Response().WriteHeader(answer.Status)
	if _, err := c.Response().Write(answer.Body); err != nil {
		return bhcode.Wrap(err, bhcode.Cancelled, "the caller left").WithRan(bhcode.RanYes)
	}
	return nil
}

// keptAnswer holds a whole answer back until it is complete.
type keptAnswer struct {
	body   []byte
	status int
	header http.Header
	bytes  bytes.Buffer
}

func (a *keptAnswer) begin() ([]byte, error) {
	a.status, a.header = 0, nil
	a.bytes.Reset()
	return a.body, nil
}

func (a *keptAnswer) head(head bhwire.Head) error {
	a.status = head.Status
	a.header = make(http.Header)
	for name, values := range head.Header {
		if !slices.Contains(hopHeaders, name) {
			a.header[name] = values
		}
	}
	return nil
}

func (a *keptAnswer) data(data []byte) error {
	if a.bytes.Len()+len(data) > maxKeptAnswer {
		return bhcode.New(bhcode.TooLarge, "the answer is over %d bytes", maxKeptAnswer).WithRan(bhcode.RanYes)
	}
	a.bytes.Write(data)
	return nil
}

func (a *keptAnswer) flush() {}

func (a *keptAnswer) end() error { return nil }

func (a *keptAnswer) resumable() bool { return true }

func (a *keptAnswer) answer() bhonce.Answer {
	return bhonce.Answer{Status: a.status, Header: a.header, Body: a.bytes.Bytes()}
}
