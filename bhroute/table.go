package bhroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// ReportLag is the age that a report is assumed to have when it arrives. The
// report isn't expected to include requests sent or finished less than ReportLag
// before it arrives.
const ReportLag = 50 * time.Millisecond

// maxAlternatives is the maximum number of alternatives in a Choice.
const maxAlternatives = 4

// Report is the state of one upstream as its sidecar reported it.
type Report struct {
	Upstream string
	Group    string
	Host     string
	Centre   string
	// Models are the models that the upstream serves; empty means any.
	Models []string
	// Slots is the number of requests that run at the same time.
	Slots   int
	Serving bool
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// Work is the estimated work of the running and queued requests in tokens.
	Work int64
	CacheChanges
}

// CacheChanges are the changes of an upstream's prefix cache since the previous
// CacheChanges.
type CacheChanges struct {
	// Cached and Evicted are hashes of blocks.
	Cached  []uint64
	Evicted []uint64
	// Gap says whether changes between the previous ones and these were lost.
	Gap bool
}

// Request holds the parts of a request that the choice of an upstream depends
// on.
type Request struct {
	Group string
	// Model is empty for plain services.
	Model string
	// Prefix holds hashes of the prompt's leading blocks, in order. It may be a
	// sample of them if CacheChanges have the same sample.
	Prefix []uint64
	// Work is the estimated work in tokens.
	Work int64
	// Alone marks a request that may crash its upstream and must not run there
	// together with another such request. The table only chooses the upstream with
	// the fewest live requests for it, whatever its policy.
	Alone bool
	// Exclude names upstreams that earlier attempts were sent to.
	Exclude []string
}

// Choice is the upstream chosen for a request.
type Choice struct {
	Upstream string
	Host     string
	Reason   string
	// Alternatives names other upstreams that could have been chosen, at most four.
	Alternatives []string
}

// Outcome is what the end of a request shows about its upstream's health.
type Outcome string

// Outcomes of a request. Neutral shows nothing about the upstream's health, such
// as a refusal because the upstream is overloaded.
const (
	Succeeded Outcome = "succeeded"
	Failed    Outcome = "failed"
	Neutral   Outcome = "neutral"
)

// Config configures a Table.
type Config struct {
	// Centre is the data centre of the entry; empty means that all upstreams count
	// as in the entry's data centre.
	Centre string
	// Policy chooses among the candidates; nil means Balanced.
	Policy Policy
	// MaxPrefixBlocks is the maximum number of prefix blocks known of each
	// upstream; zero means DefaultMaxPrefixBlocks.
	MaxPrefixBlocks int
	// Usable reports whether requests can be sent to a host now; nil means always.
	// The table calls it with its mutex held, so it must not call the table.
	Usable func(host string) bool
	// Random is the source of random choices; nil means one with a random seed.
	Random *rand.Rand
}

// Table holds what one entry knows of all upstreams and chooses among them. It
// is safe for concurrent use.
type Table struct {
	mutex     sync.Mutex
	centre    string
	policy    Policy
	random    *rand.Rand
	usable    func(host string) bool
	maxBlocks int
	upstreams map[string]*upstreamState
	// sorted holds the upstreams in the order of their names.
	sorted []*upstreamState
	byHost map[string][]*upstreamState
}

// NewTable returns a table without upstreams.
func NewTable(config Config) *Table {
	if config.Policy == nil {
		config.Policy = Balanced{}
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.Usable == nil {
		config.Usable = func(string) bool { return true }
	}
	if config.MaxPrefixBlocks == 0 {
		config.MaxPrefixBlocks = DefaultMaxPrefixBlocks
	}
	return &Table{
		usable:    config.Usable,
		maxBlocks: config.MaxPrefixBlocks,
		centre:    config.Centre,
		policy:    config.Policy,
		random:    config.Random,
		upstreams: make(map[string]*upstreamState),
		byHost:    make(map[string][]*upstreamState),
	}
}

// ApplyReport replaces the report of an upstream. It adds the upstream to the
// table if it is new.
func (t *Table) ApplyReport(report Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	u := t.upstreams[report.Upstream]
	if u == nil {
		u = t.add(report.Upstream)
	}
	if u.report.Host != report.Host {
		t.removeFromHost(u)
		t.byHost[report.Host] = append(t.byHost[report.Host], u)
	}
	u.applyReport(now, report)
}

func (t *Table) add(upstream string) *upstreamState {
	u := &upstreamState{prefixes: NewPrefixEstimate(t.maxBlocks)}
	u.report.Upstream = upstream
	t.upstreams[upstream] = u
	t.sorted = append(t.sorted, u)
	slices.SortFunc(t.sorted, func(a, b *upstreamState) int { return cmp.Compare(a.report.Upstream, b.report.Upstream) })
	return u
}

// removeFromHost removes the upstream from its host's list.
func (t *Table) removeFromHost(u *upstreamState) {
	host := u.report.Host
	t.byHost[host] = slices.DeleteFunc(t.byHost[host], func(other *upstreamState) bool { return other == u })
	if len(t.byHost[host]) == 0 {
		delete(t.byHost, host)
	}
}

// ApplyCacheChanges applies changes of an upstream's prefix cache. It ignores an
// upstream that isn't in the table.
func (t *Table) ApplyCacheChanges(upstream string, changes CacheChanges) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if u := t.upstreams[upstream]; u != nil {
		u.applyCacheChanges(time.Now(), changes)
	}
}

