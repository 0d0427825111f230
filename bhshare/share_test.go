package bhshare

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/baobabhaven/baobabhaven/bhpolicy"
)

func TestAccountAboveItsShareYields(t *testing.T) {
	weights := NewWeights([]bhpolicy.Account{{Name: "a", Rate: 10}, {Name: "b", Rate: 30}})
	var usage Usage
	usage.Add(Caller{Account: ID("a"), Live: 60}, Caller{Account: ID("b"), Live: 40})
	a, b := usage.Standing(ID("a"), 0, weights), usage.Standing(ID("b"), 0, weights)
	assert.Equal(t, Standing{Own: 60, Fair: 25, Accounts: 2}, a, "a quarter of the weight")
	assert.Equal(t, Share, a.Yields())
	assert.Equal(t, None, b.Yields())
	newcomer := usage.Standing(ID("c"), 0, weights)
	assert.Equal(t, Standing{Fair: 100.0 / 3, Accounts: 3}, newcomer, "an account without a rate weighs as much as the mean")
	assert.Equal(t, None, newcomer.Yields(), "an account without any slot never yields to others of its priority")
}

func TestAccountAloneMayUseEverything(t *testing.T) {
	var usage Usage
	usage.Add(Caller{Account: ID("a"), Live: 300})
	assert.Equal(t, None, usage.Standing(ID("a"), 0, NewWeights(nil)).Yields())
}

func TestLessUrgentRequestYields(t *testing.T) {
	var usage Usage
	usage.Add(Caller{Account: ID("a"), Live: 1}, Caller{Account: ID("b"), Priority: 2, Live: 99}, Caller{Account: ID("c"), Priority: 2, Live: 1})
	weights := NewWeights(nil)
	assert.Equal(t, None, usage.Standing(ID("a"), 0, weights).Yields(), "what less urgent priorities hold doesn't count")
	assert.Equal(t, Priority, usage.Standing(ID("c"), 2, weights).Yields())
	assert.Equal(t, 1, usage.Standing(ID("c"), 2, weights).Urgent)
	assert.Equal(t, None, usage.Standing(ID("a"), -1, weights).Yields())
}

// A sample of engines shows one or two requests of most accounts by luck.
func TestFewRequestsAreNoEvidence(t *testing.T) {
	var usage Usage
	usage.Add(Caller{Account: ID("small"), Live: 2}, Caller{Account: ID("large"), Live: 250})
	weights := NewWeights([]bhpolicy.Account{{Name: "small", Rate: 1}, {Name: "large", Rate: 300}})
	assert.Equal(t, None, usage.Standing(ID("small"), 0, weights).Yields())
}

func TestSomebodyMayAlwaysWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var usage Usage
		var accounts []bhpolicy.Account
		for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 20, rapid.ID[string]).Draw(t, "accounts") {
			accounts = append(accounts, bhpolicy.Account{Name: name, Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate")})
			usage.Add(Caller{Account: ID(name), Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Live: rapid.IntRange(1, 400).Draw(t, "live")})
		}
		weights := NewWeights(accounts)
		waiting := 0
		for caller := range usage.live {
			if usage.Standing(caller.account, caller.priority, weights).Yields() == None {
				waiting++
			}
		}
		assert.Positive(t, waiting, "all callers yield to each other")
	})
}

func TestFaultyCountsAreIgnored(t *testing.T) {
	var usage Usage
	usage.Add(Caller{Account: ID("a"), Live: -5}, Caller{Account: Unknown, Live: 7})
	assert.Equal(t, Standing{Accounts: 1}, usage.Standing(ID("a"), 0, NewWeights(nil)))
}

func TestLedgerTakesTheNewestForThoseThatRun(t *testing.T) {
	var ledger Ledger
	for range 3 {
		ledger.Announce(ID("old"), 0, 0)
	}
	ledger.Announce(ID("a"), 0, 0)
	ledger.Announce(Unknown, 0, 0)
	ledger.Announce(ID("b"), 1, 0)
	ledger.Announce(ID("b"), 1, 0)
	assert.Equal(t, []Caller{{Account: ID("b"), Priority: 1, Live: 2}, {Account: ID("a"), Live: 1}}, ledger.Callers(4))
	assert.Empty(t, ledger.Callers(0))
	assert.Empty(t, ledger.Callers(-1))
	live := 0
	for _, caller := range ledger.Callers(100) {
		live += caller.Live
	}
	assert.Equal(t, 6, live, "more requests run than were announced since the runner started")
}

func TestLedgerIsBounded(t *testing.T) {
	var ledger Ledger
	for range 10 * maxAnnounced {
		ledger.Announce(ID("a"), 0, 0)
	}
	assert.LessOrEqual(t, len(ledger.announced), maxAnnounced)
	assert.Equal(t, []Caller{{Account: ID("a"), Live: 40}}, ledger.Callers(40))
}
