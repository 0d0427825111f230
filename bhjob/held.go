package bhjob

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhcrash"
	"github.com/baobabhaven/baobabhaven/bhevidence"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// maxHeldItems bounds the items that a runner remembers as held.
	maxHeldItems = 4096
	// maxHold is how long an item is held at most without a look at its traits, which
	// a run elsewhere may have cleared.
	maxHold = 2 * time.Second
	// minHold bounds how often an item is claimed in vain, which changes its job's
	// record.
	minHold = time.Second
)

// Crashes remembers under which requests and items upstreams ended, in the whole fleet.
type Crashes interface {
	// Admit decides whether an item with the traits may be sent. It returns a permit
	// if the item runs as a trial. The error is Withheld.
	Admit(ctx context.Context, traits bhcrash.Traits) (*bhevidence.Permit, error)
	// Lost reports that the connection to the engine broke while an item ran there.
	Lost(ctx context.Context, loss bhevidence.Loss)
	// Abandoned reports that the runner gave an item up at an engine that may go on with it.
	Abandoned(loss bhevidence.Loss)
	// Refused reports that nothing listens at the address of an engine's start.
	Refused(upstream bhcrash.Source)
	// Whole reports that an item with the traits completed.
	Whole(traits bhcrash.Traits)
	// Answered reports that events arrive for an item with the traits that was sent at the time. It
	// returns true if that clears the traits.
	Answered(traits bhcrash.Traits, sentAt time.Time) bool
	// Suspected reports whether engines ended more than once under the content or the
	// prompt of the traits.
	Suspected(traits bhcrash.Traits) bool
	// Withheld returns the error Withheld if an item with the traits may not run now.
	Withheld(traits bhcrash.Traits) error
}

// heldItem is an item that this runner doesn't claim for a while, since engines ended
// under it. It is owed all the same.
type heldItem struct {
	traits bhcrash.Traits
	// until is the earliest time to claim the item, whatever the status of its traits.
	until time.Time
}

// hold keeps the item from being claimed. The caller holds r.mu.
func (r *Runner) hold(item itemRef, traits bhcrash.Traits, wait time.Duration) {
	if len(r.held) >= maxHeldItems {
		for other := range r.held {
			if !r.isHeld(other) {
				delete(r.held, other)
			}
		}
	}
	if len(r.held) < maxHeldItems {
		r.held[item] = heldItem{traits: traits, until: time.Now().Add(min(max(wait, minHold), maxHold))}
	}
}

// isHeld reports whether the item may not be claimed yet, since engines ended under it. An
// item that may be given up is claimed for that. The caller holds r.mu.
func (r *Runner) isHeld(item itemRef) bool {
	held, ok := r.held[item]
	now := time.Now()
	return ok && now.Before(held.traits.Until) && (now.Before(held.until) || r.withheld(item) != nil)
}

// withheld returns the error Withheld, with the time of the next trial, if the item was held here
// and may not run yet. The caller holds r.mu.
func (r *Runner) withheld(item itemRef) error {
	held, ok := r.held[item]
	if !ok {
		return nil
	}
	return r.config.Crashes.Withheld(held.traits)
}

// traits returns the traits of the item's content and prompt. The caller holds the runner's
// mutex.
func (ir *itemRun) traits() bhcrash.Traits {
	header := ir.item.header(&ir.runner.config.Dialect)
	traits := bhcrash.Content{
		Account: ir.job.Account, Method: http.MethodPost, Host: ir.job.Host, Target: ir.item.Target, Body: ir.item.Body,
		Prompt: ir.runner.config.Dialect.WholePrompt(header), Parts: ir.runner.config.Dialect.SharedParts(header),
	}.Traits()
	traits.Until = time.Now().Add(ir.runner.expires(ir.job) - ir.runner.storeNow())
	return traits
}

