// Package bhfair orders the jobs of client accounts: jobs due soon first, then
// fair between accounts, and between the jobs of one account, by work done. It
// has no clock, sockets or goroutines.
package bhfair

import (
	"cmp"
	"slices"
	"time"
)

// Config configures a Scheduler.
type Config struct {
	// Credit is how much more work than the worst-served account an account may
	// have been given while its urgent jobs still go first.
	Credit float64
	// Urgent is the share of a job's window before its deadline in which the
	// job is urgent.
	Urgent float64
}

// Default settings of a Scheduler.
const (
	DefaultCredit = 2000
	DefaultUrgent = 0.25
)

// Job is a job that wants work done.
type Job struct {
	ID       string
	Account  string
	Created  time.Time
	Deadline time.Time
}

// Scheduler counts the work given to accounts and jobs and decides what goes
// next. It is not safe for concurrent use.
type Scheduler struct {
	credit   float64
	urgent   float64
	accounts map[string]float64
	jobs     map[string]float64
}

// New returns a scheduler that has given no work.
func New(config Config) *Scheduler {
	if config.Credit == 0 {
		config.Credit = DefaultCredit
	}
	if config.Urgent == 0 {
		config.Urgent = DefaultUrgent
	}
	return &Scheduler{
		credit: config.Credit, urgent: config.Urgent,
		accounts: map[string]float64{}, jobs: map[string]float64{},
	}
}

// Charge notes that work was given to a job of account.
func (s *Scheduler) Charge(account, job string, work float64) {
	s.accounts[account] += work
	s.jobs[job] += work
}

// Order returns the jobs in the order in which they should be given work. Jobs
// and accounts that are not listed are forgotten; one that appears starts level
// with the worst-served one.
func (s *Scheduler) Order(now time.Time, jobs []Job) []Job {
	s.join(jobs)
	floor := s.floor()
	order := slices.Clone(jobs)
	slices.SortStableFunc(order, func(a, b Job) int {
		return s.compare(now, floor, a, b)
	})
	return order
}

// floor returns the work of the worst-served account.
func (s *Scheduler) floor() float64 {
	return least(s.accounts)
}

// join brings the counters in line with the listed jobs.
func (s *Scheduler) join(jobs []Job) {
	accounts := map[string]bool{}
	listed := map[string]bool{}
	for _, job := range jobs {
		accounts[job.Account] = true
		listed[job.ID] = true
	}
	retain(s.accounts, accounts)
	retain(s.jobs, listed)
}

func (s *Scheduler) compare(now time.Time, floor float64, a, b Job) int {
	first, second := s.due(now, floor, a), s.due(now, floor, b)
	if first && second {
		return cmp.Or(a.Deadline.Compare(b.Deadline), s.fair(a, b))
	}
	if first != second {
		return order(first)
	}
	return s.fair(a, b)
}

// due reports whether the job is urgent and its account within its credit. A
// job past its deadline is not urgent: it can't be saved at others' cost.
func (s *Scheduler) due(now time.Time, floor float64, job Job) bool {
	left := job.Deadline.Sub(now)
	window := job.Deadline.Sub(job.Created)
	urgent := left > 0 && float64(left) <= s.urgent*float64(window)
	return urgent && s.accounts[job.Account] <= floor+s.credit
}

func (s *Scheduler) fair(a, b Job) int {
	if a.Account != b.Account {
		return cmp.Or(
			cmp.Compare(s.accounts[a.Account], s.accounts[b.Account]),
			cmp.Compare(a.Account, b.Account))
	}
	return cmp.Or(
		cmp.Compare(s.jobs[a.ID], s.jobs[b.ID]),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.ID, b.ID))
}

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// retain drops the counters of keys not listed and starts new ones at the
// least of those that stay.
func retain(counters map[string]float64, listed map[string]bool) {
	for key := range counters {
		if !listed[key] {
			delete(counters, key)
		}
	}
	start := least(counters)
	for key := range listed {
		if _, ok := counters[key]; !ok {
			counters[key] = start
		}
	}
}

func least(counters map[string]float64) float64 {
	first := true
	var least float64
	for _, value := range counters {
		if first || value < least {
			least = value
			first = false
		}
	}
	return least
}
