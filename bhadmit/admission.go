// Package bhadmit decides whether a live request is sent to an engine now, to
// which of several engines, or is refused at once with a time at which to come
// back. Package bhgate asks it for each request, with the loads that the runners
// beside the engines report.
package bhadmit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/baobabhaven/baobabhaven/bhshare"
)

// Engine is the load of an engine.
type Engine struct {
	// Slots is the number of requests that the engine runs at once.
	Slots int
	// Live is the number of live requests that run, wait or are announced, and
	// Items that of batch items, which are paused for live requests.
	Live  int
	Items int
	// Oldest is how long ago the oldest of the live requests was sent; 0 if that isn't
	// known.
	Oldest time.Duration
}

// Request is what is known about a request that asks for a slot.
type Request struct {
	// Objective is how long the first token may still take for the request to be in
	// time, and Deadline how long the client still waits for the whole answer.
	Objective time.Duration
	Deadline  time.Duration
	// Standing is how the request stands among the callers at the engines asked.
	Standing bhshare.Standing
}

// Times are the times that requests take at an engine that isn't full: running
// medians, which single engines that keep requests for seconds don't move.
type Times struct {
	// First is the time to the first token, Whole that to the end of the answer.
	// They are zero until an answer was observed.
	First time.Duration
	Whole time.Duration
	// count is the number of answers observed.
	count int
}

// timesStep is the part of a time by which an answer moves it.
const timesStep = 0.03

// Observe adds an answer that didn't wait for a slot.
func (t *Times) Observe(first, whole time.Duration) {
	if t.count++; t.count == 1 {
		t.First, t.Whole = first, whole
		return
	}
	// The first answer may be one that took long, so early steps are larger.
	step := max(timesStep, 1/float64(t.count))
	t.First = moveTowards(t.First, first, step)
	t.Whole = moveTowards(t.Whole, whole, step)
}

// moveTowards moves a running median towards the newest time, by the share of the
// median at most.
func moveTowards(median, newest time.Duration, share float64) time.Duration {
	step := time.Duration(share * float64(median))
	if newest > median {
		return min(newest, median+step)
	}
	return max(newest, median-step)
}

// pauseTime is how long a slot stays taken after an item was told to pause.
const pauseTime = 20 * time.Millisecond

// Wait estimates how long one more live request waits for a slot of the engine.
// Requests leave a full engine one after another, each Whole/Slots after the one
// before.
func (t *Times) Wait(engine Engine) time.Duration {
	excess := engine.Live - engine.Slots + 1
	switch {
	case engine.Slots <= 0:
		return math.MaxInt64 / 2
	case excess > 0:
		return time.Duration(float64(t.Whole) * float64(excess) / float64(engine.Slots))
	case engine.Live+engine.Items >= engine.Slots:
		return pauseTime
	}
	return 0
}

// overdue is the multiple of the usual time after which a request says nothing about
// when it ends: its engine is slow or hangs.
const overdue = 1.5

// NextFree estimates how long a full engine takes to free its next slot: until its
// oldest request has taken the usual time, which may have been before now. Where that is
// unknown or overdue, no request is taken to end sooner than one that starts now.
func (t *Times) NextFree(engine Engine) time.Duration {
	if engine.Oldest > time.Duration(overdue*float64(t.Whole)) {
		return t.Whole
	}
	return t.Whole - engine.Oldest
}

// Less reports whether a has less to do than b before it takes a request: fewer live
// requests for its slots, or, if both are full, a slot that is free sooner.
func (t *Times) Less(a, b Engine) bool {
	if before, after := a.Live*b.Slots, b.Live*a.Slots; before != after || a.Free() {
		return before < after
	}
	return t.NextFree(a) < t.NextFree(b)
}

// Free reports whether the engine takes a live request at once, possibly in place
// of an item.
func (e Engine) Free() bool { return e.Live < e.Slots }

// Decision is what becomes of a request.
type Decision struct {
	// Admitted reports that the request is sent to an engine.
	Admitted bool
	// Wait is the expected wait for a slot at the best engine.
	Wait time.Duration
	// RetryAfter is when the client of a refused request should come back.
	RetryAfter time.Duration
}

// Policy tells up to which wait for a slot a request is admitted.
type Policy interface {
	// MaxWait returns the longest acceptable wait.
	MaxWait(request Request, times Times) time.Duration
}

// Admission decides with a policy.
type Admission[P Policy] struct {
	Policy P
	// Draw returns a random number from 0 up to 1; nil means rand.Float64.
	Draw func() float64
}

// Decide decides about a request whose best engine is the one given. It admits
// everything while that has a free slot, and until the times are known.
func (a *Admission[P]) Decide(request Request, best Engine, times Times) Decision {
	decision := Decision{Wait: times.Wait(best)}
	if best.Free() || times.Whole == 0 || decision.Wait <= a.Policy.MaxWait(request, times) {
		decision.Admitted = true
		return decision
	}
	draw := rand.Float64
	if a.Draw != nil {
		draw = a.Draw
	}
	decision.RetryAfter = spreadRetry(request.Deadline, decision.Wait, draw())
	return decision
}

const (
	// minRetryAfter is the least delay of a retry. It is above the time in which
	// one engine frees a slot.
	minRetryAfter = 150 * time.Millisecond
	// retryPart is the part of the remaining time that clients are willing to wait
	// for a retry.
	retryPart = 3
)

// RetryAfter returns when a refused client should come back that waits until the
// deadline and would have waited for a slot. A burst that fills all engines lasts
// longer than the queue at one of them, and a client that is refused twice gets no
// answer. So it comes back late in the time that it will wait, at a random time, so
// that those refused don't return together.
func RetryAfter(deadline, wait time.Duration) time.Duration {
	return spreadRetry(deadline, wait, rand.Float64())
}

// spreadRetry is RetryAfter with a random number from 0 up to 1.
func spreadRetry(deadline, wait time.Duration, random float64) time.Duration {
	latest := deadline / retryPart
	earliest := min(latest, max(minRetryAfter, wait, latest/2))
	if latest <= earliest {
		return max(minRetryAfter, latest)
	}
	return earliest + time.Duration(random*float64(latest-earliest))
}