// sendAdmitted sends the item if it may run by what happened to engines that ran its
// content, and records the outcome.
func (ir *itemRun) sendAdmitted(ctx context.Context) error {
	instance, err := ir.targetInstance()
	if err != nil {
		return err
	}
	ir.runner.mu.Lock()
	crashes, traits := ir.runner.config.Crashes, ir.traits()
	ir.runner.mu.Unlock()
	if crashes.Suspected(traits) {
		if !ir.runner.suspectRuns.CompareAndSwap(false, true) {
			return errSuspectRuns
		}
		defer ir.runner.suspectRuns.Store(false)
	}
	permit, err := crashes.Admit(ctx, traits)
	if err != nil {
		return err
	}
	if err := ir.runner.takeLimit(); err != nil {
		permit.Return()
		return err
	}
	ir.setTrial(permit != nil)
	defer ir.setTrial(false)
	bhlog.Event(ir.runner.config.Logger, "item.sent", "item", ir.item.ID, "job", ir.job.ID, "account", ir.job.Account, "upstream", instance.ID,
		"target", ir.item.Target, "body", bodyDigest(ir.item.Body), "content", traits.Content, "prompt", traits.Prompt, "parts", strings.Join(traits.Parts, ","))
	sentAt := time.Now()
	cleared := false
	err = ir.send(ctx, instance, func() { cleared = cleared || crashes.Answered(traits, sentAt) })
	if cleared {
		permit = nil
	}
	loss := bhevidence.Loss{
		Traits: traits, Upstream: bhcrash.Source{Host: instance.ID, Incarnation: uint64(instance.Born)}, Address: instance.Address,
		SentAt: sentAt, Permit: permit,
	}
	if err == nil {
		crashes.Whole(traits)
		return nil
	}
	ir.runner.recordFailure(ctx, crashes, instance, loss, err)
	return err
}

// recordFailure records what the error of a run says about the engine, and returns the permit
// of a trial that has no outcome.
func (r *Runner) recordFailure(ctx context.Context, crashes Crashes, instance bhwatch.Instance, loss bhevidence.Loss, err error) {
	counts := loss.Permit != nil || r.serves(instance)
	switch {
	case counts && ctx.Err() != nil && bhcode.From(err).Ran != bhcode.RanNo:
		crashes.Abandoned(loss)
	case counts && ctx.Err() == nil && connectionBroke(err):
		crashes.Lost(ctx, loss)
	default:
		if counts && errors.Is(err, syscall.ECONNREFUSED) {
			crashes.Refused(loss.Upstream)
		}
		loss.Permit.Return()
	}
}

// setTrial notes whether the run is a trial. A trial isn't paused: without an outcome the
// item would reach engines once more than is allowed.
func (ir *itemRun) setTrial(trial bool) {
	ir.runner.mu.Lock()
	defer ir.runner.mu.Unlock()
	ir.trial = trial
}

// bodyDigest returns a short digest of the body, by which logs tell bodies apart.
func bodyDigest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// holdBack releases the claim of an item that may not run before the time that the
// error tells. The caller holds the runner's mutex.
func (ir *itemRun) holdBack(err error) {
	wait := bhcode.From(err).RetryAfter
	bhlog.Problem(ir.runner.config.Logger, "item.held", err, "item", ir.item.ID, "job", ir.job.ID, "after", ir.checkpoint.LastEvent, "wait", wait)
	ir.runner.hold(ir.ref(), ir.traits(), wait)
	ir.releaseClaim(false)
}

// connectionBroke reports whether the connection to the engine broke after the item was
// sent.
func connectionBroke(err error) bool {
	return bhcode.From(err).Ran != bhcode.RanNo && (bhcode.Is(err, bhcode.UpstreamLost) || bhcode.Is(err, bhcode.AnswerIncomplete))
}

// serves reports whether the list has this start of the instance as ready.
func (r *Runner) serves(instance bhwatch.Instance) bool {
	view := r.config.Policies.View()
	return view.Serves(instance)
}
