package bhlimit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// static divides each limit evenly among the hosts, once and for all.
type static struct {
	size    int
	limits  map[string]Limit
	buckets map[string]*checker
}

func (p *static) take(now time.Time, host int, account string) bool {
	limit := p.limits[account]
	limit = Limit{Rate: limit.Rate / float64(p.size), Burst: limit.Burst / float64(p.size)}
	key := fmt.Sprint(host, account)
	if p.buckets[key] == nil {
		p.buckets[key] = &checker{last: now}
	}
	if !p.buckets[key].within(now, limit) {
		return false
	}
	p.buckets[key].admit(now, limit)
	return true
}

// rowWrite writes a row for each request. The table takes a fixed number of
// writes each second; a request waits for its write at most DefaultWait.
type rowWrite struct {
	sim    *sim
	limits map[string]Limit
	total  map[string]*checker
	free   time.Time
}

const tableWrites = 400

func (p *rowWrite) take(now time.Time, _ int, account string) bool {
	if now.Before(p.sim.down) {
		return false
	}
	if p.free.Before(now) {
		p.free = now
	}
	if p.free.Sub(now) > DefaultWait {
		return false
	}
	p.free = p.free.Add(time.Second / tableWrites)
	p.sim.writes++
	if p.total[account] == nil {
		p.total[account] = &checker{last: now}
	}
	if !p.total[account].within(now, p.limits[account]) {
		return false
	}
	p.total[account].admit(now, p.limits[account])
	return true
}

// traffic is a pattern of requests and faults.
type traffic struct {
	name  string
	size  int
	load  float64
	limit Limit
	count int
	span  time.Duration
	// target returns the host of a request at a time since the start.
	target func(s *sim, at time.Duration) int
	fault  func(s *sim, at time.Duration)
	// from is when counting starts; most is the largest share of wrongful refusals.
	from time.Duration
	most float64
}

func anyHost(s *sim, _ time.Duration) int {
	for {
		if i := s.rand.IntN(len(s.hosts)); !s.hosts[i].dead {
			return i
		}
	}
}

// oneHost sends everything to one host, another one every 20 s.
func oneHost(s *sim, at time.Duration) int {
	return int(at/(20*time.Second)) % len(s.hosts)
}

// survivor sends everything to host 0 and, once it is dead, to host 1.
func survivor(s *sim, _ time.Duration) int {
	if s.hosts[0].dead {
		return 1
	}
	return 0
}

func loseFirst(s *sim, at time.Duration) {
	if at == 30*time.Second {
		s.kill(0)
	}
}

func loseTable(s *sim, at time.Duration) {
	if at == 30*time.Second {
		s.down = s.now.Add(time.Hour)
	}
}

var traffics = []traffic{
	{name: "even, 3 entries", size: 3, load: 0.8, limit: Limit{20, 40}, count: 4, span: 2 * time.Minute, target: anyHost, most: 0.001},
	{name: "even, 20 entries", size: 20, load: 0.8, limit: Limit{20, 40}, count: 4, span: 20 * time.Second, target: anyHost, most: 0.001},
	{name: "one entry, then another", size: 3, load: 0.8, limit: Limit{20, 40}, count: 4, span: 2 * time.Minute, target: oneHost, most: 0.001},
	{name: "one of 20, then another", size: 20, load: 0.8, limit: Limit{20, 40}, count: 4, span: 45 * time.Second, target: oneHost, most: 0.001},
	{name: "entry lost, 3 entries", size: 3, load: 0.8, limit: Limit{20, 40}, count: 8, span: time.Minute, target: anyHost, fault: loseFirst, from: 30 * time.Second, most: 0.01},
	{name: "entry lost, 20 entries", size: 20, load: 0.8, limit: Limit{20, 40}, count: 4, span: 45 * time.Second, target: anyHost, fault: loseFirst, from: 30 * time.Second, most: 0.01},
	{name: "the one entry lost", size: 3, load: 0.8, limit: Limit{20, 40}, count: 8, span: time.Minute, target: survivor, fault: loseFirst, from: 30 * time.Second, most: 0.01},
	{name: "table down for an hour", size: 3, load: 0.8, limit: Limit{20, 40}, count: 1, span: time.Hour + 30*time.Second, target: oneHost, fault: loseTable, from: 30 * time.Second},
	{name: "small burst, one of 20, then another", size: 20, load: 0.8, limit: Limit{2, 5}, count: 10, span: 45 * time.Second, target: oneHost, most: 0.001},
	{name: "small burst, 20 entries", size: 20, load: 0.8, limit: Limit{2, 5}, count: 10, span: 45 * time.Second, target: anyHost, most: 0.001},
}

