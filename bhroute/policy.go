package bhroute

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the Balanced policy.
const (
	// LoadBound bounds the work per slot of an upstream that is chosen for its
	// cache: at most LoadBound times the mean of all candidates, plus the work of
	// the request.
	LoadBound = 1.25
	// HolderShare is the share of the most expected cache hits among the
	// candidates that makes an upstream a holder of the prefix.
	HolderShare = 0.5
	// OtherCentreCost is added to the work per slot, in tokens, of an upstream in
	// another data centre.
	OtherCentreCost = 4
)

// Reasons for a choice, as log lines show them.
const (
	ReasonPrefix   = "prefix"   // the better of two upstreams that hold the prefix
	ReasonLoad     = "load"     // the better of two upstreams, whatever their cache
	ReasonOnly     = "only"     // the only candidate
	ReasonRandom   = "random"   // random
	ReasonRotation = "rotation" // round robin
	ReasonRequests = "requests" // the fewest live requests
	ReasonHash     = "hash"     // rendezvous hashing
)

// Candidate is an upstream that can be chosen for a request, with its estimated
// load.
type Candidate struct {
	Upstream string
	Host     string
	// Work is the estimated live work per slot in tokens: the latest report plus
	// the requests that the entry sent and finished since.
	Work float64
	// Active is the number of live requests, estimated in the same way.
	Active int
	Slots  int
	// ExpectedHits is the expected number of leading blocks of the request's
	// prefix that are in the upstream's cache.
	ExpectedHits float64
	// OtherCentre says whether the upstream is in another data centre than the
	// entry. It is false if the entry's data centre isn't configured.
	OtherCentre bool
}

// cost returns the work per slot in tokens, plus the cost of leaving the entry's
// data centre.
func (c Candidate) cost() float64 {
	if c.OtherCentre {
		return c.Work + OtherCentreCost
	}
	return c.Work
}

// Policy chooses the upstream for a request.
type Policy interface {
	// Choose returns the index of the chosen candidate and the reason, one of the
	// Reason constants. There is at least one candidate. A Table calls Choose with
	// its mutex held, so that a Policy of one Table needs no mutex of its own.
	Choose(request Request, candidates []Candidate, random *rand.Rand) (int, string)
}

// Balanced chooses the better of two random candidates among those that hold the
// request's prefix and aren't overloaded. If there are none, it chooses the
// better of two random candidates among all.
type Balanced struct{}

// Choose implements Policy.
func (Balanced) Choose(request Request, candidates []Candidate, random *rand.Rand) (int, string) {
	if len(candidates) == 1 {
		return 0, ReasonOnly
	}
	if holders := prefixHolders(request, candidates); len(holders) > 0 {
		return bestOfTwo(candidates, holders, random), ReasonPrefix
	}
	all := make([]int, len(candidates))
	for i := range all {
		all[i] = i
	}
	return bestOfTwo(candidates, all, random), ReasonLoad
}

// prefixHolders returns the indexes of the candidates that hold the prefix (see
// HolderShare), have a free slot and carry no more work than LoadBound permits.
// It returns none if no candidate is expected to hold at least one block.
func prefixHolders(request Request, candidates []Candidate) []int {
	maxHits, meanWork := 0.0, 0.0
	for _, c := range candidates {
		maxHits = max(maxHits, c.ExpectedHits)
		meanWork += c.Work / float64(len(candidates))
	}
	if maxHits < 1 {
		return nil
	}
	maxWork := LoadBound*meanWork + float64(request.Work)
	var matching []int
	for i, c := range candidates {
		if c.ExpectedHits >= HolderShare*maxHits && c.Work <= maxWork && c.Active < max(c.Slots, 1) {
			matching = append(matching, i)
		}
	}
	return matching
}

// bestOfTwo compares two random members of pool, which holds indexes of
// candidates. It returns the one with a free slot, or the cheaper one if both or
// neither have a free slot.
func bestOfTwo(candidates []Candidate, pool []int, random *rand.Rand) int {
	if len(pool) == 1 {
		return pool[0]
	}
	i := random.IntN(len(pool))
	j := random.IntN(len(pool) - 1)
	if j >= i {
		j++
	}
	first, second := candidates[pool[i]], candidates[pool[j]]
	if hasFreeSlot(second) != hasFreeSlot(first) {
		if hasFreeSlot(first) {
			return pool[i]
		}
		return pool[j]
	}
	if second.cost() < first.cost() {
		return pool[j]
	}
	return pool[i]
}

func hasFreeSlot(c Candidate) bool { return c.Active < c.Slots }

// Random chooses a random candidate.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(_ Request, candidates []Candidate, random *rand.Rand) (int, string) {
	return random.IntN(len(candidates)), ReasonRandom
}

// RoundRobin chooses the candidates in turn.
type RoundRobin struct{ turn int }

// Choose implements Policy.
func (r *RoundRobin) Choose(_ Request, candidates []Candidate, _ *rand.Rand) (int, string) {
	r.turn++
	return r.turn % len(candidates), ReasonRotation
}

// LeastRequests chooses the candidate with the fewest live requests, a random one
// among equals.
type LeastRequests struct{}

// Choose implements Policy.
func (LeastRequests) Choose(_ Request, candidates []Candidate, random *rand.Rand) (int, string) {
	start := random.IntN(len(candidates))
	best := start
	for k := range candidates {
		i := (start + k) % len(candidates)
		if candidates[i].Active < candidates[best].Active {
			best = i
		}
	}
	return best, ReasonRequests
}

// PrefixHash chooses by rendezvous hashing of one prefix block, whatever the
// load. It chooses a random candidate if the prefix doesn't have that block.
type PrefixHash struct {
	// Block is the index in the prefix of the block that is hashed.
	Block int
}

// Choose implements Policy.
func (p PrefixHash) Choose(request Request, candidates []Candidate, random *rand.Rand) (int, string) {
	if len(request.Prefix) <= p.Block {
		return random.IntN(len(candidates)), ReasonRandom
	}
	best, bestSum := 0, uint64(0)
	for i, c := range candidates {
		key := binary.BigEndian.AppendUint64([]byte(c.Upstream), request.Prefix[p.Block])
		if sum := xxhash.Sum64(key); sum >= bestSum {
			best, bestSum = i, sum
		}
	}
	return best, ReasonHash
}
