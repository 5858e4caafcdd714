package meter

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Exporter holds the metrics of one process.
type Exporter struct {
	// Meter creates the instruments.
	Meter metric.Meter
	// Handler serves /metrics.
	Handler http.Handler
}

// New returns an exporter whose meter is named after the program.
func New(program string) (*Exporter, error) {
	r := prometheus.NewRegistry()
	e, err := otelprometheus.New(otelprometheus.WithRegisterer(r), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	p := sdkmetric.NewMeterProvider(sdkmetric.WithReader(e))
	return &Exporter{Meter: p.Meter(program), Handler: promhttp.HandlerFor(r, promhttp.HandlerOpts{})}, nil
}
