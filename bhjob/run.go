package bhjob

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhevent"
	"github.com/baobabhaven/baobabhaven/bhforward"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhtree"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

const (
	// refusedPause and brokenPause are how long an item rests after the engine
	// refused it or broke off.
	refusedPause = 200 * time.Millisecond
	brokenPause  = 400 * time.Millisecond
	// breaksLimit is how often the engine may break off before another one tries.
	breaksLimit = 3
	// stallLimit is the silence after which an engine counts as gone.
	stallLimit = 2500 * time.Millisecond
	// listPause is the first pause between attempts to list a result or to return
	// a claim while the store is away; it doubles up to listPauseMax.
	listPause    = 250 * time.Millisecond
	listPauseMax = time.Second

	// routeGoneAfter is how much newer than the claim a policy without the item's
	// route must be, since the gateway that took the job may know a newer one.
	routeGoneAfter = time.Second
)

// phase is what a run does.
type phase int

const (
	// paused runs hold a claim and have no request at the engine.
	paused phase = iota
	// running runs have a request at the engine.
	running
	// ending runs list their result or give their claim back.
	ending
)

// Outcomes of a request for an item.
var (
	errRefused  = errors.New("the engine refused the item")
	errFailed   = errors.New("the engine failed")
	errRejected = errors.New("the engine rejected the item for good")
	errMoved    = errors.New("the item no longer belongs to this engine")
	errNoRoute  = errors.New("the item's route is gone")
)

// run is an item that this runner claimed. Its fields are guarded by the
// runner's mutex, but for job and item, which don't change.
type run struct {
	runner  *Runner
	job     *Job
	item    Item
	claimed time.Duration

	phase phase
	saved Checkpoint
	// kept is the last event of the checkpoint in the store.
	kept    string
	text    []string
	flowing bool
	// stopping reports that the request at the engine is being cancelled.
	stopping  bool
	pausedAt  time.Time
	notBefore time.Time
	breaks    int
	cancel    context.CancelFunc
	// after is what to do when the request has ended: nil goes on with paused.
	after func()
}

// start sends the item, or the rest of it, to the engine.
func (u *run) start() {
	ctx, cancel := context.WithCancel(context.Background())
	u.phase, u.cancel, u.flowing, u.stopping, u.after = running, cancel, false, false, nil
	u.runner.ending.Go(func() {
		defer cancel()
		err := bhtree.Guard(ctx, u.send)
		u.runner.mu.Lock()
		defer u.runner.mu.Unlock()
		u.settle(ctx, err)
	})
}

// atEngine reports whether the engine has a request of the run that goes on.
func (u *run) atEngine() bool { return u.phase == running && !u.stopping }

// pause stops the request and keeps the claim.
func (u *run) pause(seen load) {
	bhlog.Event(u.runner.config.Logger, "item.paused", "item", u.item.ID, "job", u.job.ID, "after", u.saved.LastEvent,
		"running", seen.report.Running, "waiting", seen.report.Waiting, "announced", seen.reserved(), "age", u.runner.config.Clock.Now()-seen.sent)
	u.runner.metrics.paused.Inc(1)
	u.stopping = true
	u.cancel()
}

// drop stops the run and forgets the claim.
func (u *run) drop(reason string) {
	bhlog.Event(u.runner.config.Logger, "item.dropped", "item", u.item.ID, "job", u.job.ID, "reason", reason)
	u.stop(u.forget)
}

// release stops the run and gives the claim back with the output so far.
func (u *run) release(reason string) {
	if u.phase == ending || u.after != nil {
		return
	}
	bhlog.Event(u.runner.config.Logger, "item.released", "item", u.item.ID, "job", u.job.ID, "after", u.saved.LastEvent, "reason", reason)
	u.stop(func() { u.giveBack(false) })
}

func (u *run) stop(after func()) {
	switch u.phase {
	case paused:
		after()
	case running:
		u.after = after
		u.stopping = true
		u.cancel()
	}
}

// expire gives the item up.
func (u *run) expire() {
	bhlog.Event(u.runner.config.Logger, "item.expired", "item", u.item.ID, "job", u.job.ID, "expires", u.job.Expires)
	u.stop(func() { u.list(Result{ID: u.item.ID, Status: Dead}, "expired") })
}

