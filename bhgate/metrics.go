package bhgate

import (
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
	"github.com/baobabhaven/baobabhaven/bhshare"
	"github.com/baobabhaven/baobabhaven/bhspool"
)

// metrics are a gate's counters and histograms.
type metrics struct {
	served      tally.Counter
	clientsGone tally.Counter
	// stalled counts the answers that broke off because their client read too slowly.
	stalled tally.Counter
	sends   tally.Counter
	// notAdmitted counts requests refused because all engines asked were full, by the
	// reason for which they yielded to other callers.
	notAdmitted map[bhshare.Reason]tally.Counter
	// limited counts requests refused because of the limits that upstreams name.
	limited tally.Counter
	// evacuated counts requests refused because their upstreams are all in evacuated data
	// centres.
	evacuated tally.Counter
	// takenUp counts the streams that clients took up, originUnknown those of them
	// that were refused because nothing tells which version began them.
	takenUp       tally.Counter
	originUnknown tally.Counter
	// connected counts the sends that were answered on a new connection, reused those on
	// an idle one, and forgotten those that broke on an idle one at once.
	connected tally.Counter
	reused    tally.Counter
	forgotten tally.Counter
	// strays counts the answers to earlier requests that came on a reused connection.
	strays   tally.Counter
	duration tally.Histogram
	// held is what the gateway holds for its clients, in bytes; heldDenied and heldYielded
	// follow the counts of the budget.
	held        tally.Gauge
	heldDenied  tally.Gauge
	heldYielded tally.Gauge
	failures    map[bhcode.Code]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	failures := make(map[bhcode.Code]tally.Counter)
	for code := range bhcode.All() {
		failures[code] = scope.Tagged(map[string]string{"code": code.String()}).Counter("gate_failures")
	}
	notAdmitted := make(map[bhshare.Reason]tally.Counter)
	for _, reason := range bhshare.Reasons() {
		notAdmitted[reason] = scope.Tagged(map[string]string{"yields": reason.String()}).Counter("gate_not_admitted")
	}
	return metrics{
		served:        scope.Counter("gate_served"),
		clientsGone:   scope.Counter("gate_clients_left"),
		stalled:       scope.Counter("gate_readers_stalled"),
		held:          scope.Gauge("gate_held_bytes"),
		heldDenied:    scope.Gauge("gate_held_denied"),
		heldYielded:   scope.Gauge("gate_held_yielded"),
		sends:         scope.Counter("gate_sends"),
		notAdmitted:   notAdmitted,
		limited:       scope.Counter("gate_limited"),
		evacuated:     scope.Counter("gate_evacuated"),
		takenUp:       scope.Counter("gate_streams_taken_up"),
		originUnknown: scope.Counter("gate_origins_unknown"),
		connected:     scope.Counter("gate_connections_new"),
		reused:        scope.Counter("gate_connections_reused"),
		forgotten:     scope.Counter("gate_connections_forgotten"),
		strays:        scope.Counter("gate_answers_skipped"),
		duration:      scope.Histogram("gate_seconds", tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)),
		failures:      failures,
	}
}

// record counts a call that ended with err.
func (m *metrics) record(c *call, err error) {
	m.sends.Inc(int64(c.sends))
	m.duration.RecordDuration(time.Since(c.arrived))
	switch {
	case err == nil:
		m.served.Inc(1)
	case errors.Is(err, errClientGone):
		m.clientsGone.Inc(1)
	case errors.Is(err, errReaderStalled):
		m.stalled.Inc(1)
	default:
		if counter, ok := m.failures[bhcode.From(err).Code]; ok {
			counter.Inc(1)
		}
	}
}

// observeBudget reports what the gateway holds for its clients.
func (m *metrics) observeBudget(usage bhspool.Usage) {
	m.held.Update(float64(usage.Bytes))
	m.heldDenied.Update(float64(usage.Denied))
	m.heldYielded.Update(float64(usage.Yielded))
}
