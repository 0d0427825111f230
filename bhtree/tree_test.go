package bhtree

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/baobabhaven/baobabhaven/bhlog"
)

// A persistent child is restarted more often than the limit of AddRestarted,
// whether it returns an error or panics.
func TestPersistentChildrenNeverStopTheTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := New(Config{Name: "test", Logger: bhlog.Nop()})
		starts := 0
		tree.AddPersistent("failing", func(context.Context) error {
			starts++
			if starts%2 == 0 {
				panic("broken")
			}
			return errors.New("failed")
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- tree.Run(ctx) }()
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		select {
		case err := <-done:
			t.Errorf("the tree ended: %v", err)
		default:
		}
		assert.Greater(t, starts, 2*maxRestarts)
		cancel()
		require.NoError(t, <-done)
	})
}

func TestTooManyRestartsStopTheTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := New(Config{Name: "test", Logger: bhlog.Nop()})
		starts := 0
		tree.AddRestarted("failing", func(context.Context) error {
			starts++
			return errors.New("failed")
		})
		require.ErrorContains(t, tree.Run(t.Context()), "ended 9 times")
		assert.Equal(t, maxRestarts+1, starts)
	})
}
