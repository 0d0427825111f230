package bhgate

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// overdueObjectives is the time to the first event, as a multiple of the latency
	// objective, from which on a request counts as a fault of its engine. Requests
	// that merely wait for a slot were admitted for less.
	overdueObjectives = 2
	// defaultOverdue applies to routes without an objective.
	defaultOverdue = time.Second
)

// engineWatch reports one fault of an engine to its runner: a request that failed
// there, or got no first event in time. A nil engineWatch does nothing.
type engineWatch struct {
	timer   *time.Timer
	overdue time.Duration
	report  func()
	once    sync.Once
}

// watchEngine starts to watch the engine beside the runner for the call's next
// attempt.
func (c *call) watchEngine(runner netip.AddrPort) {
	c.engineWatch.answered()
	overdue := overdueObjectives*c.route.LatencyObjective + c.choice.wait
	if c.route.LatencyObjective <= 0 {
		overdue = defaultOverdue + c.choice.wait
	}
	watch := &engineWatch{overdue: overdue, report: func() { c.gate.config.EngineLoads.Fault(runner) }}
	watch.timer = time.AfterFunc(overdue, watch.failed)
	c.engineWatch = watch
}

// progressed restarts the time to the first event, as the engine is still taking the request.
func (w *engineWatch) progressed() {
	if w != nil {
		w.timer.Reset(w.overdue)
	}
}

// failed reports the fault, unless one was reported or the engine answered.
func (w *engineWatch) failed() {
	if w != nil {
		w.once.Do(w.report)
	}
}

// answered ends the watch.
func (w *engineWatch) answered() {
	if w != nil {
		w.timer.Stop()
		w.once.Do(func() {})
	}
}
