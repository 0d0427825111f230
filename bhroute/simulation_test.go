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
	simEngines           = 12
	simSlots             = 16   // per engine
	simBlockTokens       = 16   // tokens per block
	simCacheBlocks       = 3000 // per engine
	simRequestsPerSecond = 58   // mean, to all engines together
	simDuration          = 45 * time.Second
	simReportInterval    = 500 * time.Millisecond
	simReportDelay       = 300 * time.Millisecond
)

// simRequest is one turn of a chat: a prompt of blocks and an answer of tokens.
type simRequest struct {
	Request
	tokensLeft     int
	sent           time.Time
	lastToken      time.Time
	firstTokenSent bool
	finish         func()
}

// simEngine is a fake engine with continuous batching. It caches prompt blocks
// and evicts the oldest first.
type simEngine struct {
	mutex   sync.Mutex
	name    string
	waiting []*simRequest
	running []*simRequest
	// cacheQueue holds the cached blocks, oldest first; a block that is cached
	// again is added again. cacheCount counts its places in cacheQueue.
	cacheQueue []uint64
	cacheCount map[uint64]int
	// newlyCached and newlyEvicted are the changes since the last report.
	newlyCached  []uint64
	newlyEvicted []uint64
}

// simResult holds the latencies that callers see and the cache hits of all
// engines.
type simResult struct {
	mutex sync.Mutex
	// Both histograms are in microseconds.
	firstToken, betweenTokens *hdrhistogram.Histogram
	// hits counts those of the promptBlocks that were cached.
	hits, promptBlocks int
}

// startStep admits waiting requests to the batch and returns how long the step
// takes.
func (e *simEngine) startStep(result *simResult) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	result.mutex.Lock()
	defer result.mutex.Unlock()
	duration := 12*time.Millisecond + time.Duration(len(e.running))*1200*time.Microsecond
	for len(e.waiting) > 0 && len(e.running) < simSlots && duration < 150*time.Millisecond {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		hits := 0
		for hits < len(r.Prefix) && e.cacheCount[r.Prefix[hits]] > 0 {
			hits++
		}
		result.hits += hits
		result.promptBlocks += len(r.Prefix)
		e.cachePrompt(r.Prefix)
		duration += time.Duration(len(r.Prefix)-hits) * simBlockTokens * 60 * time.Microsecond
		e.running = append(e.running, r)
	}
	return duration
}

// finishStep emits one token of each running request.
func (e *simEngine) finishStep(result *simResult) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	result.mutex.Lock()
	defer result.mutex.Unlock()
	now := time.Now()
	e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool {
		if !r.firstTokenSent {
			r.firstTokenSent = true
			_ = result.firstToken.RecordValue(now.Sub(r.sent).Microseconds())
		} else {
			_ = result.betweenTokens.RecordValue(now.Sub(r.lastToken).Microseconds())
		}
		r.lastToken = now
		r.tokensLeft--
		if r.tokensLeft == 0 {
			r.finish()
		}
		return r.tokensLeft == 0
	})
}

func (e *simEngine) cachePrompt(prefix []uint64) {
	for _, hash := range prefix {
		if e.cacheCount[hash] == 0 {
			e.newlyCached = append(e.newlyCached, hash)
		}
		e.cacheCount[hash]++
		e.cacheQueue = append(e.cacheQueue, hash)
	}
	for len(e.cacheQueue) > simCacheBlocks {
		hash := e.cacheQueue[0]
		e.cacheQueue = e.cacheQueue[1:]
		e.cacheCount[hash]--
		if e.cacheCount[hash] == 0 {
			delete(e.cacheCount, hash)
			e.newlyEvicted = append(e.newlyEvicted, hash)
		}
	}
}

func (e *simEngine) report(gap bool) Report {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := Report{Upstream: e.name, Host: e.name, Group: "g", Serving: true, Slots: simSlots,
		Running: len(e.running), Queued: len(e.waiting),
		CacheChanges: CacheChanges{Cached: e.newlyCached, Evicted: e.newlyEvicted, Gap: gap}}
	if gap {
		r.Cached, r.Evicted = nil, nil
	}
	for _, request := range append(slices.Clone(e.running), e.waiting...) {
		r.Work += int64(request.tokensLeft)
		if !request.firstTokenSent {
			r.Work += request.Work - int64(request.tokensLeft)
		}
	}
	e.newlyCached, e.newlyEvicted = nil, nil
	return r
}

