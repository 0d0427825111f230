// Package bhtree runs the goroutines of a daemon as a supervisor tree based on
// oklog/run: a child that ends is restarted or stops its tree. The daemons build
// their trees with it, and packages with goroutines of their own use Guard and
// Sleep.
package bhtree

import (
	"context"
	"math"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// Restart policy of children. The backoff starts at initialRestartBackoff and
// doubles up to maxRestartBackoff; a child that has run for longer than
// restartWindow starts over. A child of AddRestarted may end maxRestarts times
// within restartWindow; the next end stops its tree.
const (
	initialRestartBackoff = 100 * time.Millisecond
	maxRestartBackoff     = 5 * time.Second
	maxRestarts           = 8
	restartWindow         = time.Minute
)

// Run is the function that a child runs. It must return when ctx is done; an
// earlier return is a failure of the child.
type Run func(ctx context.Context) error

// Tree is a supervisor. When one of its children ends, it stops the others and
// waits for them. Its method Run is a Run, so a Tree can be a child of another
// one.
type Tree struct {
	name   string
	logger bhlog.Logger
	group  run.Group
}

// Config configures a Tree. Name is added to the lines that it logs.
type Config struct {
	Name   string
	Logger bhlog.Logger
}

// New returns an empty tree.
func New(config Config) *Tree {
	return &Tree{name: config.Name, logger: bhlog.With(config.Logger, "tree", config.Name)}
}

// Add adds a child whose end stops the tree. The child's error is wrapped with
// its name.
func (t *Tree) Add(name string, child Run) {
	ctx, cancel := context.WithCancel(context.Background())
	t.group.Add(func() error {
		err := child(ctx)
		bhlog.Trace(t.logger, "child.end", "child", name, "err", err)
		return errors.Wrap(err, name)
	}, func(error) { cancel() })
}

// AddRestarted adds a child that is restarted with exponential backoff when it
// ends early. More than 8 ends within a minute stop the tree.
func (t *Tree) AddRestarted(name string, child Run) {
	t.Add(name, func(ctx context.Context) error { return t.runWithRestarts(ctx, name, child, maxRestarts) })
}

// AddPersistent adds a child that is restarted with exponential backoff each time
// it ends or panics. It never stops the tree.
func (t *Tree) AddPersistent(name string, child Run) {
	recovering := func(ctx context.Context) error { return Guard(ctx, child) }
	t.Add(name, func(ctx context.Context) error { return t.runWithRestarts(ctx, name, recovering, math.MaxInt) })
}

// Guard runs a child and returns a panic of it as an error. Packages use it in
// goroutines that they start themselves, which no Tree supervises.
func Guard(ctx context.Context, child Run) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = errors.Errorf("panic: %v", recovered)
		}
	}()
	return child(ctx)
}

// Run runs all children until ctx is done or one of them ends, then stops them
// all. It returns nil if ctx was done, otherwise the error that the child ended
// with, which may be nil.
func (t *Tree) Run(ctx context.Context) error {
	t.Add("context", func(childCtx context.Context) error {
		select {
		case <-ctx.Done():
		case <-childCtx.Done():
		}
		return nil
	})
	err := t.group.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// runWithRestarts runs the child, and restarts it whenever it ends, until ctx is
// done or the child has ended more than limit times within restartWindow.
func (t *Tree) runWithRestarts(ctx context.Context, name string, child Run, limit int) error {
	backoff := initialRestartBackoff
	var recentEnds []time.Time
	for {
		started := time.Now()
		err := child(ctx)
		if ctx.Err() != nil {
			return nil
		}
		recentEnds = dropBeforeWindow(append(recentEnds, time.Now()), restartWindow)
		if len(recentEnds) > limit {
			return errors.Wrapf(err, "%s ended %d times within %s", name, len(recentEnds), restartWindow)
		}
		if time.Since(started) > restartWindow {
			backoff = initialRestartBackoff
		}
		bhlog.Problem(t.logger, "child.restart", err, "child", name, "backoff", backoff)
		if !Sleep(ctx, backoff) {
			return nil
		}
		backoff = min(2*backoff, maxRestartBackoff)
	}
}

// dropBeforeWindow returns the times that are within the window before the last
// one. The times are in ascending order.
func dropBeforeWindow(times []time.Time, window time.Duration) []time.Time {
	cutoff := times[len(times)-1].Add(-window)
	for len(times) > 0 && times[0].Before(cutoff) {
		times = times[1:]
	}
	return times
}

// StopWhenDone returns a child that waits for ctx, calls stop and ends, which
// stops its tree. If the tree stops first, stop is not called.
func StopWhenDone(ctx context.Context, stop func()) Run {
	return func(childCtx context.Context) error {
		select {
		case <-ctx.Done():
			stop()
		case <-childCtx.Done():
		}
		return nil
	}
}

// Sleep waits for the duration. It returns false if ctx was done first, or is done already if the
// duration isn't positive.
func Sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
