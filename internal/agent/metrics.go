package agent

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"

	"github.com/eelgrassdrift/eelgrassdrift/guarder"
)

// registerPause registers metrics of how a return of the log from an older copy affects calls with a key.
func registerPause(m metric.Meter, pause func() guarder.Pause) error {
	epoch, err := m.Int64ObservableGauge("eelgrass.log.epoch", metric.WithDescription("Epoch of the log; 0 if it isn't known."))
	left, e := m.Float64ObservableGauge("eelgrass.guard.pause", metric.WithUnit("s"),
		metric.WithDescription("Time for which no call with an idempotency key begins because the log may lack intents."))
	err = errors.CombineErrors(err, e)
	refused, e := m.Int64ObservableCounter("eelgrass.guard.pause.refused", metric.WithDescription("Calls that were refused as not run because of that pause."))
	err = errors.CombineErrors(err, e)
	_, e = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		p := pause()
		o.ObserveInt64(epoch, int64(p.Epoch))
		o.ObserveFloat64(left, p.Left.Seconds())
		o.ObserveInt64(refused, p.Refused)
		return nil
	}, epoch, left, refused)
	return errors.Wrap(errors.CombineErrors(err, e), "make metrics of the guard")
}
