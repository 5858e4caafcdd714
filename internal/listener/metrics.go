package listener

import (
	"context"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sys/unix"
)

// NewBudget returns the budget of a process that may open the given number of file descriptors on
// an instance with the given bytes of memory. 0 stands for the soft RLIMIT_NOFILE of the process,
// and for memory that isn't known.
func NewBudget(files int, bytes int64, l zerolog.Logger) (*Budget, error) {
	n, err := descriptorLimit(files)
	return &Budget{Descriptors: n, Memory: bytes, Log: l}, err
}

// descriptorLimit returns the number of file descriptors, or the limit of the process if it is 0.
func descriptorLimit(files int) (int, error) {
	if files > 0 {
		return files, nil
	}
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0, errors.Wrap(err, "read the file descriptor limit")
	}
	return int(min(l.Cur, math.MaxInt32)), nil
}

// Register adds the budget's metrics to a meter.
func (b *Budget) Register(m metric.Meter) error {
	open, err := m.Int64ObservableGauge("eelgrass.connections.open", metric.WithDescription("Open connections that others made."))
	held, e := m.Int64ObservableGauge("eelgrass.connections.held", metric.WithUnit("By"), metric.WithDescription("Estimated memory of these connections."))
	err = errors.CombineErrors(err, e)
	closed, e := m.Int64ObservableCounter("eelgrass.connections.closed",
		metric.WithDescription("Connections that were refused or closed because a limit was reached, by class and reason."))
	err = errors.CombineErrors(err, e)
	_, e = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		connections, bytes := b.Used()
		o.ObserveInt64(open, connections)
		o.ObserveInt64(held, bytes)
		for c, n := range b.Closed() {
			o.ObserveInt64(closed, int64(n), metric.WithAttributes(attribute.String("class", c.Class.String()), attribute.String("reason", c.Reason)))
		}
		return nil
	}, open, held, closed)
	return errors.Wrap(errors.CombineErrors(err, e), "make metrics of connections")
}
