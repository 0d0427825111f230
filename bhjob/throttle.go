package bhjob

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwatch"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// reportInterval is the time between two reads of the engine's load. A live
	// request that finds all slots occupied waits for about that long.
	reportInterval = 40 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// startCooldown is the time after a pause during which no item is started.
	startCooldown = 150 * time.Millisecond
	// maxPause is how long an item without a request at the engine stays claimed
	// before the runner releases it for other engines.
	maxPause = 2500 * time.Millisecond
)

// AdjustToLoad fits the number of running items to the engine's load until ctx
// is done: it pauses items when live requests wait, and resumes them when slots
// are free.
func (r *Runner) AdjustToLoad(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reached := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		requestedAt, sentAt := r.config.Clock.Now(), time.Now()
		report, err := r.readReport(ctx)
		if (err == nil) != reached && ctx.Err() == nil {
			reached = err == nil
			if reached {
				bhlog.Event(r.config.Logger, "engine.regained", "address", r.config.Address())
			} else {
				bhlog.Problem(r.config.Logger, "engine.lost", err, "address", r.config.Address())
			}
		}
		if err == nil && report.Born != 0 {
			r.config.Policies.ObserveStart(r.config.Address(), report.Born, requestedAt)
		}
		if instance, listed := r.engineInstance(); err == nil && listed {
			r.observeLimit(instance, report.Limit, sentAt)
			r.observeCold(instance, report)
		}
		r.applyReport(report, err == nil, requestedAt)
	}
}

func (r *Runner) readReport(ctx context.Context) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return r.config.Engine.Report(ctx, r.config.Address())
}

// applyReport pauses, resumes or releases items according to a report that was
// requested at requestedAt. If ok is false, the report could not be read.
func (r *Runner) applyReport(report LoadReport, ok bool, requestedAt time.Duration) {
	instance, listed := r.reportedInstance(report, ok)
	mayStart := r.mayStart()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots, r.leaving = 0, listed && r.takesNone(instance)
	switch {
	case r.leaving:
		r.freeSlots = 0
		r.leave(instance)
		return
	case listed:
		r.slots = instance.Slots
	}
	if !ok || !listed {
		r.freeSlots = 0
		r.releaseLongPaused()
		return
	}
	active, starting := r.countActive()
	r.load.update(report, active, requestedAt)
	waiting := report.Waiting - starting
	switch {
	case waiting > 0 && active > 0:
		r.freeSlots = 0
		r.pauseLeastUrgent(min(waiting, active))
	case report.Waiting > 0 || time.Since(r.lastPauseAt) < startCooldown || !mayStart || r.closed:
		r.freeSlots = 0
	default:
		r.freeSlots = max(0, instance.Slots-max(report.Running, active)-r.load.reserved())
		r.resumePaused()
	}
	r.releaseLongPaused()
	r.metrics.updateGauges(active, len(r.runs), report)
	if r.freeSlots > 0 {
		select {
		case r.claimSignal <- struct{}{}:
		default:
		}
	}
}

// takesNone reports whether the engine takes no new requests: it is draining, or its data
// centre is evacuated.
func (r *Runner) takesNone(instance bhwatch.Instance) bool {
	return instance.Draining || r.config.Policies.View().Evacuated[instance.Zone]
}

// leave releases the runs of an engine that takes no new requests, so that other engines go
// on with them. If its data centre is evacuated and no other engine is left, those at the
// engine run to their end.
func (r *Runner) leave(instance bhwatch.Instance) {
	view := r.config.Policies.View()
	elsewhere := slices.ContainsFunc(view.Available(instance.Service), func(other bhwatch.Instance) bool { return !other.Draining })
	for _, run := range r.runs {
		switch {
		case instance.Draining:
			run.release("the engine is draining")
		case elsewhere || !run.atEngine():
			run.release("the data centre is evacuated")
		}
	}
}

// reportedInstance returns the engine's instance, or false if the fleet doesn't list
// it. The instance is draining from the first report on that says that it leaves.
func (r *Runner) reportedInstance(report LoadReport, ok bool) (bhwatch.Instance, bool) {
	instance, listed := r.engineInstance()
	if ok && listed && report.Leaving {
		r.config.Policies.MarkLeaving(instance)
		instance.Draining = true
	}
	return instance, listed
}

