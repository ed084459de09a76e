// Package metrics creates the root tally scope of a process and exports its
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

// Prefix is the prefix of every metric name.
const Prefix = "fuchsiaspar"

// reportInterval is the period at which tally reports values to the exporter,
// and so the maximum age of a scraped value.
const reportInterval = time.Second

// Metrics holds the root scope and its Prometheus exporter. It is an
// http.Handler for scrapes.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns the metrics of an entry VM. Every metric has the tag vm with the
// given name.
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

// ServeHTTP responds with the last reported values.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.handler.ServeHTTP(w, r)
}

// Close reports the remaining values and stops the reporter.
func (m *Metrics) Close() error {
	return errors.Wrap(m.closer.Close(), "close metrics")
}
