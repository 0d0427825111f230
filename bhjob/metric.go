package bhjob

import "github.com/uber-go/tally/v4"

// runnerMetrics are a runner's counters and gauges.
type runnerMetrics struct {
	sends     tally.Counter
	paused    tally.Counter
	completed tally.Counter
	dead      tally.Counter
	active    tally.Gauge
	claims    tally.Gauge
	running   tally.Gauge
	waiting   tally.Gauge
}

func newRunnerMetrics(scope tally.Scope) runnerMetrics {
	return runnerMetrics{
		sends:     scope.Counter("item_sends"),
		paused:    scope.Counter("item_pauses"),
		completed: scope.Counter("items_completed"),
		dead:      scope.Counter("items_dead"),
		active:    scope.Gauge("items_active"),
		claims:    scope.Gauge("items_claimed"),
		running:   scope.Gauge("engine_running"),
		waiting:   scope.Gauge("engine_waiting"),
	}
}

func (m *runnerMetrics) listed(status Status) {
	if status == Completed {
		m.completed.Inc(1)
		return
	}
	m.dead.Inc(1)
}

func (m *runnerMetrics) update(active, claims int, report LoadReport) {
	m.active.Update(float64(active))
	m.claims.Update(float64(claims))
	m.running.Update(float64(report.Running))
	m.waiting.Update(float64(report.Waiting))
}
