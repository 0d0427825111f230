package bhdrain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a stop whose margins exceed its drain time, so that no request is answered
// or connections are closed before the answers were written.
func TestPlanFitsTheDrainTime(t *testing.T) {
	assert.Equal(t, Plan{Accept: 3500 * time.Millisecond, Work: 6800 * time.Millisecond, Close: 7300 * time.Millisecond, Latest: 7800 * time.Millisecond}, NewPlan(8*time.Second))
	for _, drain := range []time.Duration{1, time.Millisecond, time.Second, time.Minute} {
		plan := NewPlan(drain)
		assert.LessOrEqual(t, plan.Accept, plan.Work, "%s", drain)
		assert.LessOrEqual(t, plan.Work, plan.Close, "%s", drain)
		assert.LessOrEqual(t, plan.Close, plan.Latest, "%s", drain)
		assert.LessOrEqual(t, plan.Latest, drain, "%s", drain)
	}
	assert.Equal(t, Plan{}, NewPlan(0))
	assert.Equal(t, Plan{}, NewPlan(-time.Second))
}

// Guards against a process that the machine held up until the end of its work was over, and that
// closes connections before it has written the answers.
func TestConnectionsAreClosedAfterTheEndOfTheWork(t *testing.T) {
	plan := NewPlan(8 * time.Second)
	for ended, want := range map[time.Duration]time.Duration{
		6800 * time.Millisecond: 7300 * time.Millisecond,
		7100 * time.Millisecond: 7600 * time.Millisecond,
		7700 * time.Millisecond: 7800 * time.Millisecond,
		time.Minute:             7800 * time.Millisecond,
	} {
		assert.Equal(t, want, plan.CloseAfter(ended), "%s", ended)
	}
}
