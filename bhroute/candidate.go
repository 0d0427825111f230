package bhroute

import (
	"slices"
	"time"
)

// change is a difference between the last report and what is true now.
type change struct {
	at     time.Time
	work   int64
	active int
}

// candidate is what an entry knows of one upstream.
type candidate struct {
	report   Report
	changes  []change
	breaker  Breaker
	prefixes *PrefixEstimate
}

func (c *candidate) take(now time.Time, report Report) {
	c.cache(now, report.CacheChanges)
	report.CacheChanges = CacheChanges{}
	c.report = report
	c.refresh(now)
}

func (c *candidate) cache(now time.Time, changes CacheChanges) {
	if changes.Gap {
		c.prefixes.Gap(now)
	}
	c.prefixes.Evicted(changes.Evicted)
	c.prefixes.Cached(now, changes.Cached)
}

// refresh drops the changes that the latest report includes.
func (c *candidate) refresh(now time.Time) {
	limit := now.Add(-ReportLag)
	c.changes = slices.DeleteFunc(c.changes, func(ch change) bool { return ch.at.Before(limit) })
}

func (c *candidate) suits(request Request) bool {
	r := c.report
	if !r.Serving || r.Group != request.Group || slices.Contains(request.Exclude, r.Upstream) {
		return false
	}
	return request.Model == "" || len(r.Models) == 0 || slices.Contains(r.Models, request.Model)
}

func (c *candidate) option(now time.Time, request Request, centre string) Candidate {
	work := c.report.Work
	active := c.report.Running + c.report.Queued
	for _, ch := range c.changes {
		work += ch.work
		active += ch.active
	}
	slots := max(c.report.Slots, 1)
	return Candidate{
		Upstream: c.report.Upstream,
		Host:     c.report.Host,
		Work:     float64(max(work, 0)) / float64(slots),
		Active:   max(active, 0),
		Slots:    c.report.Slots,
		ExpectedHits:    c.prefixes.ExpectedHits(now, request.Prefix),
		OtherCentre:      centre != "" && c.report.Centre != centre,
	}
}
