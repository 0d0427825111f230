// Package bhshare decides which callers may wait for full engines: requests of a less
// urgent priority yield to more urgent ones, and accounts that hold more than their
// fair share of the slots yield to the others. It has no clock, sockets or goroutines.
// Runners keep a Ledger of the requests announced for their engine, gateways add up
// what the runners of a sample of engines tell, and package bhadmit asks for the
// Standing of a request there.
package bhshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Unknown is the ID of callers of which nothing is known, such as those that gateways
// of an older version announce.
const Unknown uint32 = 0

// ID returns a short name of the account with the name.
func ID(account string) uint32 {
	return max(Unknown+1, uint32(xxhash.Sum64String(account))) //nolint:gosec // the low half is meant
}

// Caller is what an account has at an engine with one priority.
type Caller struct {
	// Account is the ID of the account.
	Account uint32
	// Priority is that of the requests; 0 is the most urgent.
	Priority int
	// Live is the number of live requests that run, wait or are announced.
	Live int
}

// Usage is what callers have at a number of engines, which stands for the whole fleet.
type Usage struct {
	live map[slot]int
}

// slot is what tells callers apart.
type slot struct {
	account  uint32
	priority int
}

// Add adds the callers of an engine.
func (u *Usage) Add(callers ...Caller) {
	if u.live == nil {
		u.live = make(map[slot]int)
	}
	for _, caller := range callers {
		// A negative count can only come from a faulty peer.
		if caller.Account != Unknown && caller.Live > 0 {
			u.live[slot{caller.Account, caller.Priority}] += caller.Live
		}
	}
}

// Standing returns how a request of the account with the priority stands among the
// callers.
func (u *Usage) Standing(account uint32, priority int, weights *Weights) Standing {
	standing := Standing{Own: u.live[slot{account, priority}], Accounts: 1}
	total, sum := standing.Own, weights.of(account)
	for caller, live := range u.live {
		switch {
		case caller.priority < priority:
			standing.Urgent += live
		case caller.priority == priority && caller.account != account:
			total += live
			sum += weights.of(caller.account)
			standing.Accounts++
		}
	}
	standing.Fair = float64(total) * weights.of(account) / sum
	return standing
}

// Standing is how a request stands among the callers at the engines asked. The zero
// value is that of a request without competitors.
type Standing struct {
	// Own is the number of live requests of the account with the request's priority.
	Own int
	// Fair is the account's part, by weight, of the live requests of its priority.
	Fair float64
	// Accounts is the number of accounts that compete at that priority, the request's
	// own included.
	Accounts int
	// Urgent is the number of live requests of more urgent priorities.
	Urgent int
}

// Reason tells to whom a request yields.
type Reason int

// Reasons to yield.
const (
	// None means that the request may wait like any other.
	None Reason = iota
	// Priority means that it yields to more urgent requests.
	Priority
	// Share means that it yields to accounts that hold less of the slots.
	Share
)

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{None, Priority, Share} }

// String returns the reason as logs and metrics name it.
func (r Reason) String() string {
	switch r {
	case Priority:
		return "priority"
	case Share:
		return "share"
	}
	return "none"
}

// Yields returns why the request may not wait for a slot. The engines asked are a
// sample, so an account counts as above its share only by what exceeds the standard
// deviation of its count.
func (s Standing) Yields() Reason {
	own := float64(s.Own)
	switch {
	case s.Urgent > 0:
		return Priority
	case s.Accounts > 1 && own-math.Sqrt(own) > s.Fair:
		return Share
	}
	return None
}

// maxAnnounced bounds the announcements that a Ledger keeps. It is more than an engine
// runs and queues.
const maxAnnounced = 256

// Ledger tells whose live requests an engine has. Nothing tells it which of them have
// ended: engines admit requests in order of arrival, so those that an engine still has
// are taken to be the newest. The counts are then shares of what was admitted lately,
// and accounts with long requests aren't at a disadvantage.
//
// It is not safe for concurrent use.
type Ledger struct {
	// announced holds the newest announcements, the oldest first.
	announced []announcement
}

// announcement is a request that was announced at a time.
type announcement struct {
	slot
	at time.Duration
}

// Announce adds a request of the account with the priority, announced at now.
func (l *Ledger) Announce(account uint32, priority int, now time.Duration) {
	if len(l.announced) == maxAnnounced {
		l.announced = slices.Delete(l.announced, 0, maxAnnounced/2)
	}
	l.announced = append(l.announced, announcement{slot{account, priority}, now})
}

// newest returns the announcements of an engine that has the number of live requests.
func (l *Ledger) newest(live int) []announcement {
	return l.announced[max(0, len(l.announced)-max(0, live)):]
}

// Oldest returns when the oldest request of an engine that has the number of live
// requests was announced, or false if there is none or it isn't known.
func (l *Ledger) Oldest(live int) (time.Duration, bool) {
	newest := l.newest(live)
	if len(newest) == 0 || len(newest) < live {
		return 0, false
	}
	return newest[0].at, true
}

// Callers returns the known callers of an engine that has the number of live requests,
// those with the most first.
func (l *Ledger) Callers(live int) []Caller {
	counts := make(map[slot]int)
	for _, announced := range l.newest(live) {
		if announced.account != Unknown {
			counts[announced.slot]++
		}
	}
	callers := make([]Caller, 0, len(counts))
	for caller, count := range counts {
		callers = append(callers, Caller{Account: caller.account, Priority: caller.priority, Live: count})
	}
	slices.SortFunc(callers, func(a, b Caller) int {
		return cmp.Or(cmp.Compare(b.Live, a.Live), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Account, b.Account))
	})
	return callers
}
