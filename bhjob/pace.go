package bhjob

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhpeer"
	"github.com/baobabhaven/baobabhaven/bhwire"
)

const (
	// reportInterval is how often the engine's load is read. A live request that
	// finds all slots taken waits about that long for one.
	reportInterval = 40 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// calmInterval is how long after a pause nothing is started.
	calmInterval = 150 * time.Millisecond
	// pausedLimit is how long a paused item is kept for this engine before
	// another one may go on with it.
	pausedLimit = 2500 * time.Millisecond
)

// AdjustToLoad follows the engine's load until ctx is done: it pauses items when live
// requests wait, and goes on with them when there is room.
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
		sent := r.config.Clock.Now()
		report, err := r.readReport(ctx)
		if (err == nil) != reached && ctx.Err() == nil {
			reached = err == nil
			if reached {
				bhlog.Event(r.config.Logger, "engine.regained", "address", r.config.Address())
			} else {
				bhlog.Problem(r.config.Logger, "engine.lost", err, "address", r.config.Address())
			}
		}
		r.pace(report, err == nil, sent)
	}
}

func (r *Runner) readReport(ctx context.Context) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return r.config.Engine.Report(ctx, r.config.Address())
}

// pace takes in one report, asked for at the time sent, and acts on it.
func (r *Runner) pace(report LoadReport, ok bool, sent time.Duration) {
	instance, listed := r.instance()
	fresh := r.fresh()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots = 0
	if listed && instance.Draining {
		r.free = 0
		for _, run := range r.runs {
			run.release("the engine drains")
		}
		return
	}
	if listed {
		r.slots = instance.Slots
	}
	if !ok || !listed {
		r.free = 0
		r.releaseOld()
		return
	}
	active, starting := r.count()
	r.load.take(report, active, sent)
	waiting := report.Waiting - starting
	switch {
	case waiting > 0 && active > 0:
		r.free = 0
		r.pauseSome(min(waiting, active))
	case report.Waiting > 0 || time.Since(r.pausedAt) < calmInterval || !fresh || r.closed:
		r.free = 0
	default:
		r.free = max(0, instance.Slots-max(report.Running, active)-r.load.reserved())
		r.resumeSome()
	}
	r.releaseOld()
	r.metrics.update(active, len(r.runs), report)
	if r.free > 0 {
		select {
		case r.want <- struct{}{}:
		default:
		}
	}
}

// RegisterHandlers has the runner tell gateways its engine's room through the socket, and
// take in the requests that they announce. It is called before the socket runs.
func (r *Runner) RegisterHandlers(socket *bhpeer.Socket) {
	socket.Handle(bhwire.KindAsk, func(bhwire.Frame) (bhwire.Kind, any) { return bhwire.KindRoom, r.room() })
	socket.Handle(bhwire.KindReserve, func(bhwire.Frame) (bhwire.Kind, any) {
		r.reserve()
		return "", nil
	})
}

// room returns what the engine has left for live requests.
func (r *Runner) room() bhwire.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	active, _ := r.count()
	return bhwire.Room{Slots: r.slots, Live: r.load.live(), Items: active, Age: r.config.Clock.Now() - r.load.sent}
}

// reserve takes in that a live request is on its way to the engine, and pauses
// an item at once if all slots are taken.
func (r *Runner) reserve() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load.reserve(r.config.Clock.Now())
	active, _ := r.count()
	over := r.load.live() + active - r.slots
	r.free = max(0, min(r.free, -over))
	if over > 0 && active > 0 {
		r.pauseSome(min(over, active))
	}
}

// count returns how many runs are at the engine, and how many of them wait for
// their first event.
func (r *Runner) count() (active, starting int) {
	for _, run := range r.runs {
		if run.atEngine() {
			active++
			if !run.flowing {
				starting++
			}
		}
	}
	return active, starting
}

// pauseSome stops the runs that are due last.
func (r *Runner) pauseSome(count int) {
	r.pausedAt = time.Now()
	for _, run := range slices.Backward(r.inPhase(running)) {
		if count == 0 {
			return
		}
		if run.atEngine() {
			run.pause(r.load)
			count--
		}
	}
}

// resumeSome goes on with paused runs while there is room.
func (r *Runner) resumeSome() {
	for _, run := range r.inPhase(paused) {
		if r.free == 0 {
			return
		}
		if time.Now().Before(run.notBefore) {
			continue
		}
		r.free--
		run.start()
	}
}

// releaseOld gives back runs that have been paused for long.
func (r *Runner) releaseOld() {
	for _, run := range r.inPhase(paused) {
		if !run.pausedAt.IsZero() && time.Since(run.pausedAt) > pausedLimit {
			run.release("paused for long")
		}
	}
}

// inPhase returns the runs in the phase, the most urgent first.
func (r *Runner) inPhase(wanted phase) []*run {
	var runs []*run
	for _, run := range r.runs {
		if run.phase == wanted {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.job.Due, b.job.Due), cmp.Compare(a.item.ID, b.item.ID))
	})
	return runs
}
