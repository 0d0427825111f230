// Package bhfair orders batch jobs: urgent jobs first, then by the work already
// given, to share it fairly between client accounts and between the jobs of one
// account. Batch runners call it to choose the job to claim work from; it has no
// clock, sockets or goroutines.
package bhfair

import (
	"cmp"
	"slices"
	"time"
)

// Config configures a Scheduler.
type Config struct {
	// Credit is how much more work than the account with the least work an account
	// may have been given while its urgent jobs still go first. Its unit is that of
	// Charge. 0 stands for DefaultCredit.
	Credit float64
	// UrgentFraction is the fraction of the time from a job's creation to its
	// deadline, at the end of that time, in which the job is urgent. 0 stands for
	// DefaultUrgentFraction.
	UrgentFraction float64
}

// Default settings of a Scheduler.
const (
	DefaultCredit         = 2000
	DefaultUrgentFraction = 0.25
)

// Job is an open job. Created and Deadline bound its window.
type Job struct {
	ID       string
	Account  string
	Created  time.Time
	Deadline time.Time
}

// Scheduler counts the work given to accounts and jobs and orders jobs by it. It
// is not safe for concurrent use.
type Scheduler struct {
	credit         float64
	urgentFraction float64
	accountWork    map[string]float64
	jobWork        map[string]float64
}

// New returns a scheduler whose accounts and jobs have no work yet.
func New(config Config) *Scheduler {
	if config.Credit == 0 {
		config.Credit = DefaultCredit
	}
	if config.UrgentFraction == 0 {
		config.UrgentFraction = DefaultUrgentFraction
	}
	return &Scheduler{
		credit: config.Credit, urgentFraction: config.UrgentFraction,
		accountWork: map[string]float64{}, jobWork: map[string]float64{},
	}
}

// Charge adds work to the counters of the account and of the job with the given
// ID. The caller chooses the unit, such as batch items.
func (s *Scheduler) Charge(account, job string, work float64) {
	s.accountWork[account] += work
	s.jobWork[job] += work
}

// Order returns a sorted copy of the jobs: the job that should be given work next
// comes first. It drops the counters of jobs and accounts that are not in the
// list. A new job or account starts with the least work of all jobs or accounts
// that remain, so that it gains no priority from the time before it was listed.
func (s *Scheduler) Order(now time.Time, jobs []Job) []Job {
	s.trackJobs(jobs)
	minWork := s.minAccountWork()
	order := slices.Clone(jobs)
	slices.SortStableFunc(order, func(a, b Job) int {
		return s.compare(now, minWork, a, b)
	})
	return order
}

// minAccountWork returns the least work of all accounts.
func (s *Scheduler) minAccountWork() float64 {
	return minCounter(s.accountWork)
}

// trackJobs adds and drops counters so that there is one for each listed job and
// account.
func (s *Scheduler) trackJobs(jobs []Job) {
	listedAccounts := map[string]bool{}
	listedJobs := map[string]bool{}
	for _, job := range jobs {
		listedAccounts[job.Account] = true
		listedJobs[job.ID] = true
	}
	syncCounters(s.accountWork, listedAccounts)
	syncCounters(s.jobWork, listedJobs)
}

// compare orders prioritized jobs first, by deadline, and the others by work.
func (s *Scheduler) compare(now time.Time, minWork float64, a, b Job) int {
	aPrioritized, bPrioritized := s.prioritized(now, minWork, a), s.prioritized(now, minWork, b)
	if aPrioritized && bPrioritized {
		return cmp.Or(a.Deadline.Compare(b.Deadline), s.compareWork(a, b))
	}
	if aPrioritized != bPrioritized {
		return compareFirst(aPrioritized)
	}
	return s.compareWork(a, b)
}

// prioritized reports whether the job is urgent and its account has not exceeded
// the credit. A job past its deadline is not urgent: going first would delay other
// jobs, but the deadline is missed anyway.
func (s *Scheduler) prioritized(now time.Time, minWork float64, job Job) bool {
	remaining := job.Deadline.Sub(now)
	window := job.Deadline.Sub(job.Created)
	urgent := remaining > 0 && float64(remaining) <= s.urgentFraction*float64(window)
	return urgent && s.accountWork[job.Account] <= minWork+s.credit
}

// compareWork orders jobs of different accounts by the work of the accounts, and
// jobs of one account by the work of the jobs. Names, deadlines and IDs break ties.
func (s *Scheduler) compareWork(a, b Job) int {
	if a.Account != b.Account {
		return cmp.Or(
			cmp.Compare(s.accountWork[a.Account], s.accountWork[b.Account]),
			cmp.Compare(a.Account, b.Account))
	}
	return cmp.Or(
		cmp.Compare(s.jobWork[a.ID], s.jobWork[b.ID]),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.ID, b.ID))
}

// compareFirst returns the result of a comparison in which a comes first if aFirst
// is true, and b otherwise.
func compareFirst(aFirst bool) int {
	if aFirst {
		return -1
	}
	return 1
}

// syncCounters drops the counters of keys that are not listed and adds those of
// new keys, which start at the lowest remaining counter.
func syncCounters(counters map[string]float64, listed map[string]bool) {
	for key := range counters {
		if !listed[key] {
			delete(counters, key)
		}
	}
	start := minCounter(counters)
	for key := range listed {
		if _, ok := counters[key]; !ok {
			counters[key] = start
		}
	}
}

// minCounter returns the lowest counter, or 0 if there is none.
func minCounter(counters map[string]float64) float64 {
	first := true
	var lowest float64
	for _, value := range counters {
		if first || value < lowest {
			lowest = value
			first = false
		}
	}
	return lowest
}
