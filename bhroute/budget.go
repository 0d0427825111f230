package bhroute

import "sync"

const (
	// RetryShare is the number of retry tokens that each request adds to the
	// budget of its group. A retry takes one token.
	RetryShare = 0.1
	// RetryReserve is the most retry tokens that a group's budget holds.
	RetryReserve = 10
)

// Budgets holds a retry budget for each group of upstreams. A budget is a token
// bucket that limits the retries to a share of the group's requests, so that
// retries can't multiply the load on failing upstreams. It is safe for
// concurrent use.
type Budgets struct {
	mutex sync.Mutex
	// tokens holds the retry tokens of each group that has had a request or a
	// retry. The budget of any other group is full.
	tokens map[string]float64
}

// NewBudgets returns retry budgets that are full for every group.
func NewBudgets() *Budgets {
	return &Budgets{tokens: make(map[string]float64)}
}

// Earn records a request from a caller to the group, not a retry of it.
func (b *Budgets) Earn(group string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens[group] = min(b.available(group)+RetryShare, RetryReserve)
}

// Spend takes one token from the group's budget and reports whether the retry is
// allowed. Without a whole token it takes nothing and returns false.
func (b *Budgets) Spend(group string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	tokens := b.available(group)
	if tokens < 1 {
		return false
	}
	b.tokens[group] = tokens - 1
	return true
}

func (b *Budgets) available(group string) float64 {
	tokens, ok := b.tokens[group]
	if !ok {
		return RetryReserve
	}
	return tokens
}
