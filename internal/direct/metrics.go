package direct

import (
	"context"
	"math"

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
	err = g.connections.Register(e.Meter)
	add()
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
	ranks, err := e.Meter.Float64ObservableGauge("eelgrass.rank.slots", metric.WithDescription("Slots of this gateway's requests by service, rank and state, where ranks differ."))
	add()
	revision, err := e.Meter.Int64ObservableGauge("eelgrass.configuration.revision", metric.WithDescription("Revision in force."))
	add()
	behind, err := e.Meter.Float64ObservableGauge("eelgrass.process.lag", metric.WithUnit("s"), metric.WithDescription("How late the process runs what is due."))
	add()
	permits, err := e.Meter.Int64ObservableCounter("eelgrass.permits", metric.WithDescription("Permits of cold endpoints by service and state."))
	add()
	halfOpen, err := e.Meter.Int64ObservableCounter("eelgrass.half.open", metric.WithDescription("Requests with which endpoints that had failed were tried, by service and state."))
	add()
	age, err := e.Meter.Float64ObservableGauge("eelgrass.table.age", metric.WithUnit("s"), metric.WithDescription("Time since the platform confirmed a table, here or at a peer."))
	add()
	callers, err := e.Meter.Int64ObservableGauge("eelgrass.callers.open", metric.WithDescription("Open connections of callers."))
	add()
	trimmed, err := e.Meter.Int64ObservableCounter("eelgrass.callers.trimmed", metric.WithDescription("Resting connections of callers that were closed for new ones."))
	add()
	returns, err := e.Meter.Int64ObservableCounter("eelgrass.store.returns", metric.WithDescription("Tables that were compared after the store returned from an older copy."))
	add()
	lost, err := e.Meter.Int64ObservableCounter("eelgrass.store.lost", metric.WithDescription("Records that the store lost and that stayed in force."))
	add()
	rewritten, err := e.Meter.Int64ObservableCounter("eelgrass.store.rewritten", metric.WithDescription("Lost records that this gateway wrote again."))
	add()
	invalid, err := e.Meter.Int64ObservableCounter("eelgrass.responses.invalid", metric.WithDescription("Responses of endpoints that HTTP doesn't allow."))
	add()
	held, err := e.Meter.Int64ObservableGauge("eelgrass.bodies.held", metric.WithUnit("By"), metric.WithDescription("Bodies that are held until they are whole."))
	add()
	work, err := e.Meter.Float64ObservableGauge("eelgrass.work", metric.WithDescription("Events that requests of this gateway have yet to get, where lengths of answers are known."))
	add()
	uneven, err := e.Meter.Int64ObservableGauge("eelgrass.lengths.uneven", metric.WithDescription("1 while the lengths of responses of a service vary widely, else 0."))
	add()
	calls, err := e.Meter.Int64ObservableGauge("eelgrass.calls", metric.WithDescription("Calls under way, where they are bounded."))
	add()
	linkWait, err := e.Meter.Float64ObservableGauge("eelgrass.link.wait", metric.WithUnit("s"), metric.WithDescription("Time in which the link carries the bodies and answers that were taken."))
	add()
	refused, err := e.Meter.Int64ObservableCounter("eelgrass.capacity.refused", metric.WithDescription("Requests refused because of the gateway's own bounds."))
	add()
	_, err = e.Meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		if t := g.follower.state.Table(); t != nil {
			o.ObserveInt64(revision, int64(t.Configuration.Revision))
		}
		o.ObserveFloat64(behind, g.lag.last().Seconds())
		o.ObserveInt64(held, g.front.BufferedBytes())
		o.ObserveInt64(invalid, g.front.InvalidResponses())
		o.ObserveInt64(returns, g.follower.returns.returns.Load())
		o.ObserveInt64(lost, g.follower.returns.lost.Load())
		o.ObserveInt64(rewritten, g.follower.returns.rewritten.Load())
		n, old := g.callers.Count()
		o.ObserveInt64(callers, int64(n))
		o.ObserveInt64(trimmed, int64(old))
		for name, t := range g.follower.all() {
			if at := t.Confirmed(); !at.IsZero() {
				o.ObserveFloat64(age, timekeeper.Now().Sub(at).Seconds(), metric.WithAttributes(attribute.String("table", name)))
			}
		}
		for _, p := range g.dispatcher.Status() {
			observeStatus(o, endpoints, load, uneven, p)
			observeRanks(o, ranks, p)
			observePermits(o, endpoints, permits, p)
			observeHalfOpen(o, halfOpen, p)
			o.ObserveFloat64(work, p.Unwritten, metric.WithAttributes(attribute.String("service", p.Service)))
		}
		if g.refusals.use != nil {
			u := g.refusals.use()
			o.ObserveInt64(calls, int64(u.Calls))
			o.ObserveFloat64(linkWait, u.LinkWait.Seconds())
			for reason, n := range u.Refused {
				o.ObserveInt64(refused, n, metric.WithAttributes(attribute.String("reason", reason)))
			}
		}
		return nil
	}, endpoints, load, ranks, revision, behind, age, callers, trimmed, held, work, uneven, calls, linkWait, refused, returns, lost, rewritten, invalid, permits)
	add()
	return m, errors.Wrap(all, "make metrics")
}

