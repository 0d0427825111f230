package bhlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBound checks that no account exceeds its limit in any window, whatever
// fails.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(t, "size")
		limits := map[string]Limit{"x": {Rate: 20, Burst: 15}, "y": {Rate: 3, Burst: 4}}
		terms := DefaultTerms()
		if rapid.Bool().Draw(t, "short") {
			terms.Blind = 10 * time.Second
		}
		s := newSim(size, terms, limits, rapid.Uint64().Draw(t, "seed"))
		if rapid.Bool().Draw(t, "lossy") {
			s.loss = 0.05
		}
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 25).Draw(t, "faults")
		for range 500 {
			s.advance()
		}
		for _, fault := range faults {
			s.fail(fault)
			for range s.rand.IntN(300) {
				s.advance()
				s.flood()
			}
		}
		for range 1000 {
			s.advance()
			s.flood()
		}
		for account, c := range s.checks {
			require.LessOrEqual(t, c.over, 1e-6, "account %s over its limit", account)
		}
	})
}

// flood sends requests above the rate to random hosts, at times all to one.
func (s *sim) flood() {
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

func (s *sim) fail(kind int) {
	i, j := s.rand.IntN(len(s.hosts)), s.rand.IntN(len(s.hosts))
	until := s.now.Add(time.Duration(s.rand.Int64N(int64(12 * time.Second))))
	switch kind {
	case 0:
		s.kill(i)
	case 1:
		s.restart(i)
	case 2:
		s.hosts[i].frozen = until
	case 3:
		s.hosts[i].cut = until
	case 4:
		s.hosts[i].blind = until
	case 5:
		s.hosts[i].cut, s.hosts[i].blind = until, until
	case 6:
		s.down = until
	case 7:
		s.slow = until
	case 8:
		s.pairs[[2]int{min(i, j), max(i, j)}] = until
	case 9:
		next := map[string]Limit{"y": {Rate: 3, Burst: 4}}
		next["x"] = Limit{Rate: 5 + 30*s.rand.Float64(), Burst: 15}
		s.limits = append(s.limits, next)
		s.held = append(s.held, s.now)
	}
}

// A loan that was made under a higher limit must not be renewed beyond what the
// lender owns under the lower one.
func TestLoansShrinkWithTheLimit(t *testing.T) {
	s := newSim(2, DefaultTerms(), map[string]Limit{"x": {Rate: 20, Burst: 15}}, 1)
	run := func(steps int) {
		for range steps {
			s.advance()
			s.request(0, "x")
		}
	}
	run(1000)
	s.limits = append(s.limits, map[string]Limit{"x": {Rate: 6, Burst: 15}})
	s.held = append(s.held, s.now)
	run(2000)
	require.LessOrEqual(t, s.checks["x"].over, 1e-6)
	for _, h := range s.hosts {
		b := h.node.buckets["x"]
		require.LessOrEqual(t, b.lentOut().Rate, b.own.Rate+tolerance)
	}
}

// The only member of an epoch may act for long without the table. Once it has
// company that confirmation must not last beyond the change.
func TestBoundAfterALoneMemberGotCompany(t *testing.T) {
	require.NotZero(t, DefaultTerms().Blind)
	s := newSim(3, DefaultTerms(), map[string]Limit{"x": {Rate: 20, Burst: 15}, "y": {Rate: 3, Burst: 4}}, 0x20c9a23ede)
	s.loss = 0.05
	for range 500 {
		s.advance()
	}
	for _, fault := range []int{3, 0, 2, 2, 0, 1, 7, 5} {
		s.fail(fault)
		for range s.rand.IntN(300) {
			s.advance()
			s.flood()
		}
	}
	for range 1000 {
		s.advance()
		s.flood()
	}
	require.LessOrEqual(t, s.checks["x"].over, 1e-6)
}
