package bhroute

import (
	"slices"
	"time"
)

// adjustment is the effect of a request that this entry sent or finished, until
// a report of the upstream includes it.
type adjustment struct {
	at time.Time
	// work is the change of the upstream's live work in tokens.
	work int64
	// active is the change of its number of live requests.
	active int
}

// upstreamState holds the latest report of one upstream and what the entry has
// learned of the upstream since.
type upstreamState struct {
	report      Report
	adjustments []adjustment
	breaker     Breaker
	prefixes    *PrefixEstimate
}

func (u *upstreamState) applyReport(now time.Time, report Report) {
	u.applyCacheChanges(now, report.CacheChanges)
	report.CacheChanges = CacheChanges{}
	u.report = report
	u.dropReported(now)
}

func (u *upstreamState) applyCacheChanges(now time.Time, changes CacheChanges) {
	if changes.Gap {
		u.prefixes.Gap(now)
	}
	u.prefixes.Evicted(changes.Evicted)
	u.prefixes.Cached(now, changes.Cached)
}

// dropReported drops the adjustments that a report arriving at time now
// includes: those older than ReportLag.
func (u *upstreamState) dropReported(now time.Time) {
	cutoff := now.Add(-ReportLag)
	u.adjustments = slices.DeleteFunc(u.adjustments, func(a adjustment) bool { return a.at.Before(cutoff) })
}

// serves reports whether the upstream is serving, belongs to the request's group,
// has its model and isn't excluded by the request. It doesn't look at the
// breaker.
func (u *upstreamState) serves(request Request) bool {
	r := u.report
	if !r.Serving || r.Group != request.Group || slices.Contains(request.Exclude, r.Upstream) {
		return false
	}
	return request.Model == "" || len(r.Models) == 0 || slices.Contains(r.Models, request.Model)
}

// candidate estimates the upstream's load at time now: the latest report plus
// the adjustments since. The estimates of work and requests are at least 0.
func (u *upstreamState) candidate(now time.Time, request Request, centre string) Candidate {
	work := u.report.Work
	active := u.report.Running + u.report.Queued
	for _, a := range u.adjustments {
		work += a.work
		active += a.active
	}
	slots := max(u.report.Slots, 1)
	return Candidate{
		Upstream:     u.report.Upstream,
		Host:         u.report.Host,
		Work:         float64(max(work, 0)) / float64(slots),
		Active:       max(active, 0),
		Slots:        u.report.Slots,
		ExpectedHits: u.prefixes.ExpectedHits(now, request.Prefix),
		OtherCentre:  centre != "" && u.report.Centre != centre,
	}
}
