package bhquota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

func TestCreditsReplaceLostTokensOncePerPeriod(t *testing.T) {
	account := &bhpolicy.Account{Rate: 100, Burst: 100}
	limit := effectiveLimit(account, tolerance, true)
	now := time.Minute
	b := &sharedBucket{UpdatedAt: now}
	b.reserve(true, now)
	b.replaceLost(50, limit, now)
	assert.Zero(t, b.Level, "an earlier write may have used the tolerance")
	now += creditPeriod
	b.replaceLost(limit.credit/2, limit, now)
	b.replaceLost(limit.credit, limit, now+time.Second)
	assert.InDelta(t, limit.credit, b.Level, 0.001)
	b.Level = 0
	b.replaceLost(limit.credit, limit, now+creditPeriod-1)
	assert.Zero(t, b.Level)
	b.replaceLost(limit.credit, limit, now+creditPeriod)
	assert.InDelta(t, limit.credit/2, b.Level, 0.001)
	b.reserve(false, now+creditPeriod)
	assert.Zero(t, b.ReservedSince)
}

// In any window, what the bucket passes and the credits stay within the tolerance.
func TestCreditsFitTheTolerance(t *testing.T) {
	for _, account := range []*bhpolicy.Account{{Rate: 220, Burst: 220}, {Rate: 2, Burst: 0}, {Rate: 5, Burst: 500}} {
		limit := effectiveLimit(account, tolerance, true)
		whole := effectiveLimit(account, tolerance, false)
		assert.LessOrEqual(t, limit.capacity+limit.rate*window.Seconds()+limit.credit, whole.capacity+whole.rate*window.Seconds()+0.001)
	}
}
