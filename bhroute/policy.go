package bhroute

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Weights of the Balanced policy.
const (
	// LoadBound is the load, as a multiple of the mean, above which an upstream
	// isn't chosen for its cache.
	LoadBound = 1.25
	// HolderShare is the part of the longest cached prefix that makes an
	// upstream a holder of the prefix.
	HolderShare = 0.5
	// OtherCentreCost is the work per slot that another data centre counts for.
	OtherCentreCost = 4
)

// Reasons of a choice.
const (
	ReasonPrefix   = "prefix"
	ReasonLoad     = "load"
	ReasonOnly     = "only"
	ReasonRandom   = "random"
	ReasonRotation = "rotation"
	ReasonRequests = "requests"
	ReasonHash     = "hash"
)

// Candidate is an upstream that may be chosen for a request.
type Candidate struct {
	Upstream string
	Host     string
	// Work is the estimated work per slot in tokens, corrected by what was
	// sent since the last report.
	Work float64
	// Active is the estimated number of live requests, corrected likewise.
	Active int
	Slots  int
	// ExpectedHits is the expected number of cached leading blocks of the prefix.
	ExpectedHits float64
	// OtherCentre says whether the upstream is in another data centre.
	OtherCentre bool
}

func (o Candidate) cost() float64 {
	if o.OtherCentre {
		return o.Work + OtherCentreCost
	}
	return o.Work
}

// Policy chooses among options, of which there is at least one. It returns the
// index of the choice and the reason.
type Policy interface {
	Choose(request Request, options []Candidate, random *rand.Rand) (int, string)
}

// Balanced takes the better of two random options among those that hold the
// request's prefix and aren't overloaded, else among all.
type Balanced struct{}

// Choose implements Policy.
func (Balanced) Choose(request Request, options []Candidate, random *rand.Rand) (int, string) {
	if len(options) == 1 {
		return 0, ReasonOnly
	}
	if holders := holders(request, options); len(holders) > 0 {
		return better(options, holders, random), ReasonPrefix
	}
	all := make([]int, len(options))
	for i := range all {
		all[i] = i
	}
	return better(options, all, random), ReasonLoad
}

// holders returns the options that hold most of the prefix and carry no more
// than the bound on load.
func holders(request Request, options []Candidate) []int {
	longest, mean := 0.0, 0.0
	for _, o := range options {
		longest = max(longest, o.ExpectedHits)
		mean += o.Work / float64(len(options))
	}
	if longest < 1 {
		return nil
	}
	bound := LoadBound*mean + float64(request.Work)
	var found []int
	for i, o := range options {
		if o.ExpectedHits >= HolderShare*longest && o.Work <= bound && o.Active < max(o.Slots, 1) {
			found = append(found, i)
		}
	}
	return found
}

// better returns the cheaper of two random members of pool.
func better(options []Candidate, pool []int, random *rand.Rand) int {
	if len(pool) == 1 {
		return pool[0]
	}
	i := random.IntN(len(pool))
	j := random.IntN(len(pool) - 1)
	if j >= i {
		j++
	}
	first, second := options[pool[i]], options[pool[j]]
	if free(second) != free(first) {
		if free(first) {
			return pool[i]
		}
		return pool[j]
	}
	if second.cost() < first.cost() {
		return pool[j]
	}
	return pool[i]
}

func free(o Candidate) bool { return o.Active < o.Slots }

// Random chooses any option.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(_ Request, options []Candidate, random *rand.Rand) (int, string) {
	return random.IntN(len(options)), ReasonRandom
}

// RoundRobin chooses the options in turn.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(_ Request, options []Candidate, _ *rand.Rand) (int, string) {
	r.next++
	return r.next % len(options), ReasonRotation
}

// LeastRequests chooses the option with the fewest live requests.
type LeastRequests struct{}

// Choose implements Policy.
func (LeastRequests) Choose(_ Request, options []Candidate, random *rand.Rand) (int, string) {
	start := random.IntN(len(options))
	best := start
	for k := range options {
		i := (start + k) % len(options)
		if options[i].Active < options[best].Active {
			best = i
		}
	}
	return best, ReasonRequests
}

// PrefixHash chooses by rendezvous hashing of one prefix block, whatever the
// load.
type PrefixHash struct {
	// Block is the index of the block that is hashed.
	Block int
}

// Choose implements Policy.
func (p PrefixHash) Choose(request Request, options []Candidate, random *rand.Rand) (int, string) {
	if len(request.Prefix) <= p.Block {
		return random.IntN(len(options)), ReasonRandom
	}
	best, top := 0, uint64(0)
	for i, o := range options {
		key := binary.BigEndian.AppendUint64([]byte(o.Upstream), request.Prefix[p.Block])
		if sum := xxhash.Sum64(key); sum >= top {
			best, top = i, sum
		}
	}
	return best, ReasonHash
}
