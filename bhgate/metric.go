package bhgate

import (
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// metrics are a gate's counters and histograms.
type metrics struct {
	served   tally.Counter
	left     tally.Counter
	sends    tally.Counter
	duration tally.Histogram
	failures map[bhcode.Code]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	failures := make(map[bhcode.Code]tally.Counter)
	for code := range bhcode.All() {
		failures[code] = scope.Tagged(map[string]string{"code": code.String()}).Counter("gate_failures")
	}
	return metrics{
		served:   scope.Counter("gate_served"),
		left:     scope.Counter("gate_clients_left"),
		sends:    scope.Counter("gate_sends"),
		duration: scope.Histogram("gate_seconds", tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)),
		failures: failures,
	}
}

func (m *metrics) done(c *call, err error) {
	m.sends.Inc(int64(c.sends))
	m.duration.RecordDuration(time.Since(c.arrived))
	switch {
	case err == nil:
		m.served.Inc(1)
	case errors.Is(err, errClientGone):
		m.left.Inc(1)
	default:
		if counter, ok := m.failures[bhcode.From(err).Code]; ok {
			counter.Inc(1)
		}
	}
}