func (u *run) forget() { delete(u.runner.runs, u.item.ID) }

// settle decides what follows the end of a request.
func (u *run) settle(ctx context.Context, err error) {
	switch {
	case u.after != nil && err != nil:
		u.phase = paused
		u.after()
	case err == nil:
		u.list(Result{ID: u.item.ID, Status: Completed, Text: u.output()}, "completed")
	case ctx.Err() != nil:
		u.rest(0)
	case errors.Is(err, errRejected), errors.Is(err, errNoRoute):
		u.list(Result{ID: u.item.ID, Status: Dead}, err.Error())
	case errors.Is(err, errFailed):
		u.fail()
	case errors.Is(err, errRefused):
		u.rest(refusedPause)
	case errors.Is(err, errMoved):
		u.giveBack(false)
	default:
		u.breaks++
		bhlog.Problem(u.runner.config.Logger, "item.broken", err, "item", u.item.ID, "job", u.job.ID, "after", u.saved.LastEvent, "breaks", u.breaks)
		if u.breaks >= breaksLimit {
			u.giveBack(false)
			return
		}
		u.rest(brokenPause)
	}
}

// rest keeps the run paused for at least the wait.
func (u *run) rest(wait time.Duration) {
	u.phase = paused
	u.pausedAt = time.Now()
	u.notBefore = u.pausedAt.Add(wait)
}

// fail counts a failure, or gives the item up after the last one.
func (u *run) fail() {
	state := u.job.item(u.item.ID)
	bhlog.Event(u.runner.config.Logger, "item.failed", "item", u.item.ID, "job", u.job.ID, "failures", state.Failures+1, "attempts", u.job.Attempts)
	if state.Failures+1 >= u.job.Attempts {
		u.list(Result{ID: u.item.ID, Status: Dead}, fmt.Sprintf("failed %d times", state.Failures+1))
		return
	}
	u.giveBack(true)
}

// list lists the result, again and again while the store is away.
func (u *run) list(result Result, reason string) {
	u.end(func(ctx context.Context) error {
		for pause := listPause; ; pause = min(2*pause, listPauseMax) {
			listed, err := u.runner.config.Jobs.RecordResult(ctx, u.job, u.runner.config.Holder, result)
			if err == nil {
				u.runner.metrics.listed(result.Status)
				bhlog.Event(u.runner.config.Logger, "item.ended", "item", u.item.ID, "job", u.job.ID, "status", result.Status, "reason", reason, "listed", listed)
				return nil
			}
			if bhcode.Is(err, bhcode.NotFound) {
				return err
			}
			bhlog.Problem(u.runner.config.Logger, "item.unlisted", err, "item", u.item.ID, "job", u.job.ID, "pause", pause)
			time.Sleep(pause)
		}
	})
}

// end runs the last step of the run beside the runner and forgets the run then.
// If the step fails, the next look finds a claim without a run.
func (u *run) end(step bhtree.Run) {
	u.phase = ending
	u.runner.ending.Go(func() {
		if err := bhtree.Guard(context.Background(), step); err != nil {
			bhlog.Problem(u.runner.config.Logger, "item.unended", err, "item", u.item.ID, "job", u.job.ID)
		}
		u.runner.mu.Lock()
		defer u.runner.mu.Unlock()
		u.forget()
	})
}

// checkpoint returns the output so far.
func (u *run) checkpoint() Checkpoint {
	return Checkpoint{LastEvent: u.saved.LastEvent, Text: u.output()}
}

// output returns the text so far.
func (u *run) output() string {
	if len(u.text) == 0 {
		return u.saved.Text
	}
	return strings.Join(u.text, "\n")
}

// giveBack gives the claim back with the output so far.
func (u *run) giveBack(failed bool) {
	release := ItemRelease{ID: u.item.ID, Failed: failed}
	if !failed {
		release.Checkpoint = u.checkpoint()
	}
	u.end(func(context.Context) error { return u.runner.giveBack(u.job, release) })
}