// RegisterHandlers adds handlers to the socket that answer gateways' questions
// about the engine's free capacity, and accept their announcements of live
// requests and their reports of faults. It must be called before the socket runs.
func (r *Runner) RegisterHandlers(socket *bhpeer.Socket) {
	socket.Handle(bhwire.KindAsk, func(bhwire.Frame) (bhwire.Kind, any) { return bhwire.KindRoom, r.capacity() })
	socket.Handle(bhwire.KindReserve, func(frame bhwire.Frame) (bhwire.Kind, any) {
		r.reserve(r.decodeReserve(frame))
		return "", nil
	})
	socket.Handle(bhwire.KindFault, func(bhwire.Frame) (bhwire.Kind, any) {
		r.reportFault()
		return "", nil
	})
}

// capacity returns the engine's slots and how many of them live requests and
// items use.
func (r *Runner) capacity() bhwire.Room {
	limits, asked := r.config.Limits, time.Now()
	limit, newest, cold := limits.Look(bhcap.RunnersEngine, asked), limits.Newest(bhcap.RunnersEngine), limits.Cold(bhcap.RunnersEngine, asked)
	var heard time.Duration
	if !newest.At.IsZero() {
		heard = max(1, asked.Sub(newest.At))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	active, _ := r.countActive()
	now := r.config.Clock.Now()
	live := r.load.live()
	return bhwire.Room{
		Leaving: r.leaving, Suspect: r.suspicion.active(now), Slots: r.slots, Live: live, Callers: r.contenders(live, now), Oldest: r.oldest(live, now), Items: active, Age: now - r.load.requestedAt,
		Limited: newest.Named, Limit: newest.Rate, Heard: heard, Wait: limit.Wait, Cold: max(0, cold.Until.Sub(asked)),
	}
}

// reserve records that a live request of the caller is on its way to the engine, and
// pauses an item at once if all slots are occupied.
func (r *Runner) reserve(caller bhwire.Reserve) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock.Now()
	r.callers.Announce(caller.Account, caller.Priority, now)
	r.load.reserve(now)
	active, _ := r.countActive()
	excess := r.load.live() + active - r.slots
	r.freeSlots = max(0, min(r.freeSlots, -excess))
	if excess > 0 && active > 0 {
		r.pauseLeastUrgent(min(excess, active))
	}
}

// reportFault records that a gateway reported a fault of the engine.
func (r *Runner) reportFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock.Now()
	wasActive := r.suspicion.active(now)
	r.suspicion.fault(now)
	if !wasActive {
		bhlog.Event(r.config.Logger, "engine.suspect", "address", r.config.Address(), "for", r.suspicion.duration, "live", r.load.live(), "running", r.load.report.Running)
	}
}

// countActive returns the number of runs at the engine, and how many of them
// have not received an event since they started.
func (r *Runner) countActive() (active, starting int) {
	for _, run := range r.runs {
		if run.atEngine() {
			active++
			if !run.streaming {
				starting++
			}
		}
	}
	return active, starting
}

// pauseLeastUrgent pauses the count runs that can wait longest, or are late
// already, but for trials.
func (r *Runner) pauseLeastUrgent(count int) {
	r.lastPauseAt = time.Now()
	for _, run := range slices.Backward(r.inPhase(running)) {
		if count == 0 {
			return
		}
		if run.atEngine() && !run.trial {
			run.pause(r.load)
			count--
		}
	}
}

// resumePaused resumes paused runs, the most urgent first, while slots are
// free.
func (r *Runner) resumePaused() {
	for _, run := range r.inPhase(paused) {
		if r.freeSlots == 0 {
			return
		}
		if time.Now().Before(run.notBefore) || !r.startable(run.job) || r.expired(run.job) {
			continue
		}
		r.freeSlots--
		run.start()
	}
}

// releaseLongPaused releases runs that have had no request at the engine for longer
// than maxPause, also those that have never started. The engine may be gone for good,
// of which no list and no answer tells.
func (r *Runner) releaseLongPaused() {
	for _, run := range r.inPhase(paused) {
		if time.Since(run.pausedAt) > maxPause {
			run.release("paused for too long")
		}
	}
}

// inPhase returns the runs in the wanted phase, the most urgent first.
func (r *Runner) inPhase(wanted phase) []*itemRun {
	var runs []*itemRun
	for _, run := range r.runs {
		if run.phase == wanted {
			runs = append(runs, run)
		}
	}
	now := r.storeNow()
	slices.SortFunc(runs, func(a, b *itemRun) int {
		return cmp.Or(a.urgency(now).compare(b.urgency(now)), cmp.Compare(a.item.ID, b.item.ID))
	})
	return runs
}
