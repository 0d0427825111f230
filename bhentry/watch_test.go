package bhentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An entry that was paused itself must not take the silence for the sidecars'.
func TestPausedEntryDoesNotJudgeSilence(t *testing.T) {
	start := time.Now()
	assert.False(t, pausedBetween(start, start.Add(watchInterval)))
	assert.False(t, pausedBetween(start, start.Add(3*watchInterval/2)))
	assert.True(t, pausedBetween(start, start.Add(3*watchInterval)))
}
