package bhroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

const (
	simEngines     = 12
	simSlots       = 16
	simBlockTokens = 16
	simCacheBlocks = 3000
	simRate        = 58
	simLength      = 45 * time.Second
	simReportEvery = 500 * time.Millisecond
	simEventLag    = 300 * time.Millisecond
)

// simRequest is a chat turn: a prompt of blocks and an answer of tokens.
type simRequest struct {
	Request
	tokens int
	sent   time.Time
	last   time.Time
	first  bool
	done   func()
}

// simEngine batches continuously and caches prompt blocks, oldest out first.
type simEngine struct {
	mutex   sync.Mutex
	name    string
	waiting []*simRequest
	running []*simRequest
	cache   []uint64
	held    map[uint64]int
	cached  []uint64
	evicted []uint64
}

// simResult holds what callers and engines saw.
type simResult struct {
	mutex          sync.Mutex
	first, between *hdrhistogram.Histogram
	hits, blocks   int
}

func (e *simEngine) step(result *simResult) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	result.mutex.Lock()
	defer result.mutex.Unlock()
	wait := 12*time.Millisecond + time.Duration(len(e.running))*1200*time.Microsecond
	for len(e.waiting) > 0 && len(e.running) < simSlots && wait < 150*time.Millisecond {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		hits := 0
		for hits < len(r.Prefix) && e.held[r.Prefix[hits]] > 0 {
			hits++
		}
		result.hits += hits
		result.blocks += len(r.Prefix)
		e.store(r.Prefix)
		wait += time.Duration(len(r.Prefix)-hits) * simBlockTokens * 60 * time.Microsecond
		e.running = append(e.running, r)
	}
	return wait
}

func (e *simEngine) emit(result *simResult) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	result.mutex.Lock()
	defer result.mutex.Unlock()
	now := time.Now()
	e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool {
		if !r.first {
			r.first = true
			_ = result.first.RecordValue(now.Sub(r.sent).Microseconds())
		} else {
			_ = result.between.RecordValue(now.Sub(r.last).Microseconds())
		}
		r.last = now
		r.tokens--
		if r.tokens == 0 {
			r.done()
		}
		return r.tokens == 0
	})
}

func (e *simEngine) store(prefix []uint64) {
	for _, hash := range prefix {
		if e.held[hash] == 0 {
			e.cached = append(e.cached, hash)
		}
		e.held[hash]++
		e.cache = append(e.cache, hash)
	}
	for len(e.cache) > simCacheBlocks {
		hash := e.cache[0]
		e.cache = e.cache[1:]
		e.held[hash]--
		if e.held[hash] == 0 {
			delete(e.held, hash)
			e.evicted = append(e.evicted, hash)
		}
	}
}

func (e *simEngine) report(gap bool) Report {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := Report{Upstream: e.name, Host: e.name, Group: "g", Serving: true, Slots: simSlots,
		Running: len(e.running), Queued: len(e.waiting),
		CacheChanges: CacheChanges{Cached: e.cached, Evicted: e.evicted, Gap: gap}}
	if gap {
		r.Cached, r.Evicted = nil, nil
	}
	for _, q := range append(slices.Clone(e.running), e.waiting...) {
		r.Work += int64(q.tokens)
		if !q.first {
			r.Work += q.Work - int64(q.tokens)
		}
	}
	e.cached, e.evicted = nil, nil
	return r
}

