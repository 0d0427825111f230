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

func TestUrgentJobGoesFirstWithinAccountCredit(t *testing.T) {
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

func TestNewAccountStartsAtLowestAccountWork(t *testing.T) {
	scheduler := New(Config{})
	a := Job{ID: "1", Account: "a", Created: epoch, Deadline: epoch.Add(time.Hour)}
	b := Job{ID: "2", Account: "b", Created: epoch, Deadline: epoch.Add(time.Hour)}
	scheduler.Order(epoch, []Job{a})
	scheduler.Charge("a", "1", 1000)
	scheduler.Order(epoch, []Job{a, b})
	scheduler.Charge("b", "2", 1)
	assert.Equal(t, "1", scheduler.Order(epoch, []Job{a, b})[0].ID, "an account gains no priority from time without jobs")
}

// TestOrderSharesWorkEquallyBetweenAccounts checks that accounts that always have
// open jobs get equal work, whatever the number, windows and chunk sizes of their
// jobs. The difference may be the credit and one chunk for each of two accounts.
func TestOrderSharesWorkEquallyBetweenAccounts(t *testing.T) {
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
		accountWork := map[string]float64{}
		for step := range steps {
			now := epoch.Add(time.Duration(step) * time.Minute)
			next := scheduler.Order(now, jobs)[0]
			work := rapid.Float64Range(1, chunk).Draw(r, "work")
			scheduler.Charge(next.Account, next.ID, work)
			accountWork[next.Account] += work
		}
		low, high := accountWork["0"], accountWork["0"]
		for a := range accounts {
			low, high = min(low, accountWork[fmt.Sprint(a)]), max(high, accountWork[fmt.Sprint(a)])
		}
		require.LessOrEqual(r, high-low, float64(credit+2*chunk))
	})
}

// simJob is a simulated job. remaining is the number of items not yet done.
type simJob struct {
	Job
	items, remaining int
	finished         time.Time
}

// simFleet simulates hosts that process chunks of jobs. Each host has its own
// scheduler, which counts only the work of that host.
type simFleet struct {
	random     *rand.Rand
	schedulers []*Scheduler
	fifo       bool
	jobs       []*simJob
	// accountWork is the number of items done for each account.
	accountWork map[string]float64
}

const (
	simHosts         = 20
	simChunkItems    = 100
	simChunkInterval = 100 * time.Millisecond
	simArrivalPeriod = time.Hour
)

// simulate adds the arriving jobs and runs chunks until all jobs are done, at most
// for 4*simArrivalPeriod. The fleet runs one chunk per simChunkInterval, so a host
// runs one per simHosts*simChunkInterval on average.
func (f *simFleet) simulate(arrivals []*simJob) {
	next := 0
	for now := epoch; now.Before(epoch.Add(4 * simArrivalPeriod)); now = now.Add(simChunkInterval) {
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
		f.runChunk(now)
	}
}

// runChunk runs one chunk: of the oldest job if fifo is set, otherwise of the job
// that the scheduler of a random host puts first.
func (f *simFleet) runChunk(now time.Time) {
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
		scheduler.Charge(job.Account, job.ID, float64(min(simChunkItems, job.remaining)))
	}
	work := min(simChunkItems, job.remaining)
	job.remaining -= work
	f.accountWork[job.Account] += float64(work)
	if job.remaining > 0 {
		return
	}
	job.finished = now
	for i, queued := range f.jobs {
		if queued == job {
			f.jobs = append(f.jobs[:i], f.jobs[i+1:]...)
			return
		}
	}
}

func newSimFleet(seed uint64, fifo bool) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 2)), fifo: fifo, accountWork: map[string]float64{}}
	for range simHosts {
		f.schedulers = append(f.schedulers, New(Config{}))
	}
	return f
}

