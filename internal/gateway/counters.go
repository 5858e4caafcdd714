package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// counters are the metrics of the request path.
type counters struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	invalid  metric.Int64Counter
	duration metric.Float64Histogram
	first    metric.Float64Histogram
}

func (c *counters) make(m metric.Meter) error {
	var err error
	add := func(e error) { err = errors.CombineErrors(err, e) }
	var e error
	c.requests, e = m.Int64Counter("eelgrass.requests", metric.WithDescription("Requests of callers by final outcome."))
	add(e)
	c.attempts, e = m.Int64Counter("eelgrass.attempts", metric.WithDescription("Attempts at endpoints by outcome."))
	add(e)
	c.invalid, e = m.Int64Counter("eelgrass.responses.invalid", metric.WithDescription("Responses of endpoints that HTTP doesn't allow."))
	add(e)
	c.duration, e = m.Float64Histogram("eelgrass.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to the end of its answer."))
	add(e)
	c.first, e = m.Float64Histogram("eelgrass.request.first", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to the first byte of its answer."))
	add(e)
	return errors.Wrap(err, "make metrics")
}

func (c *counters) request(ctx context.Context, serves, outcome string, took time.Duration) {
	a := metric.WithAttributes(attribute.String("serves", serves), attribute.String("outcome", outcome))
	c.requests.Add(ctx, 1, a)
	c.duration.Record(ctx, took.Seconds(), a)
}

func (c *counters) attempt(ctx context.Context, serves, outcome string) {
	c.attempts.Add(ctx, 1, metric.WithAttributes(attribute.String("serves", serves), attribute.String("outcome", outcome)))
}

// response counts the error of a response if HTTP doesn't allow the response.
func (c *counters) response(ctx context.Context, serves string, err error) {
	if header.IsInvalid(err) {
		c.invalid.Add(ctx, 1, metric.WithAttributes(attribute.String("serves", serves)))
	}
}

func (c *counters) firstByte(ctx context.Context, serves string, took time.Duration) {
	c.first.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("serves", serves)))
}
