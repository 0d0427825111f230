package bhroute

import "sync"

// Limits of a retry budget.
const (
	// RetryShare is the number of retries earned by one request.
	RetryShare = 0.1
	// RetryReserve is the number of retries that a route may save up.
	RetryReserve = 10
)

// Budgets bounds the retries of each route to a share of its requests, so that
// retries can't multiply the load of a failing fleet. It is safe for
// concurrent use.
type Budgets struct {
	mutex   sync.Mutex
	retries map[string]float64
}

// NewBudgets returns budgets that are full for every route.
func NewBudgets() *Budgets {
	return &Budgets{retries: make(map[string]float64)}
}

// Earn records a caller's request on the route.
func (b *Budgets) Earn(route string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.retries[route] = min(b.left(route)+RetryShare, RetryReserve)
}

// Spend takes one retry from the route's budget and reports whether there was
// one.
func (b *Budgets) Spend(route string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	left := b.left(route)
	if left < 1 {
		return false
	}
	b.retries[route] = left - 1
	return true
}

func (b *Budgets) left(route string) float64 {
	left, ok := b.retries[route]
	if !ok {
		return RetryReserve
	}
	return left
}