// simulate sends, through one entry for each policy, chats of 160 conversations in 24 families with a shared system
// prompt against fake engines, whose reports come late and with gaps.
func simulate(t *testing.T, policies ...Policy) *simResult {
	result := &simResult{first: hdrhistogram.New(1, 600_000_000, 3), between: hdrhistogram.New(1, 600_000_000, 3)}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 11))
		var tables []*Table
		for i, policy := range policies {
			tables = append(tables, NewTable(Config{Policy: policy, Random: rand.New(rand.NewPCG(3, uint64(i)))}))
		}
		engines := make(map[string]*simEngine)
		end := time.Now().Add(simLength)
		for i := range simEngines {
			e := &simEngine{name: fmt.Sprintf("e%02d", i), held: make(map[uint64]int)}
			engines[e.name] = e
			simPublish(tables, e.report(false))
			go func() {
				for time.Now().Before(end) {
					time.Sleep(e.step(result))
					e.emit(result)
				}
			}()
			go func() {
				time.Sleep(time.Duration(i) * simReportEvery / simEngines)
				for n := 1; time.Now().Before(end); n++ {
					time.Sleep(simReportEvery)
					r := e.report(n%40 == 0)
					go func() {
						time.Sleep(simEventLag)
						simPublish(tables, r)
					}()
				}
			}()
		}
		turns := make(map[int]int)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / simRate))
			conversation := int(random.ExpFloat64()*60) % 160
			turns[conversation]++
			table := tables[random.IntN(len(tables))]
			r := newSimRequest(conversation, turns[conversation], random)
			choice, err := table.Pick(r.Request)
			require.NoError(t, err)
			table.Sent(choice.Upstream, r.Request)
			r.done = func() { table.Finished(choice.Upstream, r.Request, Succeeded) }
			e := engines[choice.Upstream]
			e.mutex.Lock()
			e.waiting = append(e.waiting, r)
			e.mutex.Unlock()
		}
		time.Sleep(time.Second)
	})
	return result
}

func simPublish(tables []*Table, report Report) {
	for _, table := range tables {
		table.ApplyReport(report)
	}
}

func newSimRequest(conversation, turn int, random *rand.Rand) *simRequest {
	r := &simRequest{tokens: 10 + int(random.ExpFloat64()*60), sent: time.Now()}
	r.Group = "g"
	family := uint64(conversation % 24)
	for b := range 30 {
		r.Prefix = append(r.Prefix, family<<32|uint64(b))
	}
	for b := range min(10+6*(turn%8), 60) {
		r.Prefix = append(r.Prefix, uint64(conversation+1000)<<32|uint64(turn/8)<<16|uint64(b))
	}
	r.Work = int64(len(r.Prefix)*simBlockTokens/8 + r.tokens)
	return r
}

// TestPoliciesCompared prints the figures of docs/design-live.md with -v.
func TestPoliciesCompared(t *testing.T) {
	policies := []struct {
		name   string
		policy func() Policy
	}{
		{"random", func() Policy { return Random{} }},
		{"round robin", func() Policy { return &RoundRobin{} }},
		{"least requests", func() Policy { return LeastRequests{} }},
		{"prefix hash", func() Policy { return PrefixHash{} }},
		{"conversation hash", func() Policy { return PrefixHash{Block: 30} }},
		{"balanced", func() Policy { return Balanced{} }},
	}
	firsts := make(map[string]int64)
	hits := make(map[string]float64)
	for _, p := range policies {
		r := simulate(t, p.policy(), p.policy(), p.policy())
		firsts[p.name] = r.first.ValueAtQuantile(99)
		hits[p.name] = float64(r.hits) / float64(r.blocks)
		t.Logf("%-17s requests %d first token ms p50 %d p95 %d p99 %d, between tokens ms p95 %d p99 %d, hits %.2f",
			p.name, r.first.TotalCount(), r.first.ValueAtQuantile(50)/1000, r.first.ValueAtQuantile(95)/1000,
			firsts[p.name]/1000, r.between.ValueAtQuantile(95)/1000, r.between.ValueAtQuantile(99)/1000, hits[p.name])
	}
	for _, other := range []string{"random", "round robin", "least requests", "prefix hash", "conversation hash"} {
		require.Less(t, firsts["balanced"], firsts[other], "first token p99 against %s", other)
	}
	require.Greater(t, hits["balanced"], 1.5*hits["random"])
}
