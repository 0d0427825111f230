package bhqueue

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// Parameters of the simulated upstream and its load.
const (
	simSlots    = 16
	simAccounts = 8
	// simServiceTime is the mean time that a request holds a slot.
	simServiceTime = 3 * time.Second
	simPrefillTime = 300 * time.Millisecond
	simDuration    = 60 * time.Minute
	// simRateMultiple is the request rate of the first account as a multiple of
	// that of each other account.
	simRateMultiple = 5
)

// simResult is the service that the accounts other than the first received. work
// is the exception: it counts the tokens of all accounts' started requests.
type simResult struct {
	firstToken *hdrhistogram.Histogram
	requests   int
	refused    int
	work       int64
}

// firstTokenP99 returns the 99th percentile of the time to the first token, in
// milliseconds.
func (r *simResult) firstTokenP99() float64 { return float64(r.firstToken.ValueAtQuantile(99)) / 1000 }

func (r *simResult) refusalRate() float64 { return float64(r.refused) / float64(r.requests) }

// simulation drives a queue with simulated requests, by ID.
type simulation struct {
	mutex     sync.Mutex
	queue     *Queue[int]
	arrivedAt map[int]time.Time
	work      map[int]int64
	isOther   map[int]bool
	result    simResult
}

// simulate runs one upstream for simDuration. The seven other accounts together
// load the given fraction of its slots; the first account sends at rateMultiple
// times the rate of each of them.
func simulate(t *testing.T, load, rateMultiple float64, policy Policy) *simResult {
	sim := &simulation{
		arrivedAt: make(map[int]time.Time), work: make(map[int]int64), isOther: make(map[int]bool),
		result: simResult{firstToken: hdrhistogram.New(1, 100_000_000, 3)},
	}
	synctest.Test(t, func(t *testing.T) {
		sim.queue = New[int](Config{Slots: simSlots, Policy: policy})
		end := time.Now().Add(simDuration)
		go sim.expireQueued(end)
		rate := load * simSlots / simServiceTime.Seconds() / (simAccounts - 1)
		var senders sync.WaitGroup
		for i := range simAccounts {
			random := rand.New(rand.NewPCG(uint64(i), 9))
			multiple := 1.0
			if i == 0 {
				multiple = rateMultiple
			}
			if multiple == 0 {
				continue
			}
			senders.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / rate / multiple))
					work := int64(random.ExpFloat64()*300) + 1
					sim.submit(n*simAccounts+i, fmt.Sprintf("a%d", i), work, i > 0)
				}
			})
		}
		senders.Wait()
		time.Sleep(time.Minute)
	})
	return &sim.result
}

func (s *simulation) submit(id int, account string, work int64, isOther bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.arrivedAt[id], s.work[id], s.isOther[id] = now, work, isOther
	if isOther {
		s.result.requests++
	}
	s.apply(s.queue.Admit(Entry[int]{ID: id, Account: account, Work: work, Deadline: now.Add(10 * time.Second)}))
}

func (s *simulation) apply(update Update[int]) {
	for _, id := range update.Start {
		if s.isOther[id] {
			_ = s.result.firstToken.RecordValue((time.Since(s.arrivedAt[id]) + simPrefillTime).Microseconds())
		}
		s.result.work += s.work[id]
		runTime := time.Duration(s.work[id])*simServiceTime/300 + time.Duration(id%9973)
		time.AfterFunc(runTime, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.apply(s.queue.Done(id, 0))
		})
	}
	for _, refusal := range update.Refuse {
		if s.isOther[refusal.ID] {
			s.result.refused++
		}
	}
}

func (s *simulation) expireQueued(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		s.mutex.Lock()
		if next, ok := s.queue.NextExpiryCheck(); ok && !time.Now().Before(next) {
			s.apply(s.queue.Expire())
		}
		s.mutex.Unlock()
	}
}

// Targets of issue 4 for the other accounts while one sends at five times its
// rate.
const (
	// maxP99Ratio is the maximum ratio of the 99th percentile of the time to the
	// first token with that account to the one without.
	maxP99Ratio = 1.2
	// maxRefusalIncrease is the maximum increase of the fraction of requests
	// refused.
	maxRefusalIncrease = 0.001
)

// comparison holds the results of the other accounts at one load: without the
// first account, and with it under the policies Fair and FIFO.
type comparison struct {
	baseline, fair, fifo *simResult
}

// compareAtLoad returns the comparison at the given load of the other accounts
// and logs the figures of docs/design-live.md. It simulates each load once per
// test binary. With the first account the offered load is 12/7 of the given one,
// which exceeds the slots at loads of 0.8 and 0.9.
func compareAtLoad(t *testing.T, load float64) comparison {
	c, ok := comparisonsByLoad[load]
	if !ok {
		c = comparison{
			baseline: simulate(t, load, 0, Fair),
			fair:     simulate(t, load, simRateMultiple, Fair),
			fifo:     simulate(t, load, simRateMultiple, FIFO),
		}
		comparisonsByLoad[load] = c
	}
	for name, result := range map[string]*simResult{"without": c.baseline, "fair": c.fair, "fifo": c.fifo} {
		t.Logf("load of others %.2f %-8s first token ms p50 %d p99 %d, refused %.4f, work/s %.0f",
			load, name, result.firstToken.ValueAtQuantile(50)/1000, result.firstToken.ValueAtQuantile(99)/1000,
			result.refusalRate(), float64(result.work)/simDuration.Seconds())
	}
	t.Logf("ratio of p99 fair %.2f fifo %.2f",
		c.fair.firstTokenP99()/c.baseline.firstTokenP99(), c.fifo.firstTokenP99()/c.baseline.firstTokenP99())
	return c
}

var comparisonsByLoad = map[float64]comparison{}

func TestOtherAccountsKeepTheirTailAtHighLoad(t *testing.T) {
	for _, load := range []float64{0.8, 0.9} {
		c := compareAtLoad(t, load)
		require.LessOrEqual(t, c.fair.firstTokenP99(), maxP99Ratio*c.baseline.firstTokenP99(), "load %.2f", load)
		require.Less(t, c.fair.firstTokenP99(), c.fifo.firstTokenP99(), "load %.2f", load)
		require.Less(t, c.fair.refusalRate(), c.fifo.refusalRate(), "load %.2f", load)
	}
}

func TestOtherAccountsKeepTheirTailAtHalfLoad(t *testing.T) {
	c := compareAtLoad(t, 0.5)
	require.Less(t, c.fair.firstTokenP99(), c.fifo.firstTokenP99())
	require.LessOrEqual(t, c.fair.firstTokenP99(), maxP99Ratio*c.baseline.firstTokenP99())
}

func TestOtherAccountsAreNotRefusedAtHalfLoad(t *testing.T) {
	c := compareAtLoad(t, 0.5)
	require.LessOrEqual(t, c.fair.refusalRate(), c.baseline.refusalRate()+maxRefusalIncrease)
}

func TestOtherAccountsAreNotRefusedAtHighLoad(t *testing.T) {
	for _, load := range []float64{0.8, 0.9} {
		c := compareAtLoad(t, load)
		require.LessOrEqual(t, c.fair.refusalRate(), c.baseline.refusalRate()+maxRefusalIncrease, "load %.2f", load)
	}
}
