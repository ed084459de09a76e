// Package metrics builds the root tally scope of one process and serves its
// values over HTTP in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Prefix starts the name of every metric.
const Prefix = "fuchsiaspar"

// reportInterval is how often tally hands its values to the exporter.
const reportInterval = time.Second

// Metrics is the root scope with its exporter.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns the metrics of the entry VM called vm.
func New(vm string) (*Metrics, error) {
	registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(error) {
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          Prefix,
		Tags:            map[string]string{"vm": vm},
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, reportInterval)
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return &Metrics{Scope: scope, handler: handler, closer: closer}, nil
}

// ServeHTTP writes the current values.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.handler.ServeHTTP(w, r)
}

// Close stops reporting.
func (m *Metrics) Close() error {
	return errors.Wrap(m.closer.Close(), "close metrics")
}
