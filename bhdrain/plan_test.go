package bhdrain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a stop whose margins exceed its drain time, so that no request is answered
// or connections are closed before the answers were written.
func TestPlanFitsTheDrainTime(t *testing.T) {
	assert.Equal(t, Plan{Accept: 3500 * time.Millisecond, Work: 6800 * time.Millisecond, Close: 7300 * time.Millisecond}, NewPlan(8*time.Second))
	for _, drain := range []time.Duration{1, time.Millisecond, time.Second, time.Minute} {
		plan := NewPlan(drain)
		assert.LessOrEqual(t, plan.Accept, plan.Work, "%s", drain)
		assert.LessOrEqual(t, plan.Work, plan.Close, "%s", drain)
		assert.LessOrEqual(t, plan.Close, drain, "%s", drain)
	}
	assert.Equal(t, Plan{}, NewPlan(0))
	assert.Equal(t, Plan{}, NewPlan(-time.Second))
}