// giveBack returns a claim to the job's record. A claim that can't be returned
// lapses with this runner's beats, or is found by the next look.
func (r *Runner) giveBack(job *Job, release ItemRelease) error {
	var last error
	pause := listPause
	for range changeTries {
		if last = r.config.Jobs.Release(context.Background(), job, r.config.Holder, []ItemRelease{release}); last == nil {
			return nil
		}
		bhlog.Problem(r.config.Logger, "item.unreleased", last, "item", release.ID, "job", job.ID, "pause", pause)
		time.Sleep(pause)
		pause = min(2*pause, listPauseMax)
	}
	return errors.Wrapf(last, "%d attempts to release", changeTries)
}

// send makes one request for the item and takes in its events. A nil error
// means that the whole output is there.
func (u *run) send(ctx context.Context) error {
	instance, err := u.target()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(stallLimit, cancel)
	defer stall.Stop()
	answer, err := u.runner.config.Pool.Exchange(ctx, instance.Address, u.request(instance.ID))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	u.runner.metrics.sends.Inc(1)
	switch {
	case u.runner.config.Dialect.Refused(answer):
		if answer.Status == http.StatusMisdirectedRequest {
			return errMoved
		}
		return errRefused
	case answer.Status == http.StatusUnprocessableEntity:
		return errRejected
	case answer.Status == http.StatusInternalServerError:
		return errFailed
	case answer.Status != http.StatusOK:
		return errors.Errorf("status %d", answer.Status)
	}
	return u.receive(answer, stall)
}

// target returns the engine's instance if the item's route leads there.
func (u *run) target() (bhwatch.Instance, error) {
	instance, ok := u.runner.instance()
	view := u.runner.config.Policies.View()
	if !ok || view.Index == nil {
		return instance, errMoved
	}
	route := view.Index.Route(u.job.Host, u.item.Target)
	switch {
	case route == nil && view.Proof > u.claimed+routeGoneAfter:
		return instance, errNoRoute
	case route == nil || !route.Serves(instance.Service):
		return instance, errMoved
	}
	return instance, nil
}

// receive takes in events until the stream ends.
func (u *run) receive(answer *bhforward.Answer, stall *time.Timer) error {
	progress := &bhevent.Progress{Last: u.saved.LastEvent}
	if progress.Last != "" {
		progress.Resume()
	}
	reader := bhevent.NewReader(answer.Body, progress)
	for {
		events, err := reader.Next()
		stall.Reset(stallLimit)
		u.add(events, progress.Last)
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return bhcode.Wrap(err, bhcode.AnswerIncomplete, "stream of an item").WithRan(bhcode.RanYes)
		}
	}
}

// add takes in whole events, of which last is the id of the last one.
func (u *run) add(data []byte, last string) {
	if len(data) == 0 {
		return
	}
	u.runner.mu.Lock()
	defer u.runner.mu.Unlock()
	if len(u.text) == 0 && u.saved.Text != "" {
		u.text = []string{u.saved.Text}
		u.saved.Text = ""
	}
	for _, event := range bhevent.Parse(data) {
		u.text = append(u.text, strings.Join(event.Data, "\n"))
	}
	u.saved.LastEvent = last
	u.flowing = true
}

// request returns the request for the item, or for what is missing of its output.
func (u *run) request(instance string) *bhforward.Request {
	dialect := &u.runner.config.Dialect
	header := make(http.Header)
	for name, value := range u.item.Header {
		header.Set(name, value)
	}
	header = bhforward.EndToEnd(header, dialect.KeyHeader)
	header.Set(dialect.RequestID, u.item.ID)
	header.Set(dialect.Instance, instance)
	header.Set(dialect.Account, u.job.Account)
	u.runner.mu.Lock()
	last, left := u.saved.LastEvent, u.job.Expires-(u.runner.config.Clock.Now()+u.runner.skew)
	u.runner.mu.Unlock()
	header.Set(dialect.Deadline, strconv.FormatInt(max(1000, left.Milliseconds()), 10))
	if last != "" {
		header.Set(dialect.LastEvent, last)
	}
	return &bhforward.Request{
		Method:   http.MethodPost,
		Target:   u.item.Target,
		Host:     u.job.Host,
		Header:   header,
		Body:     u.item.Body,
		IDHeader: dialect.RequestID,
	}
}