// newArrivals returns jobs whose total work is the fraction load of what the fleet
// can do in simArrivalPeriod. Most jobs are small, a few are very large, and their
// windows are 5 minutes or longer. Most arrive early in the period, like the
// evening peak in which clients submit their jobs.
func newArrivals(seed uint64, load float64) []*simJob {
	random := rand.New(rand.NewPCG(seed, 1))
	capacity := simArrivalPeriod.Seconds() / simChunkInterval.Seconds() * simChunkItems
	sizes := []int{50, 200, 500, 1000, 2000, 5000, 20_000, 40_000}
	var jobs []*simJob
	total := 0.0
	for total < load*capacity {
		size := sizes[min(random.IntN(len(sizes)), random.IntN(len(sizes)))]
		total += float64(size)
		jobs = append(jobs, &simJob{items: size, remaining: size})
	}
	for i, job := range jobs {
		position := float64(i) / float64(len(jobs))
		created := epoch.Add(time.Duration(float64(simArrivalPeriod) * position * position))
		window := 5 * time.Minute << random.IntN(5)
		if job.items >= 20_000 {
			window = 2 * time.Hour
		}
		account := fmt.Sprintf("account-%d", min(random.IntN(8), random.IntN(8)))
		job.Job = Job{ID: fmt.Sprint(i), Account: account, Created: created, Deadline: created.Add(window)}
	}
	return jobs
}

// lateJobsAndSmallWait returns the number of jobs that missed their deadline and
// the longest time from creation to end of a job of at most 50 items.
func lateJobsAndSmallWait(jobs []*simJob) (late int, maxSmallWait time.Duration) {
	for _, job := range jobs {
		if job.finished.IsZero() || job.finished.After(job.Deadline) {
			late++
		}
		if job.items <= 50 {
			maxSmallWait = max(maxSmallWait, job.finished.Sub(job.Created))
		}
	}
	return late, maxSmallWait
}

func TestMissesFewerDeadlinesThanFIFO(t *testing.T) {
	loads := []float64{0.7}
	if os.Getenv("BAOBAB_MEASURE") != "" {
		loads = append(loads, 0.9, 1)
	}
	for _, load := range loads {
		fair, fifo := newArrivals(1, load), newArrivals(1, load)
		newSimFleet(1, false).simulate(fair)
		newSimFleet(1, true).simulate(fifo)
		lateFair, smallFair := lateJobsAndSmallWait(fair)
		lateFIFO, smallFIFO := lateJobsAndSmallWait(fifo)
		t.Logf("| %.0f%% | %d | %d | %d | %s | %s |", 100*load, len(fair), lateFair, lateFIFO,
			smallFair.Round(time.Second), smallFIFO.Round(time.Second))
		assert.LessOrEqual(t, lateFair, lateFIFO/4)
		assert.Less(t, smallFair, smallFIFO, "longest wait of a job of at most 50 items")
	}
}

// TestWorstServedAccountGetsNearlyItsFairShare checks that an account with a
// hundred jobs doesn't take work from seven accounts with one job each. No job
// ends during the simulation.
func TestWorstServedAccountGetsNearlyItsFairShare(t *testing.T) {
	f := newSimFleet(1, false)
	for a := range 8 {
		for j := range 1 + 99*(a/7) {
			f.jobs = append(f.jobs, &simJob{remaining: 1 << 30, Job: Job{
				ID: fmt.Sprintf("%d-%d", a, j), Account: fmt.Sprint(a), Created: epoch,
				Deadline: epoch.Add(time.Duration(1+a) * time.Hour),
			}})
		}
	}
	const steps = 5_000
	for step := range steps {
		f.runChunk(epoch.Add(time.Duration(step) * simChunkInterval))
	}
	lowestShare := 1.0
	for _, work := range f.accountWork {
		lowestShare = min(lowestShare, work/(steps*simChunkItems/8))
	}
	t.Logf("worst-served share %.3f", lowestShare)
	assert.GreaterOrEqual(t, lowestShare, 0.95)
}