// TestWrongfulRefusals bounds the requests refused although their account was
// within its limit.
func TestWrongfulRefusals(t *testing.T) { checkRefusals(t, false) }

func TestWrongfulRefusalsOfSmallBursts(t *testing.T) { checkRefusals(t, true) }

// checkRefusals holds each traffic to its target. Those with a small burst are
// checked apart.
func checkRefusals(t *testing.T, small bool) {
	for _, tr := range traffics {
		if strings.HasPrefix(tr.name, "small burst") != small {
			continue
		}
		s := tr.run(nil, false)
		for account, c := range s.checks {
			require.LessOrEqual(t, c.over, 1e-6, "%s: account %s over its limit", tr.name, account)
		}
		require.LessOrEqual(t, s.wrongShare(), tr.most, tr.name)
	}
}

// BenchmarkRefusals prints the share of wrongful refusals next to those of two
// simpler schemes, with the messages that the grants take.
func BenchmarkRefusals(b *testing.B) {
	var table strings.Builder
	fmt.Fprintln(&table, "| traffic | grants | static split | write per request | messages/s an entry | bytes/s an entry | writes |")
	fmt.Fprintln(&table, "|---|---|---|---|---|---|---|")
	for _, tr := range traffics {
		s := tr.run(nil, true)
		split := tr.run(func(_ *sim, limits map[string]Limit) policy {
			return &static{size: tr.size, limits: limits, buckets: map[string]*checker{}}
		}, false)
		rows := tr.run(func(s *sim, limits map[string]Limit) policy {
			return &rowWrite{sim: s, limits: limits, total: map[string]*checker{}}
		}, false)
		hosts := float64(tr.size) * tr.span.Seconds()
		fmt.Fprintf(&table, "| %s | %.3f%% | %.2f%% | %.2f%% | %.0f | %.0f | %d |\n", tr.name, 100*s.wrongShare(),
			100*split.wrongShare(), 100*rows.wrongShare(), float64(s.sent)/hosts, float64(s.bytes)/hosts, s.writes)
	}
	fmt.Print("\n", table.String())
}

func (tr traffic) run(choose func(*sim, map[string]Limit) policy, weigh bool) *sim {
	limits := map[string]Limit{}
	for i := range tr.count {
		limits[fmt.Sprint("account", i)] = tr.limit
	}
	s := newSim(tr.size, DefaultTerms(), limits, 7)
	for range 1000 {
		s.advance()
	}
	if choose != nil {
		s.decide = choose(s, limits)
	}
	s.sent, s.bytes, s.writes = 0, 0, 0
	s.weigh = weigh
	chance := tr.load * tr.limit.Rate * step.Seconds()
	for at := time.Duration(0); at < tr.span; at += step {
		if at == tr.from {
			clear(s.asked)
			clear(s.wrong)
		}
		if tr.fault != nil {
			tr.fault(s, at)
		}
		s.advance()
		for i := range tr.count {
			if s.rand.Float64() < chance {
				s.request(tr.target(s, at), fmt.Sprint("account", i))
			}
		}
	}
	return s
}

func (s *sim) wrongShare() float64 {
	asked, wrong := 0, 0
	for account := range s.checks {
		asked += s.asked[account]
		wrong += s.wrong[account]
	}
	return float64(wrong) / float64(asked)
}
