package bhroute

import "sync"

const (
	// RetryTokensPerRequest is the number of retry tokens that each request adds
	// to the budget of its group. A retry takes one token.
	RetryTokensPerRequest = 0.1
	// MaxRetryTokens is the maximum number of retry tokens in a group's budget.
	MaxRetryTokens = 10
)

// RetryBudgets holds a retry budget for each group of upstreams. A budget is a
// token bucket that limits the retries to a share of the group's requests, so
// that retries can't multiply the load on failing upstreams. It is safe for
// concurrent use.
type RetryBudgets struct {
	mutex sync.Mutex
	// tokens holds the retry tokens of each group that has had a request or a
	// retry. The budget of any other group is full.
	tokens map[string]float64
}

// NewRetryBudgets returns retry budgets that are full for every group.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{tokens: make(map[string]float64)}
}

// RecordRequest adds RetryTokensPerRequest to the group's budget, up to
// MaxRetryTokens. It is for requests of callers, not for their retries.
func (b *RetryBudgets) RecordRequest(group string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens[group] = min(b.available(group)+RetryTokensPerRequest, MaxRetryTokens)
}

// AllowRetry takes one token from the group's budget and reports whether the
// retry is allowed. If less than one token is left, it takes nothing and returns
// false.
func (b *RetryBudgets) AllowRetry(group string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	tokens := b.available(group)
	if tokens < 1 {
		return false
	}
	b.tokens[group] = tokens - 1
	return true
}

func (b *RetryBudgets) available(group string) float64 {
	tokens, ok := b.tokens[group]
	if !ok {
		return MaxRetryTokens
	}
	return tokens
}