func observeStatus(o metric.Observer, endpoints, load, uneven metric.Int64ObservableGauge, p dispatcher.Status) {
	isUneven := int64(0)
	if p.Uneven {
		isUneven = 1
	}
	o.ObserveInt64(uneven, isUneven, metric.WithAttributes(attribute.String("service", p.Service)))
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
	put(endpoints, "slow", p.Slow)
	put(load, "in-flight", p.InFlight)
	put(load, "queued", p.Queued)
}

// observePermits exports the permits of a service whose agents lend them, and nothing for others.
func observePermits(o metric.Observer, endpoints metric.Int64ObservableGauge, permits metric.Int64ObservableCounter, p dispatcher.Status) {
	c := p.Permits
	if c == (dispatcher.PermitCounts{}) {
		return
	}
	service := attribute.String("service", p.Service)
	o.ObserveInt64(endpoints, int64(p.Lent), metric.WithAttributes(service, attribute.String("state", "lent")))
	for state, n := range map[string]int64{"received": c.Received, "used": c.Used, "late": c.Late} {
		o.ObserveInt64(permits, n, metric.WithAttributes(service, attribute.String("state", state)))
	}
}

// observeHalfOpen exports the requests with which endpoints that had failed were tried, and nothing where none
// are.
func observeHalfOpen(o metric.Observer, requests metric.Int64ObservableCounter, p dispatcher.Status) {
	if p.HalfOpen == (dispatcher.HalfOpenCounts{}) {
		return
	}
	for state, n := range map[string]int64{"sent": p.HalfOpen.Sent, "begun": p.HalfOpen.Begun} {
		o.ObserveInt64(requests, n, metric.WithAttributes(attribute.String("service", p.Service), attribute.String("state", state)))
	}
}

func observeRanks(o metric.Observer, slots metric.Float64ObservableGauge, p dispatcher.Status) {
	for _, r := range p.Ranks {
		put := func(state string, n float64) {
			o.ObserveFloat64(slots, n, metric.WithAttributes(attribute.String("service", p.Service), attribute.Int("rank", r.Rank), attribute.String("state", state)))
		}
		put("demand", r.Demand)
		put("used", float64(r.Used))
		put("reserved", r.Reserved)
		put("lent", r.Lent)
		put("reserved-elsewhere", float64(r.Elsewhere))
	}
}

// logWithheld logs that slots begin or cease to be kept from less urgent requests.
func logWithheld(l zerolog.Logger, service string, slots float64, began bool) {
	if began {
		l.Info().Str("service", service).Float64("slots", math.Round(10*slots)/10).Msg("slots-reserved")
		return
	}
	l.Info().Str("service", service).Msg("slots-released")
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
	i := l.Info().Str("endpoint", e.ID).Str("address", e.Address.String()).Time("started", e.Started).Str("source", string(from))
	if v.Leaving {
		i.Msg("endpoint-leaving")
		return
	}
	i.Dur("pause-ms", v.Pause).Msg("endpoint-paused")
}

// logReplaced logs that the process of an endpoint doesn't leave, unlike the one before it.
func logReplaced(l zerolog.Logger, e observer.Endpoint) {
	l.Info().Str("endpoint", e.ID).Str("address", e.Address.String()).Time("started", e.Started).Msg("endpoint-replaced")
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
