package bhroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// ReportLag is the age that a report may have when it arrives. Work sent
// within it before the report counts as not yet reported.
const ReportLag = 50 * time.Millisecond

// maxAlternatives bounds the alternatives named in a Choice.
const maxAlternatives = 4

// Report is the state of one upstream as its sidecar reported it.
type Report struct {
	Upstream string
	Group    string
	Host     string
	Centre   string
	// Models that the upstream serves; empty means any.
	Models  []string
	Slots   int
	Serving bool
	Running int
	Queued  int
	// Work is the estimated live work in tokens, running and queued.
	Work int64
	CacheChanges
}

// CacheChanges are changes of an upstream's prefix cache since the last ones.
type CacheChanges struct {
	Cached  []uint64
	Evicted []uint64
	// Gap says whether changes were lost in between.
	Gap bool
}

// Request is what the choice of an upstream depends on.
type Request struct {
	Group string
	// Model is empty for plain services.
	Model  string
	Prefix []uint64
	// Work is the estimated work in tokens.
	Work int64
	// Alone says that the request must share its upstream with no other suspect;
	// the least busy one is chosen.
	Alone bool
	// Exclude names upstreams that were tried already.
	Exclude []string
}

// Choice is the upstream chosen for a request.
type Choice struct {
	Upstream string
	Host     string
	Reason   string
	// Alternatives names other upstreams that were possible, at most four.
	Alternatives []string
}

// Outcome is what the end of a request says of its upstream's health.
type Outcome string

// Outcomes. Neutral ends say nothing, such as a refusal for lack of room.
const (
	Succeeded Outcome = "succeeded"
	Failed    Outcome = "failed"
	Neutral   Outcome = "neutral"
)

// Config configures a Table.
type Config struct {
	// Centre is the data centre of the entry.
	Centre string
	// Policy chooses among upstreams; nil means Balanced.
	Policy Policy
	// MaxPrefixBlocks bounds the prefix blocks known of each upstream; zero means
	// DefaultPrefixBlocks.
	MaxPrefixBlocks int
	// Usable says whether requests can be sent to a host now; nil means always.
	Usable func(host string) bool
	// Random is the source of random choices; nil means a seeded one.
	Random *rand.Rand
}

// Table is what one entry knows of all upstreams. It is safe for concurrent
// use.
type Table struct {
	mutex      sync.Mutex
	centre     string
	policy     Policy
	random     *rand.Rand
	usable     func(host string) bool
	blocks     int
	candidates map[string]*candidate
	order      []*candidate
	hosts      map[string][]*candidate
}

// NewTable returns an empty table.
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
		usable:     config.Usable,
		blocks:     config.MaxPrefixBlocks,
		centre:     config.Centre,
		policy:     config.Policy,
		random:     config.Random,
		candidates: make(map[string]*candidate),
		hosts:      make(map[string][]*candidate),
	}
}

// ApplyReport takes an upstream's report into account.
func (t *Table) ApplyReport(report Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	c := t.candidates[report.Upstream]
	if c == nil {
		c = t.add(report.Upstream)
	}
	if c.report.Host != report.Host {
		t.unhost(c)
		t.hosts[report.Host] = append(t.hosts[report.Host], c)
	}
	c.take(now, report)
}

func (t *Table) add(upstream string) *candidate {
	c := &candidate{prefixes: NewPrefixEstimate(t.blocks)}
	c.report.Upstream = upstream
	t.candidates[upstream] = c
	t.order = append(t.order, c)
	slices.SortFunc(t.order, func(a, b *candidate) int { return cmp.Compare(a.report.Upstream, b.report.Upstream) })
	return c
}

// unhost takes the candidate off its host.
func (t *Table) unhost(c *candidate) {
	host := c.report.Host
	t.hosts[host] = slices.DeleteFunc(t.hosts[host], func(other *candidate) bool { return other == c })
	if len(t.hosts[host]) == 0 {
		delete(t.hosts, host)
	}
}

// ApplyCacheChanges takes changes of an upstream's prefix cache into account.
func (t *Table) ApplyCacheChanges(upstream string, changes CacheChanges) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c := t.candidates[upstream]; c != nil {
		c.cache(time.Now(), changes)
	}
}

// ConfirmReports records that nothing changed on the host since its last reports.
func (t *Table) ConfirmReports(host string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	for _, c := range t.hosts[host] {
		c.refresh(now)
	}
}

// RemoveHost forgets all upstreams of a host that was lost.
func (t *Table) RemoveHost(host string) {
	t.remove(func(c *candidate) bool { return c.report.Host == host })
}

// Remove forgets one upstream.
func (t *Table) Remove(upstream string) {
	t.remove(func(c *candidate) bool { return c.report.Upstream == upstream })
}

// Pick chooses an upstream for the request. The error is NoUpstream if none
// serves the request, BreakerOpen if all that do are failing.
func (t *Table) Pick(request Request) (Choice, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	options, broken := t.options(now, request)
	if len(options) == 0 && broken > 0 {
		err := bhcode.New(bhcode.BreakerOpen, "all %d upstreams of group %s are failing", broken, request.Group)
		return Choice{}, err.WithRetryAfter(InitialBreakerOpen)
	}
	if len(options) == 0 {
		err := bhcode.New(bhcode.NoUpstream, "no upstream of group %s serves model %q", request.Group, request.Model)
		return Choice{}, err.WithRetryAfter(time.Second)
	}
	policy := t.policy
	if request.Alone {
		policy = LeastRequests{}
	}
	i, reason := policy.Choose(request, options, t.random)
	choice := Choice{Upstream: options[i].Upstream, Host: options[i].Host, Reason: reason}
	for k := 0; k < len(options) && len(choice.Alternatives) < maxAlternatives; k++ {
		if k != i {
			choice.Alternatives = append(choice.Alternatives, options[k].Upstream)
		}
	}
	return choice, nil
}

// Sent records that a request was sent to the upstream.
func (t *Table) Sent(upstream string, request Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := t.candidates[upstream]
	if c == nil {
		return
	}
	now := time.Now()
	c.breaker.Sent(now)
	c.prefixes.AssumeCached(now, request.Prefix)
	c.changes = append(c.changes, change{at: now, work: request.Work, active: 1})
}

// Finished records the end of a request that Sent recorded.
func (t *Table) Finished(upstream string, request Request, outcome Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := t.candidates[upstream]
	if c == nil {
		return
	}
	now := time.Now()
	c.changes = append(c.changes, change{at: now, work: -request.Work, active: -1})
	switch outcome {
	case Succeeded:
		c.breaker.Succeeded()
	case Failed:
		c.breaker.Failed(now)
	case Neutral:
		c.breaker.ReleaseProbe()
	}
}

// Candidates returns the upstreams that may serve the request, for status pages.
func (t *Table) Candidates(request Request) []Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	options, _ := t.options(time.Now(), request)
	return options
}

func (t *Table) options(now time.Time, request Request) ([]Candidate, int) {
	var options []Candidate
	broken := 0
	for _, c := range t.order {
		if !c.suits(request) || !t.usable(c.report.Host) {
			continue
		}
		if !c.breaker.Allows(now) {
			broken++
			continue
		}
		options = append(options, c.option(now, request, t.centre))
	}
	return options, broken
}

func (t *Table) remove(gone func(*candidate) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.order = slices.DeleteFunc(t.order, func(c *candidate) bool {
		if gone(c) {
			delete(t.candidates, c.report.Upstream)
			t.unhost(c)
			return true
		}
		return false
	})
}
