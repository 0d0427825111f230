package bhlimit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// staticSplit is a limitScheme that divides each limit evenly among the
// hosts. The parts never change.
type staticSplit struct {
	hostCount int
	limits    map[string]Limit
	buckets   map[string]*checker
}

func (p *staticSplit) allow(now time.Time, host int, account string) bool {
	limit := p.limits[account]
	limit = Limit{Rate: limit.Rate / float64(p.hostCount), Burst: limit.Burst / float64(p.hostCount)}
	key := fmt.Sprint(host, account)
	if p.buckets[key] == nil {
		p.buckets[key] = &checker{lastAdmit: now}
	}
	if !p.buckets[key].allows(now, limit) {
		return false
	}
	p.buckets[key].admit(now, limit)
	return true
}

// writePerRequest is a limitScheme that writes a row for each request. The
// table takes tableWritesPerSecond, and a request waits for its write at most
// MaxTokenWait.
type writePerRequest struct {
	sim         *sim
	limits      map[string]Limit
	checkers    map[string]*checker
	tableFreeAt time.Time
}

// tableWritesPerSecond is the rate of writes that the table sustains.
const tableWritesPerSecond = 400

func (p *writePerRequest) allow(now time.Time, _ int, account string) bool {
	if now.Before(p.sim.tableDownUntil) {
		return false
	}
	if p.tableFreeAt.Before(now) {
		p.tableFreeAt = now
	}
	if p.tableFreeAt.Sub(now) > MaxTokenWait {
		return false
	}
	p.tableFreeAt = p.tableFreeAt.Add(time.Second / tableWritesPerSecond)
	p.sim.rowWrites++
	if p.checkers[account] == nil {
		p.checkers[account] = &checker{lastAdmit: now}
	}
	if !p.checkers[account].allows(now, p.limits[account]) {
		return false
	}
	p.checkers[account].admit(now, p.limits[account])
	return true
}

// trafficPattern is a pattern of requests and faults.
type trafficPattern struct {
	name      string
	hostCount int
	// load is the rate of requests of each account, as a part of its rate
	// limit.
	load float64
	// limit is the limit of each account.
	limit        Limit
	accountCount int
	duration     time.Duration
	// pickHost returns the host that gets a request sent at a time since the
	// start.
	pickHost func(s *sim, at time.Duration) int
	// injectFault, if set, is called in every step with the time since the
	// start.
	injectFault func(s *sim, at time.Duration)
	// countFrom is the time since the start at which the counting of requests
	// and refusals starts.
	countFrom time.Duration
	// maxWrongShare is the largest allowed share of wrongful refusals.
	maxWrongShare float64
}

// randomLiveHost picks any host that is alive.
func randomLiveHost(s *sim, _ time.Duration) int {
	for {
		if i := s.rand.IntN(len(s.hosts)); !s.hosts[i].dead {
			return i
		}
	}
}

// rotatingHost picks the same host for 20 s, then the next one.
func rotatingHost(s *sim, at time.Duration) int {
	return int(at/(20*time.Second)) % len(s.hosts)
}

// hostZeroThenOne picks host 0 and, once it is dead, host 1.
func hostZeroThenOne(s *sim, _ time.Duration) int {
	if s.hosts[0].dead {
		return 1
	}
	return 0
}

// killHostZero kills host 0 after 30 s.
func killHostZero(s *sim, at time.Duration) {
	if at == 30*time.Second {
		s.kill(0)
	}
}

// stopTable makes the table unreachable for an hour after 30 s.
func stopTable(s *sim, at time.Duration) {
	if at == 30*time.Second {
		s.tableDownUntil = s.now.Add(time.Hour)
	}
}

var trafficPatterns = []trafficPattern{
	{name: "even, 3 entries", hostCount: 3, load: 0.8, limit: Limit{20, 40}, accountCount: 4, duration: 2 * time.Minute, pickHost: randomLiveHost, maxWrongShare: 0.001},
	{name: "even, 20 entries", hostCount: 20, load: 0.8, limit: Limit{20, 40}, accountCount: 4, duration: 20 * time.Second, pickHost: randomLiveHost, maxWrongShare: 0.001},
	{name: "one entry, then another", hostCount: 3, load: 0.8, limit: Limit{20, 40}, accountCount: 4, duration: 2 * time.Minute, pickHost: rotatingHost, maxWrongShare: 0.001},
	{name: "one of 20, then another", hostCount: 20, load: 0.8, limit: Limit{20, 40}, accountCount: 4, duration: 45 * time.Second, pickHost: rotatingHost, maxWrongShare: 0.001},
	{name: "entry lost, 3 entries", hostCount: 3, load: 0.8, limit: Limit{20, 40}, accountCount: 8, duration: time.Minute, pickHost: randomLiveHost, injectFault: killHostZero, countFrom: 30 * time.Second, maxWrongShare: 0.01},
	{name: "entry lost, 20 entries", hostCount: 20, load: 0.8, limit: Limit{20, 40}, accountCount: 4, duration: 45 * time.Second, pickHost: randomLiveHost, injectFault: killHostZero, countFrom: 30 * time.Second, maxWrongShare: 0.01},
	{name: "the one entry lost", hostCount: 3, load: 0.8, limit: Limit{20, 40}, accountCount: 8, duration: time.Minute, pickHost: hostZeroThenOne, injectFault: killHostZero, countFrom: 30 * time.Second, maxWrongShare: 0.01},
	{name: "table down for an hour", hostCount: 3, load: 0.8, limit: Limit{20, 40}, accountCount: 1, duration: time.Hour + 30*time.Second, pickHost: rotatingHost, injectFault: stopTable, countFrom: 30 * time.Second},
	{name: "small burst, one of 20, then another", hostCount: 20, load: 0.8, limit: Limit{2, 5}, accountCount: 10, duration: 45 * time.Second, pickHost: rotatingHost, maxWrongShare: 0.001},
	{name: "small burst, 20 entries", hostCount: 20, load: 0.8, limit: Limit{2, 5}, accountCount: 10, duration: 45 * time.Second, pickHost: randomLiveHost, maxWrongShare: 0.001},
}

