// Package bhlimit holds every client account to its rate and burst over all
// entries together.
//
// Each account's rate and burst are divided among a few entries, its owners,
// which follow from the members of the current epoch alone. Entries lend parts
// of what they own to each other for a short term. An epoch is one row of the
// table, changed by compare-and-set; an entry spends what it owns only while
// the table or a majority of the epoch's members has recently confirmed the
// epoch. All decisions are made by Node, which has no sockets, goroutines or
// clock of its own; Limiter drives it.
package bhlimit

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Owners is the number of entries that divide an account's rate and burst.
const Owners = 5

// Limit is a rate in tokens per second and a burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// Member is one start of an entry.
type Member struct {
	Host string `json:"host"`
	// Start is the incarnation number; later starts have higher numbers.
	Start uint64 `json:"start"`
}

// Epoch is the membership row. Its number is the row's version in the table.
type Epoch struct {
	Number int64 `json:"-"`
	// Members own the accounts, in order of host.
	Members []Member `json:"members"`
	// Previous are the members of the epoch before.
	Previous []Member `json:"previous"`
}

// ParseEpoch reads the row's value.
func ParseEpoch(number int64, value []byte) (Epoch, error) {
	epoch := Epoch{Number: number}
	if err := json.Unmarshal(value, &epoch); err != nil {
		return Epoch{}, bhcode.Wrap(err, bhcode.FrameInvalid, "membership row")
	}
	return epoch, nil
}

// Value returns the row's value.
func (e Epoch) Value() []byte {
	value, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return value
}

// next returns the proposal for the epoch that follows e.
func (e Epoch) next(members []Member) Epoch {
	return Epoch{Members: members, Previous: e.Members}
}

// owners returns the hosts that own the account, best first.
func owners(account string, members []Member) []string {
	type scored struct {
		host  string
		score uint64
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{m.Host, order(account, m.Host)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.host, b.host)
	})
	hosts := make([]string, 0, Owners)
	for _, s := range all[:min(Owners, len(all))] {
		hosts = append(hosts, s.host)
	}
	return hosts
}

// order returns a number that orders hosts, differently for each account.
func order(account, host string) uint64 { return xxhash.Sum64String(account + "\x00" + host) }

// portion returns the part of limit that host owns.
func portion(limit Limit, hosts []string, host string) Limit {
	if !slices.Contains(hosts, host) {
		return Limit{}
	}
	n := float64(len(hosts))
	return Limit{Rate: limit.Rate / n, Burst: limit.Burst / n}
}

// lower returns the smaller rate and the smaller burst of both limits.
func lower(a, b Limit) Limit {
	return Limit{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}

// Terms are the durations that all entries of a fleet share.
type Terms struct {
	// Vote is how long a confirmation of the epoch lasts, counted from its question.
	Vote time.Duration
	// Loan is how long a loan lasts, counted by its borrower from the ask.
	Loan time.Duration
	// Blind is how long votes alone confirm an epoch without the table.
	Blind time.Duration
	// Silence is how long a member may be unheard before it is removed.
	Silence time.Duration
	// Slack covers differences between the rates of clocks.
	Slack time.Duration
}

// DefaultTerms are the terms of a production fleet.
func DefaultTerms() Terms {
	return Terms{
		Vote:    1000 * time.Millisecond,
		Loan:    700 * time.Millisecond,
		Blind:   70 * time.Minute,
		Silence: 1100 * time.Millisecond,
		Slack:   100 * time.Millisecond,
	}
}

// lockout is how long after the loss of its confirmations a member, or a
// borrower of what it owned, may still spend.
func (t Terms) lockout() time.Duration { return t.Vote + t.Loan + t.Slack }
