package bhqueue

import (
	"math"
	"slices"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Parameters that decide when an account is throttled; see Queue.throttled.
const (
	// usageWindow is the time constant of the exponential averages of an
	// account's usage. An account without requests for longer may be removed.
	usageWindow = 30 * time.Second
	// heavyDemandRatio is the ratio of an account's demand per weight to that of
	// the other accounts above which the account is heavy.
	heavyDemandRatio = 2.5
	// heavySlotFraction is the fraction of the slots up to which an account's
	// demand is never heavy.
	heavySlotFraction = 0.125
	// minUsageRatio is the ratio of an account's usage per weight to that of the
	// other accounts up to which a heavy account without a running request isn't
	// throttled. It guarantees each account a minimum of service.
	minUsageRatio = 0.1
	// headroomStdDevs is the number of standard deviations above the other
	// accounts' average usage that a heavy account leaves free for them. The
	// standard deviation is taken as the square root of the average.
	headroomStdDevs = 3
	// minWeight is the lower bound of an account's weight. It avoids division by
	// zero.
	minWeight = 0.01
)

// liveRequest is a live request that is queued or running.
type liveRequest[K comparable] struct {
	id      K
	account *account[K]
	work    int64
	suspect bool
	queued  bool
	// virtualStart is the request's start tag in the fair queueing across
	// accounts, in tokens per weight. The lowest starts first.
	virtualStart float64
	// arrivalSeq numbers the requests in order of arrival.
	arrivalSeq uint64
	arrivedAt  time.Time
	startedAt  time.Time
	expiresAt  time.Time
}

// expiryError returns the error of a queued request whose wait has expired. A
// suspect gets Overloaded instead of QueueTimeout, because another upstream may
// be able to run it.
func (req *liveRequest[K]) expiryError(now time.Time) *bhcode.Error {
	if req.suspect {
		return bhcode.New(bhcode.Overloaded, "another suspect ran for too long")
	}
	return bhcode.New(bhcode.QueueTimeout, "waited %s", now.Sub(req.arrivedAt))
}

// account holds the queue and the usage of one client account at the upstream.
type account[K comparable] struct {
	name    string
	weight  float64
	queue   []*liveRequest[K]
	running int
	// virtualFinish is the finish tag of the account's latest request: the
	// virtual time from which its next request may start.
	virtualFinish float64
	// avgRunning is the average number of running requests and avgDemand that of
	// running and queued requests, both as of averagedAt.
	avgRunning float64
	avgDemand  float64
	averagedAt time.Time
	// lastActive is when a request of the account last arrived, started or left
	// its slot.
	lastActive time.Time
}

// updateAverages advances the exponential averages to now. The caller must call
// it before it changes the number of running or queued requests, because the
// averages assume that these were constant since averagedAt.
func (a *account[K]) updateAverages(now time.Time) {
	decay := math.Exp(-float64(now.Sub(a.averagedAt)) / float64(usageWindow))
	a.avgRunning = a.avgRunning*decay + float64(a.running)*(1-decay)
	a.avgDemand = a.avgDemand*decay + float64(a.running+len(a.queue))*(1-decay)
	a.averagedAt = now
}

// ensureAccount returns the account of the given name with its current weight.
// It creates a missing account, and then also removes the idle accounts.
func (q *Queue[K]) ensureAccount(name string, now time.Time) *account[K] {
	a := q.accounts[name]
	if a == nil {
		q.removeIdleAccounts(now)
		a = &account[K]{name: name, averagedAt: now}
		q.accounts[name] = a
		q.accountList = append(q.accountList, a)
	}
	a.weight = 1
	if q.config.Weight != nil {
		a.weight = max(q.config.Weight(name), minWeight)
	}
	a.lastActive = now
	return a
}

// removeIdleAccounts removes the accounts that have no request, were not active
// within usageWindow and have used no virtual time ahead of the queue's.
// Without the last condition an account could return with its usage forgotten.
func (q *Queue[K]) removeIdleAccounts(now time.Time) {
	q.accountList = slices.DeleteFunc(q.accountList, func(a *account[K]) bool {
		idle := a.running == 0 && len(a.queue) == 0 && now.Sub(a.lastActive) > usageWindow
		if !idle || a.virtualFinish > q.virtualTime {
			return false
		}
		delete(q.accounts, a.name)
		return true
	})
}

// throttled reports whether the account may not start another request now. That
// is so if its demand per weight is far above that of the other accounts, it has
// had its minimum of service, and the request would take a slot that is reserved
// for the others. It updates the averages of the account and, where it compares
// them, of the others.
func (q *Queue[K]) throttled(now time.Time, a *account[K]) bool {
	if q.config.Policy == FIFO {
		return false
	}
	slots := float64(q.config.Slots)
	a.updateAverages(now)
	if a.avgDemand <= heavySlotFraction*slots {
		return false
	}
	othersRunning, othersDemand, othersWeight, runningNow := 0.0, 0.0, 0.0, 0
	for _, other := range q.accountList {
		if other == a {
			continue
		}
		other.updateAverages(now)
		othersRunning += other.avgRunning
		othersDemand += other.avgDemand
		runningNow += other.running
		othersWeight += other.weight
	}
	if othersWeight == 0 {
		return false
	}
	weightRatio := a.weight / othersWeight
	if a.avgDemand <= heavyDemandRatio*weightRatio*othersDemand {
		return false
	}
	if a.running == 0 && a.avgRunning <= minUsageRatio*weightRatio*othersRunning {
		return false
	}
	reserved := max(othersRunning+headroomStdDevs*math.Sqrt(othersRunning), float64(runningNow))
	return float64(a.running+1) > slots-reserved
}
