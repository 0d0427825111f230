package bhgate

import (
	"context"
	"io"
	"net/http"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhevent"
	"github.com/baobabhaven/baobabhaven/bhlog"
)

// relayStream passes on a stream of events as they come. A resumable stream
// that breaks goes on at another upstream within the same answer.
func (c *call) relayStream(ctx context.Context, first *attempt) error {
	c.writeHead(first.answer, -1)
	c.flush()
	progress := &bhevent.Progress{}
	err := c.relayEvents(first, progress)
	if err == nil || err == errClientGone {
		return err
	}
	excluded := map[string]bool{first.instance.ID: true}
	first.close()
	for c.route.Resumable && progress.Last != "" && c.sends < c.route.MaxAttempts && ctx.Err() == nil {
		bhlog.Problem(c.gate.config.Logger, "stream.resume", err, "request", c.id, "after", progress.Last, "sends", c.sends)
		var again bool
		if again, err = c.resume(ctx, progress, excluded); !again {
			return err
		}
	}
	return c.giveUp(ctx, err, err)
}

// resume goes on with the stream at another upstream. It reports whether one
// more may be tried.
func (c *call) resume(ctx context.Context, progress *bhevent.Progress, excluded map[string]bool) (bool, error) {
	service := c.chooseService()
	if err := c.reconsider(&service); err != nil {
		return false, err
	}
	instance, ok := c.choose(ctx, service, excluded)
	if !ok {
		return false, bhcode.New(bhcode.NoUpstream, "service %q has no upstream left", service).WithRan(bhcode.RanYes)
	}
	excluded[instance.ID] = true
	defer c.gate.config.Balancer.Done(instance.ID)
	next, err := c.send(ctx, instance, progress.Last)
	if err != nil {
		return true, err
	}
	defer next.close()
	if next.answer.Status != http.StatusOK {
		return true, bhcode.New(bhcode.UpstreamFailed, "upstream %s answered %d", instance.ID, next.answer.Status).WithRan(bhcode.RanYes)
	}
	progress.Resume()
	err = c.relayEvents(next, progress)
	return err != nil && err != errClientGone, err
}

// relayEvents passes on whole events until the stream ends. What follows the
// last whole event of a broken stream is dropped.
func (c *call) relayEvents(current *attempt, progress *bhevent.Progress) error {
	reader := bhevent.NewReader(current.answer.Body, progress)
	for {
		events, err := reader.Next()
		if err == nil {
			current.patience.touch()
		}
		if failure := c.writeEvents(events); failure != nil {
			return failure
		}
		switch {
		case err == io.EOF:
			return nil
		case c.r.Context().Err() != nil:
			return errClientGone
		case err != nil:
			return bhcode.Wrap(err, bhcode.AnswerIncomplete, "stream of upstream "+current.instance.ID).WithRan(bhcode.RanYes)
		}
	}
}

func (c *call) writeEvents(events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if err := c.write(events); err != nil {
		return err
	}
	c.flush()
	return nil
}

func (c *call) flush() {
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		bhlog.Trace(c.gate.config.Logger, "flush.failed", "request", c.id, "err", err)
	}
}
