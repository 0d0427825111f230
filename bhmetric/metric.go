// Package bhmetric provides the metrics of a daemon: a tally scope whose values
// are served in the Prometheus text format. Packages bhcmd, bhentry and bhsidecar
// use it, with one Metrics per daemon.
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
	// metricPrefix precedes the names of all metrics.
	metricPrefix = "baobab"
	// reportInterval is how often the values are passed to Prometheus.
	reportInterval = time.Second
)

// Metrics is the root of a daemon's metrics.
type Metrics struct {
	// Scope is the root scope, in which the packages register their metrics.
	Scope tally.Scope

	handler http.Handler
	closer  io.Closer
}

// New returns metrics tagged with the role and host of the daemon. The caller
// must call Close.
func New(role, host string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	var registerErr error
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { registerErr = err },
	})
	if registerErr != nil {
		return nil, errors.Wrap(registerErr, "metrics")
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Tags:                   map[string]string{"role": role, "host": host},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}, nil
}

// Handler returns the handler that serves the metrics to a Prometheus scraper.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the last values and waits until reporting has stopped.
func (m *Metrics) Close() error { return m.closer.Close() }
