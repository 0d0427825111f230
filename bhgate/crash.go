package bhgate

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// Crashes remembers under which requests upstreams ended, in the whole fleet.
type Crashes interface {
	// Withheld returns the error Withheld if a request with the traits may not be sent
	// now, not even as a trial.
	Withheld(traits bhcrash.Traits) error
	// Admit decides whether a request with the traits may be sent. It returns a permit
	// if the request runs as a trial. The error is Withheld.
	Admit(ctx context.Context, traits bhcrash.Traits) (*bhevidence.Permit, error)
	// Lost reports that the connection to an upstream broke while a request ran there.
	Lost(ctx context.Context, loss bhevidence.Loss)
	// Abandoned reports that a request was given up at an upstream that may go on with it.
	Abandoned(loss bhevidence.Loss)
	// Refused reports that nothing listens at the address of an upstream's start.
	Refused(upstream bhcrash.Source)
	// Whole reports that an upstream answered a request with the traits completely.
	Whole(traits bhcrash.Traits)
}

// content returns the content of the request, once its body was read.
func (c *call) content() bhcrash.Content {
	return bhcrash.Content{
		Account: c.accountName(), Method: c.r.Method, Host: c.r.Host, Target: c.r.RequestURI, Body: c.body,
		Prompt: c.gate.config.Dialect.WholePrompt(c.r.Header), Parts: c.gate.config.Dialect.SharedParts(c.r.Header),
	}
}

// admitContent decides whether the call may be sent to an upstream, by what happened
// to others that ran the same content or the same parts of a prompt.
func (c *call) admitContent(ctx context.Context) error {
	if c.permit != nil {
		return nil
	}
	permit, err := c.gate.config.Crashes.Admit(ctx, c.traits)
	c.permit = permit
	return err
}

// upstreamBroke records that the connection to the instance broke with err while the
// call ran there, unless the instance was leaving anyway. If this gateway ended the attempt
// itself, the instance may still run the call.
func (c *call) upstreamBroke(ctx context.Context, instance bhwatch.Instance, sentAt time.Time, err error) {
	view := c.gate.config.Policies.View()
	switch {
	case !view.Serves(instance):
	case errors.Is(err, syscall.ECONNREFUSED):
		c.gate.config.Crashes.Refused(sourceOf(instance))
	case bhcode.From(err).Ran == bhcode.RanNo:
	case ctx.Err() != nil:
		c.gate.config.Crashes.Abandoned(c.takeLoss(instance, sentAt))
	default:
		c.gate.config.Crashes.Lost(ctx, c.takeLoss(instance, sentAt))
	}
}

// upstreamAbandoned records that this gateway ended the attempt because of the client, while
// the instance sent its answer.
func (c *call) upstreamAbandoned(instance bhwatch.Instance, sentAt time.Time) {
	if view := c.gate.config.Policies.View(); view.Serves(instance) {
		c.gate.config.Crashes.Abandoned(c.takeLoss(instance, sentAt))
	}
}

// takeLoss returns the loss of an attempt, with the call's permit, which it takes.
func (c *call) takeLoss(instance bhwatch.Instance, sentAt time.Time) bhevidence.Loss {
	loss := bhevidence.Loss{Traits: c.traits, Upstream: sourceOf(instance), Address: instance.Address, SentAt: sentAt, Permit: c.permit}
	c.permit = nil
	return loss
}

// sourceOf returns the start of an upstream for evidence.
func sourceOf(instance bhwatch.Instance) bhcrash.Source {
	return bhcrash.Source{Host: instance.ID, Incarnation: uint64(instance.Born)}
}

// endContent reports a complete answer of an upstream to the call, and returns the
// permit of a trial that has no outcome.
func (c *call) endContent(err error) {
	if err == nil && c.sends > 0 && c.status < http.StatusInternalServerError {
		c.gate.config.Crashes.Whole(c.traits)
		return
	}
	c.permit.Return()
}
