package bhentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An entry that was paused must not count its own pause as silence of sidecars.
func TestPausedBetweenDetectsLongGap(t *testing.T) {
	start := time.Now()
	assert.False(t, pausedBetween(start, start.Add(silenceCheckInterval)))
	assert.False(t, pausedBetween(start, start.Add(3*silenceCheckInterval/2)))
	assert.True(t, pausedBetween(start, start.Add(3*silenceCheckInterval)))
}
