package bhgate

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhguard"
	"github.com/baobabhaven/baobabhaven/bhserve"
	"github.com/baobabhaven/baobabhaven/bhspool"
)

// headCopies is how many copies of a request's head the gateway makes to forward it.
const headCopies = 3

// outbox returns the call's outbox, which it creates for the first part of the answer.
func (c *call) outbox() *outbox {
	if c.out == nil {
		c.out = newOutbox(c.w, c.gate.config.Budget)
	}
	return c.out
}

// endAnswer waits until the client has read what the call wrote of an answer, or drops
// the rest if err says that the client is gone. It returns the error of the call. What is
// held for the call is freed.
func (c *call) endAnswer(err error) error {
	if c.bodyHolding != nil {
		c.bodyHolding.Close()
	}
	if c.out == nil {
		return err
	}
	failure := c.out.close(isReaderError(err))
	c.bytes = c.out.progress()
	c.gate.metrics.observeBudget(c.gate.config.Budget.Usage())
	if err == nil {
		return failure
	}
	return err
}

// bufferLimit returns how much of the answer may be read before any of it is sent: less
// than bufferLimit if the gateway already holds too much for its clients.
func (c *call) bufferLimit(answer *bhforward.Answer) int64 {
	limit := int64(bufferLimit)
	if answer.Length >= 0 {
		limit = min(limit, answer.Length+1) // one more, so that its end is seen
	}
	if c.gate.config.Budget.Full(limit) {
		return min(limit, bhspool.Guaranteed)
	}
	return limit
}

// holdHead takes memory for the copies of the request's head. It returns a HeadTooLarge error if
// the head is longer than the policy allows, and Overloaded if there is no room.
func (c *call) holdHead() error {
	limit := c.view.Index.Policy.Limits.HeadBytes
	if limit <= 0 {
		limit = bhserve.DefaultHeadBytes
	}
	if size := bhguard.HeadBytes(c.r); size > limit {
		return bhcode.New(bhcode.HeadTooLarge, "the head has %d bytes of at most %d", size, limit)
	}
	if !bhserve.HoldHead(c.r.Context(), headCopies*bhguard.CopyCost(c.r)) {
		return bhcode.New(bhcode.Overloaded, "the gateway holds too much for its clients to take a head of %d fields", len(c.r.Header)).WithRetryAfter(unavailableRetryAfter)
	}
	return nil
}

// readHeld reads the request's body, of limit bytes at most, as far as the gateway may
// hold it. It returns an Overloaded error if not, and a timeout once the call's deadline
// has passed.
func (c *call) readHeld(limit int64) ([]byte, error) {
	if c.r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(c.deadline)
	aborted := make(chan struct{})
	detach := context.AfterFunc(c.gate.ended, func() {
		defer close(aborted)
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	c.bodyHolding = c.gate.config.Budget.OpenBody()
	body, err := bhserve.Body{Source: http.MaxBytesReader(c.w, c.r.Body, limit), Length: c.r.ContentLength, Hold: c.holdBody}.Read(c.r.Context())
	if !detach() {
		<-aborted
	}
	if err == nil { // otherwise the server would wait for the rest of the body
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// holdBody takes the bytes for the request's body from the budget.
func (c *call) holdBody(bytes int64) error {
	if c.bodyHolding.Grow(bytes) == bhspool.Granted {
		return nil
	}
	return bhcode.New(bhcode.Overloaded, "the gateway holds too much for its clients to take a body of %d bytes more", bytes).WithRetryAfter(unavailableRetryAfter)
}

// isTimeout reports whether err is that of a connection whose deadline passed.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
