package bhshare

import "github.com/baobabhaven/baobabhaven/bhpolicy"

// Weights tells how large the fair shares of accounts are, relative to each other: as
// large as their rates. Accounts without a rate, and callers without an account, weigh
// as much as the mean of the others.
type Weights struct {
	byAccount map[uint32]float64
	mean      float64
}

// NewWeights returns the weights of the accounts.
func NewWeights(accounts []bhpolicy.Account) *Weights {
	w := &Weights{byAccount: make(map[uint32]float64), mean: 1}
	sum := 0.0
	for _, account := range accounts {
		if account.Rate > 0 {
			w.byAccount[ID(account.Name)] = account.Rate
			sum += account.Rate
		}
	}
	if len(w.byAccount) > 0 {
		w.mean = sum / float64(len(w.byAccount))
	}
	return w
}

// of returns the weight of the account with the ID, which is positive.
func (w *Weights) of(account uint32) float64 {
	if weight, ok := w.byAccount[account]; ok {
		return weight
	}
	return w.mean
}
