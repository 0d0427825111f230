package bhroute

import "sync"

// Limits of a retry budget.
const (
	// RetryTokensPerRequest is the number of retries earned by one request.
	RetryTokensPerRequest = 0.1
	// MaxRetryTokens is the number of retries that a route may save up.
	MaxRetryTokens = 10
)

// RetryBudgets bounds the retries of each route to a share of its requests, so that
// retries can't multiply the load of a failing fleet. It is safe for
// concurrent use.
type RetryBudgets struct {
	mutex   sync.Mutex
	retries map[string]float64
}

// NewRetryBudgets returns budgets that are full for every route.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{retries: make(map[string]float64)}
}

// RecordRequest records a caller's request on the route.
func (b *RetryBudgets) RecordRequest(route string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.retries[route] = min(b.left(route)+RetryTokensPerRequest, MaxRetryTokens)
}

// AllowRetry takes one retry from the route's budget and reports whether there was
// one.
func (b *RetryBudgets) AllowRetry(route string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	left := b.left(route)
	if left < 1 {
		return false
	}
	b.retries[route] = left - 1
	return true
}

func (b *RetryBudgets) left(route string) float64 {
	left, ok := b.retries[route]
	if !ok {
		return MaxRetryTokens
	}
	return left
}
