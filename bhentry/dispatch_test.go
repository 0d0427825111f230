package bhentry

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhroute"
)

func TestUpstreamOutcomeByErrorCode(t *testing.T) {
	assert.Equal(t, bhroute.Succeeded, upstreamOutcome(nil))
	for code, want := range map[bhcode.Code]bhroute.Outcome{
		bhcode.UpstreamFailed:   bhroute.Failed,
		bhcode.UpstreamLost:     bhroute.Failed,
		bhcode.AnswerIncomplete: bhroute.Failed,
		bhcode.NoUpstream:       bhroute.Failed,
		bhcode.Overloaded:       bhroute.Neutral,
		bhcode.Leaving:          bhroute.Neutral,
		bhcode.Cancelled:        bhroute.Neutral,
	} {
		assert.Equal(t, want, upstreamOutcome(errors.WithStack(bhcode.New(code, ""))), code)
	}
}

func TestFirstRetryAfterFailedOrLeavingUpstreamSpendsNoBudget(t *testing.T) {
	overloaded, leaving := bhcode.New(bhcode.Overloaded, ""), bhcode.New(bhcode.Leaving, "")
	assert.False(t, spendsBudget(1, bhroute.Failed, bhcode.New(bhcode.UpstreamLost, "")))
	assert.True(t, spendsBudget(2, bhroute.Failed, bhcode.New(bhcode.UpstreamLost, "")))
	assert.True(t, spendsBudget(1, bhroute.Neutral, overloaded))
	assert.False(t, spendsBudget(1, bhroute.Neutral, leaving))
	assert.True(t, spendsBudget(2, bhroute.Neutral, leaving))
}
