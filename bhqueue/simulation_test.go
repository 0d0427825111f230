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

const (
	simSlots    = 16
	simAccounts = 8
	simService  = 3 * time.Second
	simPrefill  = 300 * time.Millisecond
	simLength   = 60 * time.Minute
	simExcess   = 5
)

// simTally is what the accounts other than the first saw.
type simTally struct {
	first    *hdrhistogram.Histogram
	requests int
	refused  int
	work     int64
}

func (s *simTally) p99() float64 { return float64(s.first.ValueAtQuantile(99)) / 1000 }

func (s *simTally) refusals() float64 { return float64(s.refused) / float64(s.requests) }

type simRun struct {
	mutex  sync.Mutex
	queue  *Queue[int]
	start  map[int]time.Time
	works  map[int]int64
	others map[int]bool
	tally  simTally
}

// simulate loads one upstream with the given part of its slots by the seven
// other accounts, and with the first at excess times the rate of each of them.
func simulate(t *testing.T, load, excess float64, policy Policy) *simTally {
	run := &simRun{
		start: make(map[int]time.Time), works: make(map[int]int64), others: make(map[int]bool),
		tally: simTally{first: hdrhistogram.New(1, 100_000_000, 3)},
	}
	synctest.Test(t, func(t *testing.T) {
		run.queue = New[int](Config{Slots: simSlots, Policy: policy})
		end := time.Now().Add(simLength)
		go run.expire(end)
		rate := load * simSlots / simService.Seconds() / (simAccounts - 1)
		var senders sync.WaitGroup
		for i := range simAccounts {
			random := rand.New(rand.NewPCG(uint64(i), 9))
			times := 1.0
			if i == 0 {
				times = excess
			}
			if times == 0 {
				continue
			}
			senders.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / rate / times))
					work := int64(random.ExpFloat64()*300) + 1
					run.arrive(n*simAccounts+i, fmt.Sprintf("a%d", i), work, i > 0)
				}
			})
		}
		senders.Wait()
		time.Sleep(time.Minute)
	})
	return &run.tally
}

func (r *simRun) arrive(id int, account string, work int64, other bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	r.start[id], r.works[id], r.others[id] = now, work, other
	if other {
		r.tally.requests++
	}
	r.apply(r.queue.Admit(Entry[int]{ID: id, Account: account, Work: work, Deadline: now.Add(10 * time.Second)}))
}

func (r *simRun) apply(update Update[int]) {
	for _, id := range update.Start {
		if r.others[id] {
			_ = r.tally.first.RecordValue((time.Since(r.start[id]) + simPrefill).Microseconds())
		}
		r.tally.work += r.works[id]
		took := time.Duration(r.works[id])*simService/300 + time.Duration(id%9973)
		time.AfterFunc(took, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.apply(r.queue.Done(id, 0))
		})
	}
	for _, refusal := range update.Refuse {
		if r.others[refusal.ID] {
			r.tally.refused++
		}
	}
}

func (r *simRun) expire(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(50 * time.Millisecond)
		r.mutex.Lock()
		if next, ok := r.queue.Next(); ok && !time.Now().Before(next) {
			r.apply(r.queue.Expire())
		}
		r.mutex.Unlock()
	}
}

// Targets of issue 4 for the accounts beside one at five times its rate.
const (
	targetRatio    = 1.2
	targetRefusals = 0.001
)

// compared holds the outcomes for the other accounts at one load of theirs.
type compared struct {
	without, with, fifo *simTally
}

// compare simulates a load once in each test binary, and logs the figures of
// docs/design-live.md. With the first account the upstream is full in each run.
func compare(t *testing.T, load float64) compared {
	c, ok := comparisons[load]
	if !ok {
		c = compared{
			without: simulate(t, load, 0, Fair),
			with:    simulate(t, load, simExcess, Fair),
			fifo:    simulate(t, load, simExcess, FIFO),
		}
		comparisons[load] = c
	}
	for name, tally := range map[string]*simTally{"without": c.without, "fair": c.with, "fifo": c.fifo} {
		t.Logf("load of others %.2f %-8s first token ms p50 %d p99 %d, refused %.4f, work/s %.0f",
			load, name, tally.first.ValueAtQuantile(50)/1000, tally.first.ValueAtQuantile(99)/1000,
			tally.refusals(), float64(tally.work)/simLength.Seconds())
	}
	t.Logf("ratio of p99 fair %.2f fifo %.2f", c.with.p99()/c.without.p99(), c.fifo.p99()/c.without.p99())
	return c
}

var comparisons = map[float64]compared{}

func TestOtherAccountsKeepTheirTail(t *testing.T) {
	for _, load := range []float64{0.8, 0.9} {
		c := compare(t, load)
		require.LessOrEqual(t, c.with.p99(), targetRatio*c.without.p99(), "load %.2f", load)
		require.Less(t, c.with.p99(), c.fifo.p99(), "load %.2f", load)
		require.Less(t, c.with.refusals(), c.fifo.refusals(), "load %.2f", load)
	}
}

func TestOtherAccountsKeepTheirTailAtHalfLoad(t *testing.T) {
	c := compare(t, 0.5)
	require.Less(t, c.with.p99(), c.fifo.p99())
	require.LessOrEqual(t, c.with.p99(), targetRatio*c.without.p99())
}

func TestOtherAccountsAreNotRefusedAtHalfLoad(t *testing.T) {
	c := compare(t, 0.5)
	require.LessOrEqual(t, c.with.refusals(), c.without.refusals()+targetRefusals)
}

func TestOtherAccountsAreNotRefusedAtHighLoad(t *testing.T) {
	for _, load := range []float64{0.8, 0.9} {
		c := compare(t, load)
		require.LessOrEqual(t, c.with.refusals(), c.without.refusals()+targetRefusals, "load %.2f", load)
	}
}