// ConfirmReports records that the latest reports of the host's upstreams are
// still true. They then include requests sent or finished more than ReportLag
// ago.
func (t *Table) ConfirmReports(host string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	for _, u := range t.byHost[host] {
		u.dropReported(now)
	}
}

// RemoveHost removes all upstreams of a host that was lost.
func (t *Table) RemoveHost(host string) {
	t.remove(func(u *upstreamState) bool { return u.report.Host == host })
}

// Remove removes one upstream.
func (t *Table) Remove(upstream string) {
	t.remove(func(u *upstreamState) bool { return u.report.Upstream == upstream })
}

// Pick chooses an upstream for the request. The error has the code NoUpstream if
// no usable upstream serves the request, or BreakerOpen if the circuit breakers
// of all that do are open or wait for a probe. Both carry a retry-after.
func (t *Table) Pick(request Request) (Choice, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	candidates, blocked := t.candidates(now, request)
	if len(candidates) == 0 && blocked > 0 {
		err := bhcode.New(bhcode.BreakerOpen, "all %d upstreams of group %s are failing", blocked, request.Group)
		return Choice{}, err.WithRetryAfter(InitialBreakerOpen)
	}
	if len(candidates) == 0 {
		err := bhcode.New(bhcode.NoUpstream, "no upstream of group %s serves model %q", request.Group, request.Model)
		return Choice{}, err.WithRetryAfter(time.Second)
	}
	policy := t.policy
	if request.Alone {
		policy = LeastRequests{}
	}
	i, reason := policy.Choose(request, candidates, t.random)
	choice := Choice{Upstream: candidates[i].Upstream, Host: candidates[i].Host, Reason: reason}
	for k := 0; k < len(candidates) && len(choice.Alternatives) < maxAlternatives; k++ {
		if k != i {
			choice.Alternatives = append(choice.Alternatives, candidates[k].Upstream)
		}
	}
	return choice, nil
}

// Sent records that a request was sent to the upstream. It ignores an upstream
// that isn't in the table.
func (t *Table) Sent(upstream string, request Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	u := t.upstreams[upstream]
	if u == nil {
		return
	}
	now := time.Now()
	u.breaker.Sent(now)
	u.prefixes.AssumeCached(now, request.Prefix)
	u.adjustments = append(u.adjustments, adjustment{at: now, work: request.Work, active: 1})
}

// Finished records the end of a request that Sent recorded. It ignores an
// upstream that isn't in the table.
func (t *Table) Finished(upstream string, request Request, outcome Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	u := t.upstreams[upstream]
	if u == nil {
		return
	}
	now := time.Now()
	u.adjustments = append(u.adjustments, adjustment{at: now, work: -request.Work, active: -1})
	switch outcome {
	case Succeeded:
		u.breaker.Succeeded()
	case Failed:
		u.breaker.Failed(now)
	case Neutral:
		u.breaker.ReleaseProbe()
	}
}

// Candidates returns the upstreams that Pick can choose for the request, in the
// order of their names. It is meant for status pages.
func (t *Table) Candidates(request Request) []Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	candidates, _ := t.candidates(time.Now(), request)
	return candidates
}

// candidates returns the upstreams that can be chosen for the request, and the
// number of those that only their circuit breakers rule out.
func (t *Table) candidates(now time.Time, request Request) ([]Candidate, int) {
	var candidates []Candidate
	blocked := 0
	for _, u := range t.sorted {
		if !u.serves(request) || !t.usable(u.report.Host) {
			continue
		}
		if !u.breaker.Allows(now) {
			blocked++
			continue
		}
		candidates = append(candidates, u.candidate(now, request, t.centre))
	}
	return candidates, blocked
}

func (t *Table) remove(matches func(*upstreamState) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sorted = slices.DeleteFunc(t.sorted, func(u *upstreamState) bool {
		if matches(u) {
			delete(t.upstreams, u.report.Upstream)
			t.removeFromHost(u)
			return true
		}
		return false
	})
}
