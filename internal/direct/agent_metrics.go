package direct

import (
	"context"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/lender"
	"github.com/eelgrassdrift/eelgrassdrift/loader"
)

// observeLender makes the instruments of an agent that lends its engine's cold rate.
func observeLender(e *meter.Exporter, stats func() lender.Stats) error {
	var err, all error
	add := func() { all = errors.CombineErrors(all, err) }
	rate, err := e.Meter.Float64ObservableGauge("eelgrass.agent.lent.rate", metric.WithDescription("Permits lent per second while the engine is cold, by reason."))
	add()
	lent, err := e.Meter.Int64ObservableCounter("eelgrass.agent.lent", metric.WithDescription("Permits lent."))
	add()
	demands, err := e.Meter.Int64ObservableCounter("eelgrass.agent.demands", metric.WithDescription("Demands of gateways by result."))
	add()
	if all != nil {
		return errors.Wrap(all, "make metrics")
	}
	_, err = e.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := stats()
		o.ObserveFloat64(rate, s.Rate, metric.WithAttributes(attribute.String("reason", string(s.Reason))))
		o.ObserveInt64(lent, s.Lent)
		o.ObserveInt64(demands, s.Demands, metric.WithAttributes(attribute.String("result", "accepted")))
		o.ObserveInt64(demands, s.Refused, metric.WithAttributes(attribute.String("result", "refused")))
		return nil
	}, rate, lent, demands)
	return errors.Wrap(err, "make metrics")
}

// logLending logs that the engine's ramp-up begins, is set back by another start, or ends.
func logLending(l zerolog.Logger, c lender.Change) {
	l.Info().Time("started", c.Started).Float64("rate", math.Round(10*c.Rate)/10).Int("lent", c.Lent).Msg("ramp-up-" + string(c.Kind))
}

// observeLoader makes the instruments of an agent, which read the loader when they are scraped.
func observeLoader(e *meter.Exporter, stats func() loader.Stats) error {
	var err, all error
	add := func() { all = errors.CombineErrors(all, err) }
	version, err := e.Meter.Int64ObservableGauge("eelgrass.agent.version", metric.WithDescription("Versions by state: complete, superseded."))
	add()
	completing, err := e.Meter.Int64ObservableGauge("eelgrass.agent.completing", metric.WithDescription("1 while the pieces of a superseded version are read from the origin."))
	add()
	reads, err := e.Meter.Int64ObservableCounter("eelgrass.agent.superseded.reads", metric.WithDescription("Reads of pieces of superseded versions from the origin."))
	add()
	received, err := e.Meter.Int64ObservableCounter("eelgrass.agent.received", metric.WithUnit("By"), metric.WithDescription("Bytes of pieces by the level of the source."))
	add()
	takeovers, err := e.Meter.Int64ObservableCounter("eelgrass.agent.takeovers", metric.WithDescription("How often the next source of a piece was asked."))
	add()
	corrupt, err := e.Meter.Int64ObservableCounter("eelgrass.agent.corrupt", metric.WithDescription("Pieces that arrived corrupt."))
	add()
	if all != nil {
		return errors.Wrap(all, "make metrics")
	}
	_, err = e.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := stats()
		o.ObserveInt64(version, s.Complete, metric.WithAttributes(attribute.String("state", "complete")))
		o.ObserveInt64(version, s.Superseded, metric.WithAttributes(attribute.String("state", "superseded")))
		n := int64(0)
		if s.Completing && s.Superseded > 0 {
			n = 1
		}
		o.ObserveInt64(completing, n)
		o.ObserveInt64(reads, s.SupersededReads)
		for l, b := range s.Chunks.Received {
			o.ObserveInt64(received, b, metric.WithAttributes(attribute.String("source", distributor.Level(l).String())))
		}
		o.ObserveInt64(takeovers, s.Chunks.Takeovers)
		o.ObserveInt64(corrupt, s.Chunks.Corrupt)
		return nil
	}, version, completing, reads, received, takeovers, corrupt)
	return errors.Wrap(err, "make metrics")
}
