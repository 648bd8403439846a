// Package metrics creates the tally scope of a program and serves its metrics in the
// Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope is flushed to the reporter.
const reportInterval = time.Second

// Metrics contains the root scope and the HTTP handler that serves its metrics.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// Config contains the prefix of the metric names, and the process and zone with
// which all metrics are tagged.
type Config struct {
	Prefix    string
	ProcessID string
	Zone      string
}

// New returns a scope whose metric names start with the prefix.
func New(c Config) (*Metrics, error) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          c.Prefix,
		Tags:            map[string]string{"process": c.ProcessID, "zone": c.Zone},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}, nil
}

// Close flushes the scope and stops its goroutine.
func (m *Metrics) Close() error {
	return eris.Wrap(m.closer.Close(), "close metrics")
}
