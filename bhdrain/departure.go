package bhdrain

import (
	"context"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

const (
	// lateDivisor divides the bound of a stop to give the time after which new work is
	// refused, because it might not end in time.
	lateDivisor = 2
	// answerDivisor divides the bound to give the time before its end at which what still
	// runs is ended, so that its answer can be sent.
	answerDivisor = 10
	// departureRetryAfter is when callers may come back, to another process.
	departureRetryAfter = time.Second
)

// Departure is the planned stop of a process that ends after a bound. Work that comes late in it
// is refused, and work that can't end in time is cancelled early enough for an answer.
type Departure struct {
	bound     time.Duration
	late, end context.Context
	setLate   context.CancelFunc
	setEnd    context.CancelFunc
}

// NewDeparture returns a departure that hasn't begun.
func NewDeparture(bound time.Duration) *Departure {
	d := &Departure{bound: bound}
	d.late, d.setLate = context.WithCancel(context.Background())
	d.end, d.setEnd = context.WithCancel(context.Background())
	return d
}

// Begin begins the departure. It must be called once.
func (d *Departure) Begin() {
	time.AfterFunc(d.bound/lateDivisor, d.setLate)
	time.AfterFunc(d.bound-d.bound/answerDivisor, d.setEnd)
}

// Refusal returns Leaving, for work that did not run, if new work comes too late. Otherwise it
// returns nil.
func (d *Departure) Refusal() error {
	if d.late.Err() == nil {
		return nil
	}
	return errLeaving()
}

// BindWaiting returns a context for work that waits for its start. It is cancelled, with the cause
// Leaving, once new work is refused. The caller must call release.
func (d *Departure) BindWaiting(ctx context.Context) (bound context.Context, release context.CancelFunc) {
	return bind(ctx, d.late)
}

// Bind returns a context for work. It is cancelled, with the cause Leaving, when what still runs has
// to be answered. The caller must call release.
func (d *Departure) Bind(ctx context.Context) (bound context.Context, release context.CancelFunc) {
	return bind(ctx, d.end)
}

func bind(ctx, over context.Context) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(over, func() { cancel(errLeaving()) })
	return bound, func() {
		stop()
		cancel(nil)
	}
}

// errLeaving returns a new error, since those who handle it add whether the work ran.
func errLeaving() error {
	return bhcode.New(bhcode.Leaving, "the host is leaving").WithRetryAfter(departureRetryAfter)
}
