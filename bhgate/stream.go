package bhgate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhevent"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
)

// relayStream relays a stream of events as they arrive. A resumable stream that
// breaks is resumed at another upstream of the same version within the same answer.
func (c *call) relayStream(ctx context.Context, first *attempt) error {
	c.recordOrigin(first.instance)
	c.writeHead(first.answer, -1)
	c.flush()
	progress := c.newProgress()
	err := c.relayEvents(first, progress)
	if err == nil && !c.firstEventAt.IsZero() && c.choice.load.Slots > 0 && !full(c.choice.load) {
		c.gate.times.observe(first.instance.Service, c.firstEventAt.Sub(first.sentAt), time.Since(first.sentAt))
	}
	if err == nil || isReaderError(err) {
		return err
	}
	excluded := map[string]bool{first.instance.ID: true}
	first.close()
	for c.route.Resumable && progress.Resumable() && c.sends < c.route.MaxAttempts && ctx.Err() == nil {
		bhlog.Problem(c.gate.config.Logger, "stream.resume", err, "request", c.id, "after", progress.Last, "sends", c.sends)
		var retry bool
		if retry, err = c.resume(ctx, progress, excluded); !retry {
			return err
		}
	}
	return c.finalError(ctx, err, err)
}

// newProgress returns the progress of a new stream, or that of a stream that the client
// takes up, which must go on after the client's last event.
func (c *call) newProgress() *bhevent.Progress {
	progress := &bhevent.Progress{}
	if c.takesUp() {
		progress.Last = c.r.Header.Get(c.gate.config.Dialect.LastEvent)
		progress.Resume()
	}
	return progress
}

// resume continues the stream at another upstream after the last relayed event.
// It reports whether one more upstream may be tried.
func (c *call) resume(ctx context.Context, progress *bhevent.Progress, excluded map[string]bool) (bool, error) {
	service := c.chooseService()
	if err := c.refreshView(&service); err != nil {
		return false, err
	}
	if err := c.admitContent(ctx); err != nil {
		return false, bhcode.From(err).WithRan(bhcode.RanYes)
	}
	instance, err := c.chooseUpstream(ctx, service, excluded, true)
	if err != nil {
		return false, bhcode.From(err).WithRan(bhcode.RanYes)
	}
	excluded[instance.ID] = true
	defer c.gate.config.Balancer.Done(instance.ID)
	resumed, err := c.send(ctx, instance, progress.Last)
	if err != nil {
		return true, err
	}
	defer resumed.close()
	if err := resumed.checkRest(); err != nil {
		return true, err
	}
	progress.Resume()
	err = c.relayEvents(resumed, progress)
	return err != nil && !isReaderError(err), err
}

// relayEvents relays complete events until the stream ends. An incomplete event
// at the end of a broken stream is dropped.
func (c *call) relayEvents(current *attempt, progress *bhevent.Progress) error {
	memory := c.gate.config.Answers.Open(ownAnswer)
	defer memory.Close()
	reader := bhevent.NewReader(bhevent.ReaderConfig{
		Source: current.answer.Body, Progress: progress, EndsWithConnection: current.answer.Framing == bhforward.FramedByClose,
		Resize: memory.Resize,
	})
	for {
		events, err := reader.Next()
		if len(events) > 0 { // bytes that become no event are silence
			current.timer.stop() // a wait for the client isn't
			if failure := c.writeEvents(events); failure != nil {
				current.abandoned()
				return failure
			}
			current.timer.reset()
		}
		switch {
		case err == io.EOF:
			return nil
		case c.r.Context().Err() != nil:
			current.abandoned()
			return errClientGone
		case err != nil:
			err = bhcode.Wrap(err, bhcode.AnswerIncomplete, "stream of upstream "+current.instance.ID).WithRan(bhcode.RanYes)
			current.broke(err)
			return err
		}
	}
}

func (c *call) writeEvents(events []byte) error {
	c.engineWatch.answered()
	if c.firstEventAt.IsZero() {
		c.firstEventAt = time.Now()
	}
	return c.outbox().push(events)
}

func (c *call) flush() {
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		bhlog.Trace(c.gate.config.Logger, "flush.failed", "request", c.id, "err", err)
	}
}
