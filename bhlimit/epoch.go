package bhlimit

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// OwnersPerAccount is the number of entries among which an account's rate and
// burst are divided, or all members if there are fewer.
const OwnersPerAccount = 5

// Limit is a rate in tokens per second and a burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// Member is one incarnation of an entry, from the start of its process to its
// end.
type Member struct {
	Host string `json:"host"`
	// Incarnation is higher for each later start of the host's process.
	Incarnation uint64 `json:"start"`
}

// Epoch is a version of the membership, stored as one row of the table.
type Epoch struct {
	// Number is the version of the row in the table.
	Number int64 `json:"-"`
	// Members are the entries that own the accounts, in order of host.
	Members []Member `json:"members"`
	// Previous are the members of the previous epoch. It is empty in the
	// first epoch of the fleet.
	Previous []Member `json:"previous"`
}

// ParseEpoch decodes the row's value as the epoch with the number. The error
// has the code FrameInvalid.
func ParseEpoch(number int64, value []byte) (Epoch, error) {
	epoch := Epoch{Number: number}
	if err := json.Unmarshal(value, &epoch); err != nil {
		return Epoch{}, bhcode.Wrap(err, bhcode.FrameInvalid, "membership row")
	}
	return epoch, nil
}

// Value encodes the epoch as the row's value, without its number.
func (e Epoch) Value() []byte {
	value, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return value
}

// successor returns the epoch with the members that follows e. Its number is
// known only after the write.
func (e Epoch) successor(members []Member) Epoch {
	return Epoch{Members: members, Previous: e.Members}
}

// accountOwners returns the hosts that own the account, chosen by rendezvous
// hashing and ordered by descending score.
func accountOwners(account string, members []Member) []string {
	type scored struct {
		host  string
		score uint64
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{m.Host, hostScore(account, m.Host)})
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
	hosts := make([]string, 0, OwnersPerAccount)
	for _, s := range all[:min(OwnersPerAccount, len(all))] {
		hosts = append(hosts, s.host)
	}
	return hosts
}

// hostScore returns the score by which hosts are ordered, in a different
// order for each account.
func hostScore(account, host string) uint64 { return xxhash.Sum64String(account + "\x00" + host) }

// ownerShare returns the part of limit that host owns: an equal share if it
// is one of the owners in hosts, else zero.
func ownerShare(limit Limit, hosts []string, host string) Limit {
	if !slices.Contains(hosts, host) {
		return Limit{}
	}
	n := float64(len(hosts))
	return Limit{Rate: limit.Rate / n, Burst: limit.Burst / n}
}

// minLimit returns the lower rate and the lower burst of both limits.
func minLimit(a, b Limit) Limit {
	return Limit{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}

// Timings are the durations that all entries of a fleet must share.
type Timings struct {
	// ConfirmationTTL is how long a vote or a read of the table confirms the
	// epoch, counted from when the question or the read was sent.
	ConfirmationTTL time.Duration
	// LeaseTerm is the term of a rate lease, and the longest term that a
	// lender grants. The borrower counts it from when it sent its request.
	LeaseTerm time.Duration
	// MaxTableOutage is how long votes alone confirm an epoch after the last
	// confirmation by the table.
	MaxTableOutage time.Duration
	// PeerTimeout is how long a member may go unheard before it is removed
	// from the epoch.
	PeerTimeout time.Duration
	// ClockSlack is added to waits because clocks run at different rates.
	ClockSlack time.Duration
}

// DefaultTimings returns the values for a production fleet.
func DefaultTimings() Timings {
	return Timings{
		ConfirmationTTL: 1000 * time.Millisecond,
		LeaseTerm:       700 * time.Millisecond,
		MaxTableOutage:  70 * time.Minute,
		PeerTimeout:     1100 * time.Millisecond,
		ClockSlack:      100 * time.Millisecond,
	}
}

// fenceDelay returns how long a member may still spend what it owns, or a
// borrower what the member lent to it, after a majority stopped voting for
// the member's epoch: the last vote, a lease made at its end, and the slack.
func (t Timings) fenceDelay() time.Duration { return t.ConfirmationTTL + t.LeaseTerm + t.ClockSlack }
