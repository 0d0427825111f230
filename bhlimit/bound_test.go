package bhlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBound checks that no account exceeds its limit in any window of time
// while hosts, links and the table fail and the limits change.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(t, "size")
		limits := map[string]Limit{"x": {Rate: 20, Burst: 15}, "y": {Rate: 3, Burst: 4}}
		terms := DefaultTimings()
		if rapid.Bool().Draw(t, "short") {
			terms.MaxTableOutage = 10 * time.Second
		}
		s := newSim(size, terms, limits, rapid.Uint64().Draw(t, "seed"))
		if rapid.Bool().Draw(t, "lossy") {
			s.lossRate = 0.05
		}
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 25).Draw(t, "faults")
		for range 500 {
			s.advance()
		}
		for _, fault := range faults {
			s.injectFault(fault)
			for range s.rand.IntN(300) {
				s.advance()
				s.sendRandomRequests()
			}
		}
		for range 1000 {
			s.advance()
			s.sendRandomRequests()
		}
		for account, c := range s.checkers {
			require.LessOrEqual(t, c.maxOverBurst, 1e-6, "tokens spent over the limit of account %s", account)
		}
	})
}

// sendRandomRequests sends requests above the rate to random hosts, and
// occasionally a burst of them to one host.
func (s *sim) sendRandomRequests() {
	for range s.rand.IntN(3) {
		s.request(s.rand.IntN(len(s.hosts)), "x")
	}
	if s.rand.IntN(8) == 0 {
		s.request(s.rand.IntN(len(s.hosts)), "y")
	}
	if s.rand.IntN(300) == 0 {
		i := s.rand.IntN(len(s.hosts))
		for range 30 {
			s.request(i, "x")
		}
	}
}

// injectFault starts the fault of the kind at random hosts, for up to 12 s,
// or changes the limit of account x.
func (s *sim) injectFault(kind int) {
	i, j := s.rand.IntN(len(s.hosts)), s.rand.IntN(len(s.hosts))
	until := s.now.Add(time.Duration(s.rand.Int64N(int64(12 * time.Second))))
	switch kind {
	case 0:
		s.kill(i)
	case 1:
		s.restart(i)
	case 2:
		s.hosts[i].frozenUntil = until
	case 3:
		s.hosts[i].cutUntil = until
	case 4:
		s.hosts[i].tableLostUntil = until
	case 5:
		s.hosts[i].cutUntil, s.hosts[i].tableLostUntil = until, until
	case 6:
		s.tableDownUntil = until
	case 7:
		s.tableSlowUntil = until
	case 8:
		s.pairCutUntil[[2]int{min(i, j), max(i, j)}] = until
	case 9:
		newLimits := map[string]Limit{"y": {Rate: 3, Burst: 4}}
		newLimits["x"] = Limit{Rate: 5 + 30*s.rand.Float64(), Burst: 15}
		s.limits = append(s.limits, newLimits)
		s.limitsLastHeld = append(s.limitsLastHeld, s.now)
	}
}

// TestLeasesShrinkWithLimit guards against an account that exceeds a lowered
// limit because its leases are renewed: the lender must not renew leases made
// under the higher limit beyond what it owns under the lower one.
func TestLeasesShrinkWithLimit(t *testing.T) {
	s := newSim(2, DefaultTimings(), map[string]Limit{"x": {Rate: 20, Burst: 15}}, 1)
	advanceSteps := func(steps int) {
		for range steps {
			s.advance()
			s.request(0, "x")
		}
	}
	advanceSteps(1000)
	s.limits = append(s.limits, map[string]Limit{"x": {Rate: 6, Burst: 15}})
	s.limitsLastHeld = append(s.limitsLastHeld, s.now)
	advanceSteps(2000)
	require.LessOrEqual(t, s.checkers["x"].maxOverBurst, 1e-6)
	for _, h := range s.hosts {
		b := h.node.buckets["x"]
		require.LessOrEqual(t, b.lentTotal().Rate, b.owned.Rate+roundingTolerance)
	}
}

// TestBoundAfterSingleMemberEpochGrows guards against an account that exceeds
// its limit after the epoch of a single member is followed by one with more
// members. A single member may act without the table for
// Timings.MaxTableOutage; that confirmation must not be carried over past the
// close of its epoch.
func TestBoundAfterSingleMemberEpochGrows(t *testing.T) {
	require.NotZero(t, DefaultTimings().MaxTableOutage)
	s := newSim(3, DefaultTimings(), map[string]Limit{"x": {Rate: 20, Burst: 15}, "y": {Rate: 3, Burst: 4}}, 0x20c9a23ede)
	s.lossRate = 0.05
	for range 500 {
		s.advance()
	}
	for _, fault := range []int{3, 0, 2, 2, 0, 1, 7, 5} {
		s.injectFault(fault)
		for range s.rand.IntN(300) {
			s.advance()
			s.sendRandomRequests()
		}
	}
	for range 1000 {
		s.advance()
		s.sendRandomRequests()
	}
	require.LessOrEqual(t, s.checkers["x"].maxOverBurst, 1e-6)
}
