package bhjob

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhevent"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhspool"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// stallTimeout is the time without data after which a request is cancelled.
	stallTimeout = 2500 * time.Millisecond

	// routeGoneAfter is how much newer than the claim the policy must be before
	// a missing route counts as removed. The gateway that accepted the job may
	// have a newer policy, with a route that this runner doesn't know yet.
	routeGoneAfter = time.Second
)

// phase is the phase of a run.
type phase int

const (
	// paused runs hold a claim and have no request at the engine.
	paused phase = iota
	// running runs have a request at the engine.
	running
	// ending runs record their result or release their claim.
	ending
)

// names are what logs call the phases.
func (p phase) String() string { return [...]string{"paused", "running", "ending"}[p] }

// Outcomes of a request for an item. Other errors count as interruptions.
var (
	errRefused = errors.New("the engine refused the item")
	// errSuspectRuns means that another item under which engines ended runs here. Two that
	// ran together each time couldn't be told apart.
	errSuspectRuns = errors.New("another suspect item runs at the engine")
	errFailed      = errors.New("the engine failed")
	errRejected    = errors.New("the engine rejected the item for good")
	errNotServed   = errors.New("the item's route does not lead to this engine")
	errOtherEngine = errors.New("another engine has the address")
	errNoRoute     = errors.New("the item's route no longer exists")
	// errRouteUnknown means that the item's route doesn't exist, as far as a policy tells
	// that may be older than the one of the gateway that took the job.
	errRouteUnknown = errors.New("the item's route is not known yet")
)

// itemRun is the run of an item that this runner claimed. The runner's mutex
// guards its fields except runner, job, item and claimedAt, which don't change.
type itemRun struct {
	runner    *Runner
	job       *Job
	item      Item
	claimedAt time.Duration

	phase phase
	// checkpoint is the loaded checkpoint. Its LastEvent advances with each
	// event, and its Text moves to text at the first event.
	checkpoint Checkpoint
	// savedEvent is the last event of the checkpoint that was last passed on
	// for saving.
	savedEvent string
	text       []string
	textBytes  int
	// memory is what the output takes of RunnerConfig.Outputs; nil if it had none yet.
	memory *bhspool.Share
	// unplaced reports that the output ends with an event without an ID, so that no engine can
	// resume it.
	unplaced bool
	// events counts the events of the output so far, and runTime is how long
	// requests for the item have run, without the present one. resumed reports
	// that the output began at another runner.
	events    int
	runTime   time.Duration
	startedAt time.Time
	resumed   bool
	// streaming reports that an event has arrived since the last start.
	streaming bool
	// trial reports that the present request is a trial of what engines ended under.
	trial bool
	// stopping reports that the request to the engine is being cancelled.
	stopping bool
	// pausedAt is when the run was claimed, or last paused after a request that ran.
	pausedAt time.Time
	// notBefore is the earliest time to start the run again.
	notBefore     time.Time
	interruptions int
	cancel        context.CancelFunc
	// onStopped is called once the cancelled request has ended. Nil leaves the
	// run paused.
	onStopped func()
}

// start sends the item to the engine, and resumes after the last received
// event.
func (ir *itemRun) start() {
	ctx, cancel := context.WithCancel(context.Background())
	ir.phase, ir.cancel, ir.streaming, ir.stopping, ir.onStopped = running, cancel, false, false, nil
	ir.startedAt = time.Now()
	ir.runner.tasks.Go(func() {
		defer cancel()
		err := bhtree.Guard(ctx, ir.sendAdmitted)
		ir.runner.mu.Lock()
		defer ir.runner.mu.Unlock()
		ir.runTime += time.Since(ir.startedAt)
		if err != nil && ir.onStopped == nil {
			ir.runner.note(ir.ref(), err.Error())
		}
		ir.handleOutcome(ctx, err)
	})
}

// urgency returns the run's urgency at now, by the store's clock.
func (ir *itemRun) urgency(now time.Duration) urgency {
	return newUrgency(ir.job.Due, now, ir.runner.runTimes.remaining(ir.item.Tokens, ir.events))
}

// atEngine reports whether the run has a request at the engine that isn't being
// cancelled.
func (ir *itemRun) atEngine() bool { return ir.phase == running && !ir.stopping }

// pause cancels the request and keeps the claim. The current load is logged.
func (ir *itemRun) pause(current engineLoad) {
	bhlog.Event(ir.runner.config.Logger, "item.paused", "item", ir.item.ID, "job", ir.job.ID, "after", ir.checkpoint.LastEvent,
		"running", current.report.Running, "waiting", current.report.Waiting, "announced", current.reserved(), "age", ir.runner.config.Clock.Now()-current.requestedAt)
	ir.runner.metrics.paused.Inc(1)
	ir.stopping = true
	ir.cancel()
}

// drop stops the run without releasing the claim, which the runner no longer
// holds.
func (ir *itemRun) drop(reason string) {
	bhlog.Event(ir.runner.config.Logger, "item.dropped", "item", ir.item.ID, "job", ir.job.ID, "reason", reason)
	ir.stop(ir.remove)
}

// release stops the run and releases the claim with a checkpoint. It does
// nothing if the run is ending or being stopped.
func (ir *itemRun) release(reason string) {
	if ir.phase == ending || ir.onStopped != nil {
		return
	}
	bhlog.Event(ir.runner.config.Logger, "item.released", "item", ir.item.ID, "job", ir.job.ID, "after", ir.checkpoint.LastEvent, "reason", reason)
	ir.runner.note(ir.ref(), reason)
	ir.stop(func() { ir.releaseClaim(false) })
}

