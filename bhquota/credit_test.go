package bhquota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

func TestCreditsAddUpToTheToleranceOfAWindow(t *testing.T) {
	account := &bhpolicy.Account{Rate: 100, Burst: 100}
	limit := effectiveLimit(account, tolerance, true)
	now := time.Minute
	b := &sharedBucket{UpdatedAt: now}
	b.reserve(true, now)
	b.addCredit("a.1", 10, 0, limit, now)
	assert.Zero(t, b.Level, "an earlier write may have used the tolerance")
	now += creditDelay
	b.addCredit("a.1", limit.credit/2, 0, limit, now)
	b.addCredit("a.1", limit.credit, 0, limit, now+time.Second)
	assert.InDelta(t, limit.credit, b.Level, 0.001)
	b.Level = 0
	b.addCredit("a.1", limit.credit, 0, limit, now+window)
	assert.Zero(t, b.Level)
	b.addCredit("a.1", limit.credit, 0, limit, now+limit.creditPeriod)
	assert.InDelta(t, limit.credit/2, b.Level, 0.001)
	b.reserve(false, now+limit.creditPeriod)
	assert.Zero(t, b.ReservedSince)
}

func TestCreditsLeaveRoomForWhatOthersHold(t *testing.T) {
	limit := effectiveLimit(&bhpolicy.Account{Rate: 100, Burst: 100}, tolerance, true)
	b := &sharedBucket{Level: 5, ReservedSince: time.Second, Leases: map[string]lease{"b.1": {Cap: limit.capacity - 20}}}
	b.addCredit("a.1", limit.credit, 10, limit, time.Minute)
	assert.InDelta(t, 10, b.Level, 0.001)
}

// In any window, what the bucket passes and the credits stay within the tolerance.
func TestCreditsFitTheTolerance(t *testing.T) {
	for _, account := range []*bhpolicy.Account{{Rate: 220, Burst: 220}, {Rate: 2, Burst: 0}, {Rate: 5, Burst: 500}} {
		limit := effectiveLimit(account, tolerance, true)
		whole := effectiveLimit(account, tolerance, false)
		assert.LessOrEqual(t, limit.capacity+limit.rate*window.Seconds()+limit.credit, whole.capacity+whole.rate*window.Seconds()+0.001)
		unknown := effectiveLimit(account, Tolerance{Over: tolerance.Over, Slack: tolerance.Slack}, true)
		assert.Zero(t, unknown.credit, "the window is unknown")
	}
}
