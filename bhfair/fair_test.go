package bhfair

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestUrgentJobsGoFirstWithinTheCreditOfTheirAccount(t *testing.T) {
	now := epoch.Add(90 * time.Minute)
	urgent := Job{ID: "urgent", Account: "a", Created: epoch, Deadline: epoch.Add(100 * time.Minute)}
	late := Job{ID: "late", Account: "b", Created: epoch, Deadline: epoch.Add(80 * time.Minute)}
	later := Job{ID: "later", Account: "c", Created: epoch, Deadline: epoch.Add(24 * time.Hour)}
	scheduler := New(Config{Credit: 100})
	order := scheduler.Order(now, []Job{late, later, urgent})
	assert.Equal(t, "urgent", order[0].ID)
	scheduler.Charge("a", "urgent", 100)
	assert.Equal(t, "urgent", scheduler.Order(now, []Job{late, later, urgent})[0].ID)
	scheduler.Charge("a", "urgent", 1)
	assert.Equal(t, "late", scheduler.Order(now, []Job{late, later, urgent})[0].ID)
}

func TestNewAccountStartsLevelWithTheWorstServed(t *testing.T) {
	scheduler := New(Config{})
	a := Job{ID: "1", Account: "a", Created: epoch, Deadline: epoch.Add(time.Hour)}
	b := Job{ID: "2", Account: "b", Created: epoch, Deadline: epoch.Add(time.Hour)}
	scheduler.Order(epoch, []Job{a})
	scheduler.Charge("a", "1", 1000)
	scheduler.Order(epoch, []Job{a, b})
	scheduler.Charge("b", "2", 1)
	assert.Equal(t, "1", scheduler.Order(epoch, []Job{a, b})[0].ID, "time without jobs is no claim on others")
}

// TestOrderIsFairByWork: however jobs are cut up, accounts with enough jobs get
// the same work, to within the credit and a chunk each.
func TestOrderIsFairByWork(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var jobs []Job
		accounts := rapid.IntRange(2, 5).Draw(r, "accounts")
		for a := range accounts {
			for j := range rapid.IntRange(1, 6).Draw(r, "jobs") {
				window := time.Duration(rapid.IntRange(1, 24).Draw(r, "hours")) * time.Hour
				jobs = append(jobs, Job{
					ID: fmt.Sprintf("%d-%d", a, j), Account: fmt.Sprint(a), Created: epoch, Deadline: epoch.Add(window),
				})
			}
		}
		const credit, chunk, steps = 500, 100, 400
		scheduler := New(Config{Credit: credit})
		given := map[string]float64{}
		for step := range steps {
			now := epoch.Add(time.Duration(step) * time.Minute)
			next := scheduler.Order(now, jobs)[0]
			work := rapid.Float64Range(1, chunk).Draw(r, "work")
			scheduler.Charge(next.Account, next.ID, work)
			given[next.Account] += work
		}
		low, high := given["0"], given["0"]
		for a := range accounts {
			low, high = min(low, given[fmt.Sprint(a)]), max(high, given[fmt.Sprint(a)])
		}
		require.LessOrEqual(r, high-low, float64(credit+2*chunk))
	})
}

// simJob is a job in the simulation.
type simJob struct {
	Job
	items, left int
	ended       time.Time
}

// fleet simulates hosts that take chunks, each with a scheduler of its own that
// knows only what it gave itself.
type fleet struct {
	random     *rand.Rand
	schedulers []*Scheduler
	fifo       bool
	jobs       []*simJob
	// given is the work given to each account while all of them had jobs open.
	given map[string]float64
}

const (
	simHosts  = 20
	simChunk  = 100
	simRate   = 100 * time.Millisecond
	simLength = time.Hour
)

// run simulates the arrival and work of jobs: a host takes a chunk each
// simHosts*simRate, so that the fleet takes one each simRate.
func (f *fleet) run(arrivals []*simJob) {
	next := 0
	for now := epoch; now.Before(epoch.Add(4 * simLength)); now = now.Add(simRate) {
		for next < len(arrivals) && !arrivals[next].Created.After(now) {
			f.jobs = append(f.jobs, arrivals[next])
			next++
		}
		if len(f.jobs) == 0 {
			if next == len(arrivals) {
				return
			}
			continue
		}
		f.step(now)
	}
}