// simulate sends the turns of 160 conversations to fake engines whose reports
// arrive late and sometimes lose cache changes. The conversations form 24
// families that share a system prompt. Each policy belongs to an entry of its
// own, and each request goes through a random entry.
func simulate(t *testing.T, policies ...Policy) *simResult {
	result := &simResult{firstToken: hdrhistogram.New(1, 600_000_000, 3), betweenTokens: hdrhistogram.New(1, 600_000_000, 3)}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 11))
		var tables []*Table
		for i, policy := range policies {
			tables = append(tables, NewTable(Config{Policy: policy, Random: rand.New(rand.NewPCG(3, uint64(i)))}))
		}
		engines := make(map[string]*simEngine)
		end := time.Now().Add(simDuration)
		for i := range simEngines {
			e := &simEngine{name: fmt.Sprintf("e%02d", i), cacheCount: make(map[uint64]int)}
			engines[e.name] = e
			simPublish(tables, e.report(false))
			go func() {
				for time.Now().Before(end) {
					time.Sleep(e.startStep(result))
					e.finishStep(result)
				}
			}()
			go func() {
				time.Sleep(time.Duration(i) * simReportInterval / simEngines)
				for reportNumber := 1; time.Now().Before(end); reportNumber++ {
					time.Sleep(simReportInterval)
					r := e.report(reportNumber%40 == 0)
					go func() {
						time.Sleep(simReportDelay)
						simPublish(tables, r)
					}()
				}
			}()
		}
		turns := make(map[int]int)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / simRequestsPerSecond))
			conversation := int(random.ExpFloat64()*60) % 160
			turns[conversation]++
			table := tables[random.IntN(len(tables))]
			r := newSimRequest(conversation, turns[conversation], random)
			choice, err := table.Pick(r.Request)
			require.NoError(t, err)
			table.Sent(choice.Upstream, r.Request)
			r.finish = func() { table.Finished(choice.Upstream, r.Request, Succeeded) }
			e := engines[choice.Upstream]
			e.mutex.Lock()
			e.waiting = append(e.waiting, r)
			e.mutex.Unlock()
		}
		time.Sleep(time.Second)
	})
	return result
}

// simPublish delivers the report to the tables of all entries.
func simPublish(tables []*Table, report Report) {
	for _, table := range tables {
		table.ApplyReport(report)
	}
}

func newSimRequest(conversation, turn int, random *rand.Rand) *simRequest {
	r := &simRequest{tokensLeft: 10 + int(random.ExpFloat64()*60), sent: time.Now()}
	r.Group = "g"
	family := uint64(conversation % 24)
	for b := range 30 {
		r.Prefix = append(r.Prefix, family<<32|uint64(b))
	}
	for b := range min(10+6*(turn%8), 60) {
		r.Prefix = append(r.Prefix, uint64(conversation+1000)<<32|uint64(turn/8)<<16|uint64(b))
	}
	r.Work = int64(len(r.Prefix)*simBlockTokens/8 + r.tokensLeft)
	return r
}

// TestBalancedHasLowestFirstTokenP99 checks that Balanced has a lower p99 time to
// first token than each other policy and more than 1.5 times the cache hit rate
// of Random. With -v it prints the figures of docs/design-live.md.
func TestBalancedHasLowestFirstTokenP99(t *testing.T) {
	policies := []struct {
		name   string
		policy func() Policy
	}{
		{"random", func() Policy { return Random{} }},
		{"round robin", func() Policy { return &RoundRobin{} }},
		{"least requests", func() Policy { return LeastRequests{} }},
		{"prefix hash", func() Policy { return PrefixHash{} }},
		{"conversation hash", func() Policy { return PrefixHash{Block: 30} }}, // first block of the conversation
		{"balanced", func() Policy { return Balanced{} }},
	}
	firstTokenP99 := make(map[string]int64)
	hitRate := make(map[string]float64)
	for _, p := range policies {
		r := simulate(t, p.policy(), p.policy(), p.policy())
		firstTokenP99[p.name] = r.firstToken.ValueAtQuantile(99)
		hitRate[p.name] = float64(r.hits) / float64(r.promptBlocks)
		t.Logf("%-17s requests %d first token ms p50 %d p95 %d p99 %d, between tokens ms p95 %d p99 %d, hits %.2f",
			p.name, r.firstToken.TotalCount(), r.firstToken.ValueAtQuantile(50)/1000, r.firstToken.ValueAtQuantile(95)/1000,
			firstTokenP99[p.name]/1000, r.betweenTokens.ValueAtQuantile(95)/1000, r.betweenTokens.ValueAtQuantile(99)/1000, hitRate[p.name])
	}
	for _, other := range []string{"random", "round robin", "least requests", "prefix hash", "conversation hash"} {
		require.Less(t, firstTokenP99["balanced"], firstTokenP99[other], "p99 time to first token against policy %s", other)
	}
	require.Greater(t, hitRate["balanced"], 1.5*hitRate["random"])
}