// stop cancels the request if there is one, and calls onStopped once it has
// ended. It does nothing if the run is ending.
func (ir *itemRun) stop(onStopped func()) {
	switch ir.phase {
	case paused:
		onStopped()
	case running:
		ir.onStopped = onStopped
		ir.stopping = true
		ir.cancel()
	}
}

// expire stops the run and records the item as dead. The store's clock reads now.
func (ir *itemRun) expire(now time.Duration) {
	bhlog.Event(ir.runner.config.Logger, "item.expired", "item", ir.item.ID, "job", ir.job.ID,
		"accepted", ir.job.Accepted, "expires", ir.runner.expires(ir.job), "now", now)
	ir.stop(func() { ir.recordResult(Result{ID: ir.item.ID, Status: Dead}, "expired") })
}

// ref names the run's item.
func (ir *itemRun) ref() itemRef { return refOf(ir.job, ir.item.ID) }

func (ir *itemRun) remove() {
	ir.freeOutput()
	delete(ir.runner.runs, ir.ref())
}

// send makes one request for the item to the engine and receives its events. It calls answered
// for those after which the item can be resumed. A nil error means that the output is complete.
func (ir *itemRun) send(ctx context.Context, instance bhwatch.Instance, answered func()) error {
	ir.bindOutput(instance)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	sentAt, asked := time.Now(), ir.runner.config.Clock.Now()
	request := ir.newRequest(instance.ID)
	request.Progress = func() { stall.Reset(stallTimeout) }
	answer, err := ir.runner.config.Pool.Exchange(ctx, instance.Address, request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	if answer.Status != http.StatusMisdirectedRequest {
		ir.runner.observeLimit(instance, answer.Header.Values(ir.runner.config.Dialect.Limit), sentAt)
	}
	ir.runner.metrics.sends.Inc(1)
	if ir.runner.config.Dialect.IsLeaving(answer) {
		ir.runner.config.Policies.MarkLeaving(instance)
	}
	if answer.Status != http.StatusOK {
		bhlog.Event(ir.runner.config.Logger, "item.answered", "item", ir.item.ID, "job", ir.job.ID, "upstream", instance.ID, "status", answer.Status,
			"took", time.Since(sentAt), "reused", answer.Reused, "skipped", answer.Skipped)
	}
	switch {
	case ir.runner.config.Dialect.Refused(answer):
		if occupant, misdirected := ir.runner.config.Dialect.Misdirected(answer, instance.ID); misdirected {
			ir.runner.config.Policies.ObserveOccupant(instance, occupant, asked)
			return errors.Wrapf(errOtherEngine, "%s asked, %q answered", instance.ID, occupant)
		}
		return errRefused
	case answer.Status == http.StatusUnprocessableEntity:
		return errRejected
	case answer.Status == http.StatusInternalServerError:
		return errFailed
	}
	if err := bhevent.CheckHead(answer.Status, answer.Header); err != nil {
		return errors.WithMessage(err, "the engine's answer")
	}
	return ir.receiveEvents(answer, stall, answered)
}

// targetInstance returns the engine's instance. The error is errNotServed if the route of
// the item's job doesn't lead to it or it takes no new requests, errNoRoute if the route
// was removed, and errRouteUnknown if the policy is too old to tell. The item's path says
// nothing: routes with prefixes below the job's may have been added since, and lead
// elsewhere.
func (ir *itemRun) targetInstance() (bhwatch.Instance, error) {
	instance, ok := ir.runner.engineInstance()
	view := ir.runner.config.Policies.View()
	if !ok || view.Index == nil {
		return instance, errNotServed
	}
	route := view.Index.RouteNamed(ir.job.Route)
	switch {
	case route == nil && view.ProvenAt > ir.claimedAt+routeGoneAfter:
		return instance, errors.Wrapf(errNoRoute, "policy %d, in force %s after the claim", view.Index.Policy.Version, view.ProvenAt-ir.claimedAt)
	case route == nil:
		return instance, errRouteUnknown
	case !route.Serves(instance.Service) || ir.runner.takesNone(instance):
		return instance, errNotServed
	}
	return instance, nil
}

// newRequest returns the request for the item, or for the part of its output
// after the last received event.
func (ir *itemRun) newRequest(instance string) *bhforward.Request {
	dialect := &ir.runner.config.Dialect
	header := ir.item.header(dialect)
	header.Set(dialect.RequestID, ir.item.ID)
	header.Set(dialect.Instance, instance)
	header.Set(dialect.Account, ir.job.Account)
	ir.runner.mu.Lock()
	lastEvent, remaining := ir.checkpoint.LastEvent, ir.runner.expires(ir.job)-ir.runner.storeNow()
	ir.runner.mu.Unlock()
	header.Set(dialect.Deadline, strconv.FormatInt(max(1000, remaining.Milliseconds()), 10))
	if lastEvent != "" {
		header.Set(dialect.LastEvent, lastEvent)
	}
	return &bhforward.Request{
		Method:   http.MethodPost,
		Target:   ir.item.Target,
		Host:     ir.job.Host,
		Header:   header,
		Body:     ir.item.Body,
		IDHeader: dialect.RequestID,
		MaxRest:  bhforward.AnyRest, // an item that breaks is sent again
	}
}
