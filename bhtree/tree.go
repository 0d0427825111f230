// Package bhtree runs a daemon's parts as a supervisor tree on oklog/run.
package bhtree

import (
	"context"
	"math"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// Restart policy of children added with AddRestarted.
const (
	restartBackoff    = 100 * time.Millisecond
	restartBackoffMax = 5 * time.Second
	restartLimit      = 8
	restartWindow     = time.Minute
)

// Run is the body of a child. It returns when ctx is done; any earlier return
// is a failure of the child.
type Run func(ctx context.Context) error

// Tree is one supervisor. When any child ends, the others are stopped and
// awaited. A Tree is itself a Run through its method Run, so trees nest.
type Tree struct {
	name   string
	logger bhlog.Logger
	group  run.Group
}

// Config configures a Tree.
type Config struct {
	Name   string
	Logger bhlog.Logger
}

// New returns an empty tree.
func New(config Config) *Tree {
	return &Tree{name: config.Name, logger: bhlog.With(config.Logger, "tree", config.Name)}
}

// Add adds a child whose end stops the tree.
func (t *Tree) Add(name string, child Run) {
	ctx, cancel := context.WithCancel(context.Background())
	t.group.Add(func() error {
		err := child(ctx)
		bhlog.Trace(t.logger, "child.end", "child", name, "err", err)
		return errors.Wrap(err, name)
	}, func(error) { cancel() })
}

// AddRestarted adds a child that is restarted with exponential backoff when it
// ends early. Too many restarts within a minute stop the tree.
func (t *Tree) AddRestarted(name string, child Run) {
	t.Add(name, func(ctx context.Context) error { return t.restart(ctx, name, child, restartLimit) })
}

// AddPersistent adds a child that is restarted with exponential backoff however
// often it ends or panics. It never stops the tree.
func (t *Tree) AddPersistent(name string, child Run) {
	guarded := func(ctx context.Context) error { return Guard(ctx, child) }
	t.Add(name, func(ctx context.Context) error { return t.restart(ctx, name, guarded, math.MaxInt) })
}

// Guard runs a child and turns a panic into an error. Parts use it in the
// goroutines that they start, which no supervisor sees.
func Guard(ctx context.Context, child Run) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = errors.Errorf("panic: %v", reason)
		}
	}()
	return child(ctx)
}

// Run runs all children until ctx is done or one of them ends. It returns nil
// if ctx was done first.
func (t *Tree) Run(ctx context.Context) error {
	t.Add("context", func(inner context.Context) error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
		}
		return nil
	})
	err := t.group.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// restart runs the child again and again until ctx is done, or until it has
// ended more than limit times within the restart window.
func (t *Tree) restart(ctx context.Context, name string, child Run, limit int) error {
	backoff := restartBackoff
	var recent []time.Time
	for {
		started := time.Now()
		err := child(ctx)
		if ctx.Err() != nil {
			return nil
		}
		recent = within(append(recent, time.Now()), restartWindow)
		if len(recent) > limit {
			return errors.Wrapf(err, "%s ended %d times within %s", name, len(recent), restartWindow)
		}
		if time.Since(started) > restartWindow {
			backoff = restartBackoff
		}
		bhlog.Problem(t.logger, "child.restart", err, "child", name, "backoff", backoff)
		if !Sleep(ctx, backoff) {
			return nil
		}
		backoff = min(2*backoff, restartBackoffMax)
	}
}

func within(times []time.Time, window time.Duration) []time.Time {
	limit := times[len(times)-1].Add(-window)
	for len(times) > 0 && times[0].Before(limit) {
		times = times[1:]
	}
	return times
}

// StopWhenDone returns a child that calls stop once ctx is done, unless the tree ends
// first.
func StopWhenDone(ctx context.Context, stop func()) Run {
	return func(inner context.Context) error {
		select {
		case <-ctx.Done():
			stop()
		case <-inner.Done():
		}
		return nil
	}
}

// Sleep waits for the given time. It reports false if ctx was done first.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
