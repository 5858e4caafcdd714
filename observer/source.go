package observer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/watcher"
)

// Source is a source from which a table can be read.
type Source struct {
	// Name is used in log lines.
	Name string
	// Read reads changes as connector.Table.Read does.
	Read func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)
	// ReadWhole returns the whole table of at least the given epoch; nil means that Read does.
	ReadWhole func(ctx context.Context, epoch uint64) (connector.Changes, error)
	// ReadAny returns the whole table of any process; nil if other processes aren't read.
	ReadAny func(ctx context.Context) (connector.Changes, error)
	// Peers reports whether other processes are read, whose failure is no outage of the
	// platform.
	Peers bool
	// LimitsSilence reports whether Read itself ends attempts that get no data, so that the
	// Follower doesn't have to while FirstTimeout applies.
	LimitsSilence bool
}

func (s Source) whole(ctx context.Context, epoch uint64) (connector.Changes, error) {
	if s.ReadWhole != nil {
		return s.ReadWhole(ctx, epoch)
	}
	return s.Read(ctx, 0, 0)
}

func (f *Follower) read(ctx context.Context, s Source, wait time.Duration) (connector.Changes, error) {
	limit, silence := responseTimeout, responseIdleTimeout
	if f.FirstTimeout != nil && f.Table.Next() == 0 {
		if d := f.FirstTimeout(); d > 0 {
			limit = d
			if s.LimitsSilence {
				silence = d
			}
		}
	}
	whole, cancel := context.WithTimeout(ctx, wait+limit)
	defer cancel()
	ctx, stop := watcher.WithIdleTimeout(whole, wait+silence, silence)
	defer stop()
	c, err := f.readEpoch(ctx, s, wait)
	switch {
	case err == nil:
		return c, nil
	case errors.Is(whole.Err(), context.DeadlineExceeded):
		err = errors.Mark(errors.Wrap(err, errResponseTimeout.Error()), errResponseTimeout)
	case errors.Is(context.Cause(ctx), watcher.ErrIdleTimeout):
		err = errors.Wrap(err, watcher.ErrIdleTimeout.Error())
	}
	if ctx.Err() != nil {
		err = errors.Mark(err, errNoResponse)
	}
	return c, err
}

// confirmEpoch returns an error if a result of the platform is of a much higher epoch than the table
// and the response before wasn't of the same one. After a single false one, no other response would
// be used until the process ends.
func (f *Follower) confirmEpoch(s Source, c connector.Changes) error {
	have := f.Table.Epoch()
	if s.Peers {
		return nil
	}
	last := f.lastEpoch
	f.lastEpoch = c.Epoch
	if !isFarAbove(c.Epoch, have) || last == c.Epoch {
		return nil
	}
	return errors.Newf("epoch %d, have %d; a second response has to confirm it", c.Epoch, have)
}

// isFarAbove reports whether an epoch is above another one by more than maxEpochRise.
func isFarAbove(epoch, than uint64) bool { return epoch > than && epoch-than > maxEpochRise }

// readEpoch reads changes, and the whole table if they are of a higher epoch.
func (f *Follower) readEpoch(ctx context.Context, s Source, wait time.Duration) (connector.Changes, error) {
	c, err := s.Read(ctx, f.Table.Next(), wait)
	if err != nil {
		return c, err
	}
	if err := f.confirmEpoch(s, c); err != nil {
		return c, err
	}
	err = f.Table.check(c)
	if errors.Is(err, errNotWhole) {
		if c, err = s.whole(ctx, c.Epoch); err == nil {
			if err = f.confirmEpoch(s, c); err == nil {
				err = f.Table.check(c)
			}
		}
	}
	return c, err
}
