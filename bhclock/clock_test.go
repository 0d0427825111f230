package bhclock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestBootIsPositiveAndDoesNotGoBack(t *testing.T) {
	first := Boot{}.Now()
	assert.Positive(t, first)
	assert.GreaterOrEqual(t, Boot{}.Now(), first)
}

func TestRuntimeFollowsTheSynctestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := NewRuntime()
		before := clock.Now()
		time.Sleep(3 * time.Second)
		assert.Equal(t, 3*time.Second, clock.Now()-before)
	})
}