func (f *fleet) step(now time.Time) {
	job := f.jobs[0]
	if !f.fifo {
		scheduler := f.schedulers[f.random.IntN(len(f.schedulers))]
		open := make([]Job, len(f.jobs))
		for i, job := range f.jobs {
			open[i] = job.Job
		}
		first := scheduler.Order(now, open)[0]
		for _, candidate := range f.jobs {
			if candidate.ID == first.ID {
				job = candidate
			}
		}
		scheduler.Charge(job.Account, job.ID, float64(min(simChunk, job.left)))
	}
	work := min(simChunk, job.left)
	job.left -= work
	f.given[job.Account] += float64(work)
	if job.left > 0 {
		return
	}
	job.ended = now
	for i, other := range f.jobs {
		if other == job {
			f.jobs = append(f.jobs[:i], f.jobs[i+1:]...)
			return
		}
	}
}

func newFleet(seed uint64, fifo bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), fifo: fifo, given: map[string]float64{}}
	for range simHosts {
		f.schedulers = append(f.schedulers, New(Config{}))
	}
	return f
}

// arrivals makes jobs at a share of what the fleet can do in simLength: mostly
// small ones, now and then a very large one, with windows from 5 minutes on.
// Most come early, as head keepers send theirs in the evening.
func arrivals(seed uint64, load float64) []*simJob {
	random := rand.New(rand.NewPCG(seed, 1))
	capacity := simLength.Seconds() / simRate.Seconds() * simChunk
	sizes := []int{50, 200, 500, 1000, 2000, 5000, 20_000, 40_000}
	var jobs []*simJob
	total := 0.0
	for total < load*capacity {
		size := sizes[min(random.IntN(len(sizes)), random.IntN(len(sizes)))]
		total += float64(size)
		jobs = append(jobs, &simJob{items: size, left: size})
	}
	for i, job := range jobs {
		at := float64(i) / float64(len(jobs))
		created := epoch.Add(time.Duration(float64(simLength) * at * at))
		window := 5 * time.Minute << random.IntN(5)
		if job.items >= 20_000 {
			window = 2 * time.Hour
		}
		account := fmt.Sprintf("account-%d", min(random.IntN(8), random.IntN(8)))
		job.Job = Job{ID: fmt.Sprint(i), Account: account, Created: created, Deadline: created.Add(window)}
	}
	return jobs
}

func missed(jobs []*simJob) (count int, small time.Duration) {
	for _, job := range jobs {
		if job.ended.IsZero() || job.ended.After(job.Deadline) {
			count++
		}
		if job.items <= 50 {
			small = max(small, job.ended.Sub(job.Created))
		}
	}
	return count, small
}

func TestFewerDeadlinesAreMissedThanFirstInFirstOut(t *testing.T) {
	loads := []float64{0.7}
	if os.Getenv("BAOBAB_MEASURE") != "" {
		loads = append(loads, 0.9, 1)
	}
	for _, load := range loads {
		ours, fifo := arrivals(1, load), arrivals(1, load)
		newFleet(1, false).run(ours)
		newFleet(1, true).run(fifo)
		late, small := missed(ours)
		lateFIFO, smallFIFO := missed(fifo)
		t.Logf("| %.0f%% | %d | %d | %d | %s | %s |", 100*load, len(ours), late, lateFIFO,
			small.Round(time.Second), smallFIFO.Round(time.Second))
		assert.LessOrEqual(t, late, lateFIFO/4)
		assert.Less(t, small, smallFIFO, "the longest wait of a job of 50")
	}
}

// TestWorstServedShare: eight accounts have jobs without end, one of them a
// hundred times as many and one job of 430,000.
func TestWorstServedShare(t *testing.T) {
	f := newFleet(1, false)
	for a := range 8 {
		for j := range 1 + 99*(a/7) {
			f.jobs = append(f.jobs, &simJob{left: 1 << 30, Job: Job{
				ID: fmt.Sprintf("%d-%d", a, j), Account: fmt.Sprint(a), Created: epoch,
				Deadline: epoch.Add(time.Duration(1+a) * time.Hour),
			}})
		}
	}
	const steps = 5_000
	for step := range steps {
		f.step(epoch.Add(time.Duration(step) * simRate))
	}
	worst := 1.0
	for _, given := range f.given {
		worst = min(worst, given/(steps*simChunk/8))
	}
	t.Logf("worst-served share %.3f", worst)
	assert.GreaterOrEqual(t, worst, 0.95)
}
