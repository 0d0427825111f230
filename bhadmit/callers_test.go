package bhadmit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The bounds below are the users' aims for callers that compete.
const (
	// aimLossToHotAccount is how much less often the others may be served in time
	// beside an account that sends many times its usual.
	aimLossToHotAccount = 0.05
	// aimWorstTenth is how often the worst-served tenth of accounts is served in
	// time, as a part of the mean.
	aimWorstTenth = 0.8
	// aimLossToOrder is how much less often all callers together may be served in
	// time than without an order among them.
	aimLossToOrder = 0.01
	// aimLossToLessUrgent is how much less often the most urgent requests may be
	// served in time than if they were alone.
	aimLossToLessUrgent = 0.02
)

// highPhase is the load of the high phase without a burst, as a part of the capacity.
const highPhase = 0.75

// A burst of 1.5 is on, and one account sends 9 times its usual.
func TestHotAccountInABurst(t *testing.T) {
	l := manyAccounts(1.5*highPhase, none)
	l.length = 20 * time.Second // three high phases
	for _, rank := range []int{1, 4, 20} {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) { testHotAccount(t, l, rank) })
	}
}

func TestHotAccountWithHalfOfTheEnginesDark(t *testing.T) {
	testHotAccount(t, manyAccounts(highPhase, darkHalf), 4)
}

// testHotAccount plays the load with and without an account of the rank by size that
// sends 9 times its usual.
func testHotAccount(t *testing.T, l load, rank int) {
	calm := run[Ordered[ByObjective]](l)
	l.accounts = slices.Clone(l.accounts)
	l.accounts[rank-1].times = func(time.Duration) float64 { return 9 }
	ordered, unordered := run[Ordered[ByObjective]](l), run[ByObjective](l)
	account, usual := ordered.accounts[rank-1], calm.accounts[rank-1]
	t.Logf("others in time: %.3f without the hot account, %.3f beside it, %.3f unordered; refused twice %.3f, %.3f, %.3f",
		calm.others(rank).served(), ordered.others(rank).served(), unordered.others(rank).served(), calm.others(rank).refusedTwice(), ordered.others(rank).refusedTwice(), unordered.others(rank).refusedTwice())
	t.Logf("hot account in time: %d of %d, usually %d of %d", account.inTime, account.sent, usual.inTime, usual.sent)
	assert.GreaterOrEqual(t, ordered.others(rank).served(), calm.others(rank).served()-aimLossToHotAccount)
	assert.GreaterOrEqual(t, ordered.others(rank).served(), aimInTime)
	assert.LessOrEqual(t, ordered.others(rank).refusedTwice(), aimRefusedTwice)
	assert.GreaterOrEqual(t, account.inTime, usual.inTime, "it gets its share, which is its usual amount at least")
	assert.GreaterOrEqual(t, ordered.others(rank).served(), unordered.others(rank).served(), "with the mechanism off")
	assert.LessOrEqual(t, ordered.share(ordered.refusedWithFreeSlots), 0.005, "nobody is refused while a slot is free")
}

func TestAccountsOfSkewedSizesOverTheCapacity(t *testing.T) {
	for _, high := range []float64{1.1, 1.3, 1.6} {
		t.Run(fmt.Sprint("high phase at ", high), func(t *testing.T) {
			l := manyAccounts(high, none)
			ordered, unordered := run[Ordered[ByObjective]](l), run[ByObjective](l)
			t.Logf("in time %.3f, unordered %.3f; worst tenth %.3f, unordered %.3f; refused twice %.3f, unordered %.3f", ordered.served(), unordered.served(), ordered.worstTenth(), unordered.worstTenth(),
				ordered.share(ordered.refused), unordered.share(unordered.refused))
			assert.GreaterOrEqual(t, ordered.worstTenth(), aimWorstTenth*ordered.served())
			assert.GreaterOrEqual(t, ordered.served(), unordered.served()-aimLossToOrder)
			assert.LessOrEqual(t, ordered.share(ordered.refusedWithFreeSlots), 0.005, "nobody is refused while a slot is free")
		})
	}
}

func TestLessUrgentRequestsGetWhatIsLeft(t *testing.T) {
	const high = 1.4
	for _, c := range []struct {
		// urgent is what the urgent requests are of the capacity in the high phase, in
		// percent.
		urgent int
		seed   uint64
	}{{30, 1}, {70, 1}, {110, 1}, {110, 2}, {110, 3}} {
		t.Run(fmt.Sprintf("urgent_%d_seed_%d", c.urgent, c.seed), func(t *testing.T) {
			l := manyAccounts(high, none)
			l.seed = c.seed
			urgent := float64(c.urgent) / 100
			l.accounts = []modelAccount{{name: "urgent", part: urgent / high}}
			alone := run[Ordered[ByObjective]](l)
			l.accounts = append(l.accounts, modelAccount{name: "other", priority: 1, part: 1 - urgent/high})
			both, unordered := run[Ordered[ByObjective]](l), run[ByObjective](l)
			t.Logf("urgent alone %.3f, beside others %.3f, unordered %.3f; others %.3f, unordered %.3f; all %.3f, unordered %.3f", alone.served(), both.accounts[0].served(), unordered.accounts[0].served(),
				both.accounts[1].served(), unordered.accounts[1].served(), both.served(), unordered.served())
			assert.GreaterOrEqual(t, both.accounts[0].served(), alone.served()-aimLossToLessUrgent)
			assert.Positive(t, both.accounts[1].inTime, "the less urgent get what is left")
		})
	}
}

// manyAccounts returns the load of a square wave, whose high phase is a part of the
// capacity, from 80 accounts of skewed sizes, largest first, on 44 engines with 8 slots
// behind 31 gateways.
func manyAccounts(high float64, lost func(time.Duration) int) load {
	l := fleet(squareWave(high*capacity(44, 8)/1.84), lost)
	l.engines, l.gateways = 44, 31
	sum := 0.0
	for i := range 80 {
		account := modelAccount{name: fmt.Sprint("account ", i), part: math.Pow(float64(i+1), -1.2)}
		l.accounts = append(l.accounts, account)
		sum += account.part
	}
	for i := range l.accounts {
		l.accounts[i].part /= sum
	}
	return l
}

// others counts what became of the requests of all accounts but that of the rank.
func (o *outcome) others(rank int) accountOutcome {
	var sum accountOutcome
	for i, account := range o.accounts {
		if i != rank-1 {
			sum = sum.plus(account)
		}
	}
	return sum
}

// worstTenth is the share served in time of the tenth of accounts served worst.
func (o *outcome) worstTenth() float64 {
	accounts := slices.Clone(o.accounts)
	slices.SortFunc(accounts, func(a, b accountOutcome) int { return cmp.Compare(a.served(), b.served()) })
	var sum accountOutcome
	for _, account := range accounts[:len(accounts)/10] {
		sum = sum.plus(account)
	}
	return sum.served()
}
