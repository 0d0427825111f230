package bhjob

import (
	"time"

	"github.com/baobabhaven/baobabhaven/bhcap"
	"github.com/baobabhaven/baobabhaven/bhlog"
	"github.com/baobabhaven/baobabhaven/bhwatch"
)

// limitedError means that the engine takes no further request yet by the limit that it
// names.
type limitedError struct{ wait time.Duration }

// Error implements error.
func (e *limitedError) Error() string {
	return "the engine's limit allows no request for " + e.wait.String()
}

// observeLimit adds what an answer of the engine with the values of the limit's header said.
func (r *Runner) observeLimit(instance bhwatch.Instance, values []string, sentAt time.Time) {
	limit, named, err := bhcap.Parse(values)
	if err != nil {
		bhlog.Problem(r.config.Logger, "limit.invalid", err, "upstream", instance.ID)
		return // neither names a limit nor ends one
	}
	before := r.config.Limits.Newest(bhcap.RunnersEngine)
	r.config.Limits.Observe(bhcap.RunnersEngine, bhcap.Naming{Named: named, Rate: limit, SentAt: sentAt, At: time.Now()})
	if before.Named != named || before.Rate != limit {
		bhlog.Event(r.config.Logger, "limit.named", "upstream", instance.ID, "named", named, "limit", limit)
	}
}

// takeLimit takes the right to send one item to the engine. The error is a limitedError.
func (r *Runner) takeLimit() error {
	if decision := r.config.Limits.Take(bhcap.RunnersEngine, time.Now()); !decision.Granted {
		return &limitedError{wait: decision.Wait}
	}
	return nil
}

// observeCold adds that the engine is cold if its record says so, or if its report shows that
// it has just started: the record may be as old as a heartbeat and a poll.
func (r *Runner) observeCold(instance bhwatch.Instance, report LoadReport) {
	index := r.config.Policies.View().Index
	if index == nil {
		return
	}
	service := index.ServiceNamed(instance.Service)
	if service == nil || service.ColdRate <= 0 {
		return
	}
	left := instance.ColdUntil - r.config.Clock.Now()
	if report.Born > max(r.engineBorn, instance.Born) {
		left = service.ColdTime
	}
	r.engineBorn = max(r.engineBorn, report.Born)
	now := time.Now()
	if left = min(left, service.ColdTime); left <= 0 {
		return
	}
	if r.config.Limits.Cold(bhcap.RunnersEngine, now).Until.IsZero() {
		bhlog.Event(r.config.Logger, "upstream.cold", "upstream", instance.ID, "tolerates", service.ColdRate, "for", left)
	}
	r.config.Limits.ObserveCold(bhcap.RunnersEngine, bhcap.Cold{Rate: service.ColdRate, Until: now.Add(left)}, now)
}

// mayStart reports whether items may be started at the engine: what this runner knows of
// policy and jobs is fresh, and the engine's limit allows a request.
func (r *Runner) mayStart() bool {
	return r.fresh() && r.config.Limits.Look(bhcap.RunnersEngine, time.Now()).Granted
}