// TestWrongfulRefusals checks that few requests are refused although their
// account is within its limit, for accounts with a large burst.
func TestWrongfulRefusals(t *testing.T) { checkRefusals(t, false) }

// TestWrongfulRefusalsOfSmallBursts checks the same for accounts with a small
// burst.
func TestWrongfulRefusalsOfSmallBursts(t *testing.T) { checkRefusals(t, true) }

// checkRefusals checks the limits and the share of wrongful refusals of the
// traffic patterns with a small burst, or of all others.
func checkRefusals(t *testing.T, small bool) {
	for _, tr := range trafficPatterns {
		if strings.HasPrefix(tr.name, "small burst") != small {
			continue
		}
		s := tr.simulate(nil, false)
		for account, c := range s.checkers {
			require.LessOrEqual(t, c.maxOverBurst, 1e-6, "%s: tokens spent over the limit of account %s", tr.name, account)
		}
		require.LessOrEqual(t, s.wrongRefusalShare(), tr.maxWrongShare, tr.name)
	}
}

// BenchmarkRefusals prints a table of the shares of wrongful refusals of Node
// ("grants") and of two simpler schemes, with the messages, bytes and row
// writes that Node needs.
func BenchmarkRefusals(b *testing.B) {
	var report strings.Builder
	fmt.Fprintln(&report, "| traffic | grants | static split | write per request | messages/s per entry | bytes/s per entry | writes |")
	fmt.Fprintln(&report, "|---|---|---|---|---|---|---|")
	for _, tr := range trafficPatterns {
		s := tr.simulate(nil, true)
		split := tr.simulate(func(_ *sim, limits map[string]Limit) limitScheme {
			return &staticSplit{hostCount: tr.hostCount, limits: limits, buckets: map[string]*checker{}}
		}, false)
		perRequest := tr.simulate(func(s *sim, limits map[string]Limit) limitScheme {
			return &writePerRequest{sim: s, limits: limits, checkers: map[string]*checker{}}
		}, false)
		hostSeconds := float64(tr.hostCount) * tr.duration.Seconds()
		fmt.Fprintf(&report, "| %s | %.3f%% | %.2f%% | %.2f%% | %.0f | %.0f | %d |\n", tr.name, 100*s.wrongRefusalShare(),
			100*split.wrongRefusalShare(), 100*perRequest.wrongRefusalShare(), float64(s.messagesSent)/hostSeconds, float64(s.bytesSent)/hostSeconds, s.rowWrites)
	}
	fmt.Print("\n", report.String())
}

// simulate runs the traffic pattern with Node, or with newScheme if it isn't
// nil, after 10 s for the first epoch to form. countBytes also counts the
// bytes of all messages, which takes time.
func (tr trafficPattern) simulate(newScheme func(*sim, map[string]Limit) limitScheme, countBytes bool) *sim {
	limits := map[string]Limit{}
	for i := range tr.accountCount {
		limits[fmt.Sprint("account", i)] = tr.limit
	}
	s := newSim(tr.hostCount, DefaultTimings(), limits, 7)
	for range 1000 {
		s.advance()
	}
	if newScheme != nil {
		s.scheme = newScheme(s, limits)
	}
	s.messagesSent, s.bytesSent, s.rowWrites = 0, 0, 0
	s.countBytes = countBytes
	requestProbability := tr.load * tr.limit.Rate * simStep.Seconds()
	for at := time.Duration(0); at < tr.duration; at += simStep {
		if at == tr.countFrom {
			clear(s.requests)
			clear(s.wrongRefusals)
		}
		if tr.injectFault != nil {
			tr.injectFault(s, at)
		}
		s.advance()
		for i := range tr.accountCount {
			if s.rand.Float64() < requestProbability {
				s.request(tr.pickHost(s, at), fmt.Sprint("account", i))
			}
		}
	}
	return s
}

// wrongRefusalShare returns the share of the requests that were refused
// although their account was within its limit.
func (s *sim) wrongRefusalShare() float64 {
	total, wrongRefusals := 0, 0
	for account := range s.checkers {
		total += s.requests[account]
		wrongRefusals += s.wrongRefusals[account]
	}
	return float64(wrongRefusals) / float64(total)
}
