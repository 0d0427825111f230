package bhqueue

import (
	"math"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Measures of an account's use of slots.
const (
	// useWindow is the time over which the use of slots is averaged.
	useWindow = 30 * time.Second
	// heavyDemand is the demand, as a multiple of that of others for their
	// weight, above which an account is heavy.
	heavyDemand = 2.5
	// heavyShare is the part of the slots below which no account is heavy.
	heavyShare = 0.125
	// minService is the use, as a part of what others have for their weight,
	// that a heavy account gets in any case.
	minService = 0.1
	// headroom is the number of standard deviations of the other accounts' use
	// that a heavy account leaves free for them.
	headroom = 3
	// minWeight keeps shares finite.
	minWeight = 0.01
)

// item is one live request, queued or running.
type item[K comparable] struct {
	id      K
	account *account[K]
	work    int64
	alone   bool
	queued  bool
	// start is the virtual time that orders the item among all accounts.
	start   float64
	arrival uint64
	arrived time.Time
	started time.Time
	expires time.Time
}

// expired returns the error of an item that waited for as long as it may. Another
// upstream may have room for one that must run alone.
func (it *item[K]) expired(now time.Time) *bhcode.Error {
	if it.alone {
		return bhcode.New(bhcode.Overloaded, "another suspect ran for too long")
	}
	return bhcode.New(bhcode.QueueTimeout, "waited %s", now.Sub(it.arrived))
}

// account is the state of one client account at the upstream.
type account[K comparable] struct {
	name    string
	weight  float64
	queue   []*item[K]
	running int
	// finish is the virtual time up to which the account has used its share.
	finish float64
	// use is the average number of running requests and demand that of running
	// and queued ones, both at the time of updated.
	use     float64
	demand  float64
	updated time.Time
	seen    time.Time
}

// advance brings the averages up to now. It must be called before the numbers
// of running or queued requests change.
func (a *account[K]) advance(now time.Time) {
	decay := math.Exp(-float64(now.Sub(a.updated)) / float64(useWindow))
	a.use = a.use*decay + float64(a.running)*(1-decay)
	a.demand = a.demand*decay + float64(a.running+len(a.queue))*(1-decay)
	a.updated = now
}

func (q *Queue[K]) account(name string, now time.Time) *account[K] {
	a := q.accounts[name]
	if a == nil {
		q.forget(now)
		a = &account[K]{name: name, updated: now}
		q.accounts[name] = a
		q.order = append(q.order, a)
	}
	a.weight = 1
	if q.config.Weight != nil {
		a.weight = max(q.config.Weight(name), minWeight)
	}
	a.seen = now
	return a
}

// forget drops accounts that have nothing here and used nothing lately.
func (q *Queue[K]) forget(now time.Time) {
	q.order = slices.DeleteFunc(q.order, func(a *account[K]) bool {
		idle := a.running == 0 && len(a.queue) == 0 && now.Sub(a.seen) > useWindow
		if !idle || a.finish > q.virtual {
			return false
		}
		delete(q.accounts, a.name)
		return true
	})
}

// restrained reports whether the account is heavy and has to leave the slots
// that are free to others: it demands far more than they do for their weight,
// has had its minimum, and the slots aren't more than they may need.
func (q *Queue[K]) restrained(now time.Time, a *account[K]) bool {
	if q.config.Policy == FIFO {
		return false
	}
	slots := float64(q.config.Slots)
	a.advance(now)
	if a.demand <= heavyShare*slots {
		return false
	}
	use, demand, weights, running := 0.0, 0.0, 0.0, 0
	for _, other := range q.order {
		if other == a {
			continue
		}
		other.advance(now)
		use += other.use
		demand += other.demand
		running += other.running
		weights += other.weight
	}
	if weights == 0 {
		return false
	}
	share := a.weight / weights
	if a.demand <= heavyDemand*share*demand {
		return false
	}
	if a.running == 0 && a.use <= minService*share*use {
		return false
	}
	need := max(use+headroom*math.Sqrt(use), float64(running))
	return float64(a.running+1) > slots-need
}
