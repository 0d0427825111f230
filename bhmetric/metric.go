// Package bhmetric provides the metrics of a daemon: a tally scope whose
// values are served in the Prometheus text format.
package bhmetric

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix         = "baobab"
	reportInterval = time.Second
)

// Metrics is the root of a daemon's metrics.
type Metrics struct {
	// Scope is where parts register their metrics.
	Scope tally.Scope

	handler http.Handler
	closer  io.Closer
}

// New returns metrics tagged with the role and host.
func New(role, host string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	var failure error
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { failure = err },
	})
	if failure != nil {
		return nil, errors.Wrap(failure, "metrics")
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   map[string]string{"role": role, "host": host},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}, nil
}

// Handler serves the metrics to a scraper.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the last values and waits for the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }
