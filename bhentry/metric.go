package bhentry

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// requestMetrics counts requests by result code and records their latency.
type requestMetrics struct {
	scope    tally.Scope
	latency  tally.Timer
	counters *sync.Map
}

func newRequestMetrics(scope tally.Scope) requestMetrics {
	return requestMetrics{scope: scope, latency: scope.Timer("request_seconds"), counters: &sync.Map{}}
}

func (m requestMetrics) record(err error, elapsed time.Duration) {
	m.latency.Record(elapsed)
	code := bhcode.OK
	if err != nil {
		code = toCodeError(err).Code
	}
	m.counter(code).Inc(1)
}

func (m requestMetrics) counter(code bhcode.Code) tally.Counter {
	if counter, ok := m.counters.Load(code); ok {
		return counter.(tally.Counter)
	}
	counter := m.scope.Tagged(map[string]string{"code": strconv.Itoa(int(code))}).Counter("requests")
	m.counters.Store(code, counter)
	return counter
}
