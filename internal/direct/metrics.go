package direct

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// metrics holds the instruments that a gateway records per request.
type metrics struct {
	requests              metric.Int64Counter
	attempts, notices     metric.Int64Counter
	firstEvent, queueTime metric.Float64Histogram
}

func newMetrics(e *meter.Exporter, g *Gateway) (*metrics, error) {
	m := &metrics{}
	var err, all error
	add := func() { all = errors.CombineErrors(all, err) }
	m.requests, err = e.Meter.Int64Counter("eelgrass.requests", metric.WithDescription("Requests of callers by service and outcome."))
	add()
	m.attempts, err = e.Meter.Int64Counter("eelgrass.attempts", metric.WithDescription("Requests sent to endpoints."))
	add()
	m.notices, err = e.Meter.Int64Counter("eelgrass.endpoint.notices", metric.WithDescription("Endpoints that said that they leave or pause."))
	add()
	m.firstEvent, err = e.Meter.Float64Histogram("eelgrass.request.first", metric.WithUnit("s"), metric.WithDescription("Time to the first event or the whole answer."))
	add()
	m.queueTime, err = e.Meter.Float64Histogram("eelgrass.request.wait", metric.WithUnit("s"), metric.WithDescription("Time in the queue."))
	add()
	endpoints, err := e.Meter.Int64ObservableGauge("eelgrass.endpoints", metric.WithDescription("Endpoints by service and state."))
	add()
	load, err := e.Meter.Int64ObservableGauge("eelgrass.load", metric.WithDescription("Requests of this gateway at endpoints and in the queue."))
	add()
	revision, err := e.Meter.Int64ObservableGauge("eelgrass.configuration.revision", metric.WithDescription("Revision in force."))
	add()
	behind, err := e.Meter.Float64ObservableGauge("eelgrass.process.lag", metric.WithUnit("s"), metric.WithDescription("How late the process runs what is due."))
	add()
	age, err := e.Meter.Float64ObservableGauge("eelgrass.table.age", metric.WithUnit("s"), metric.WithDescription("Time since the platform confirmed a table, here or at a peer."))
	add()
	callers, err := e.Meter.Int64ObservableGauge("eelgrass.callers.open", metric.WithDescription("Open connections of callers."))
	add()
	trimmed, err := e.Meter.Int64ObservableCounter("eelgrass.callers.trimmed", metric.WithDescription("Resting connections of callers that were closed for new ones."))
	add()
	held, err := e.Meter.Int64ObservableGauge("eelgrass.bodies.held", metric.WithUnit("By"), metric.WithDescription("Bodies that are held until they are whole."))
	add()
	_, err = e.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		if t := g.follower.state.Table(); t != nil {
			o.ObserveInt64(revision, int64(t.Configuration.Revision))
		}
		o.ObserveFloat64(behind, g.lag.last().Seconds())
		o.ObserveInt64(held, g.front.BufferedBytes())
		n, old := g.callers.Count()
		o.ObserveInt64(callers, int64(n))
		o.ObserveInt64(trimmed, int64(old))
		for name, t := range g.follower.all() {
			if at := t.Confirmed(); !at.IsZero() {
				o.ObserveFloat64(age, timekeeper.Now().Sub(at).Seconds(), metric.WithAttributes(attribute.String("table", name)))
			}
		}
		for _, p := range g.dispatcher.Status() {
			observeStatus(o, endpoints, load, p)
		}
		return nil
	}, endpoints, load, revision, behind, age, callers, trimmed, held)
	add()
	return m, errors.Wrap(all, "make metrics")
}

func observeStatus(o metric.Observer, endpoints, load metric.Int64ObservableGauge, p dispatcher.Status) {
	put := func(g metric.Int64ObservableGauge, state string, n int) {
		o.ObserveInt64(g, int64(n), metric.WithAttributes(attribute.String("service", p.Service), attribute.String("state", state)))
	}
	put(endpoints, "listed", p.Endpoints)
	put(endpoints, "loaded", p.Loaded)
	put(endpoints, "cold", p.Cold)
	put(endpoints, "draining", p.Draining)
	put(endpoints, "avoided", p.Avoided)
	put(endpoints, "leaving", p.Leaving)
	put(endpoints, "paused", p.Paused)
	put(load, "in-flight", p.InFlight)
	put(load, "queued", p.Queued)
}

func (m *metrics) observeNotice(e observer.Endpoint, v dispatcher.Notice) {
	kind := "paused"
	if v.Leaving {
		kind = "leaving"
	}
	m.notices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", e.Service), attribute.String("kind", kind)))
}

// logNotice logs that an endpoint leaves or pauses, and how the gateway learned of it.
func logNotice(l zerolog.Logger, e observer.Endpoint, v dispatcher.Notice, from dispatcher.NoticeSource) {
	i := l.Info().Str("endpoint", e.ID).Str("address", e.Address.String()).Str("source", string(from))
	if v.Leaving {
		i.Msg("endpoint-leaving")
		return
	}
	i.Dur("pause-ms", v.Pause).Msg("endpoint-paused")
}

func (m *metrics) observe(r forwarder.Result) {
	ctx := context.Background()
	service := attribute.String("service", r.Service)
	a := metric.WithAttributeSet(attribute.NewSet(service))
	m.requests.Add(ctx, 1, metric.WithAttributes(service, attribute.String("outcome", r.Outcome)))
	m.attempts.Add(ctx, int64(r.Tries), a)
	m.queueTime.Record(ctx, r.Waited.Seconds(), a)
	if r.First > 0 {
		m.firstEvent.Record(ctx, r.First.Seconds(), a)
	}
}
