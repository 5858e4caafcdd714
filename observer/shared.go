package observer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
)

const (
	// readerWait is how long a read at a reader waits for a change. It is short, so that
	// a reader that stopped is noticed soon.
	readerWait = 500 * time.Millisecond
	// readerMargin is the time for a response of a reader beyond its wait. Readers are in
	// the same failure domain.
	readerMargin = 300 * time.Millisecond
	// readerPause is the pause between two reads at a reader.
	readerPause = 20 * time.Millisecond
)

// SharedReader reads a table through a few readers for each failure domain, so that the
// calls to the platform grow with the failure domains and not with the gateways. A
// process that is a reader reads from the platform. Another one reads from the readers,
// and from the platform if they fail or their data is old. It is used by one Follower;
// its fields are set before the first read.
type SharedReader struct {
	// Platform reads changes from the platform.
	Platform func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)
	// Readers reads changes from the readers.
	Readers func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)
	// IsShared reports whether there are readers. Otherwise each process reads from the
	// platform.
	IsShared func() bool
	// IsReader reports whether this process is a reader.
	IsReader func() bool
	// Wait is how long a read at the platform waits for a change if there are no readers,
	// and SharedWait if there are.
	Wait, SharedWait time.Duration
	// Interval is the pause between two reads at the platform.
	Interval time.Duration
	// MaxAge is the age of the readers' data from which it is old. It exceeds the sum of
	// SharedWait and Interval.
	MaxAge time.Duration

	// lastFromReader reports whether the last read succeeded at a reader.
	lastFromReader bool
}

// MaxWait returns the longest time that Read waits, beside the time for a response of the
// platform.
func (s *SharedReader) MaxWait() time.Duration {
	if s.IsShared() {
		return readerWait + readerMargin + s.SharedWait
	}
	return s.Wait
}

// Pace returns the pause until the next read. A reader sends each change at once, so the
// next read at a reader follows soon.
func (s *SharedReader) Pace() time.Duration {
	if s.lastFromReader {
		return readerPause
	}
	return s.Interval
}

// Read reads changes as connector.Table.Read does; wait is at most MaxWait.
func (s *SharedReader) Read(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
	s.lastFromReader = false
	if !s.IsShared() {
		return s.Platform(ctx, from, min(wait, s.Wait))
	}
	platformWait := min(wait, s.SharedWait)
	if from == 0 || s.IsReader() {
		return s.Platform(ctx, from, platformWait)
	}
	began := timekeeper.Now()
	c, err := s.readFromReader(ctx, from, min(wait, readerWait))
	if err == nil {
		s.lastFromReader = true
		return c, nil
	}
	delay := timekeeper.Now().Sub(began)
	c, platformErr := s.Platform(ctx, from, platformWait)
	c.Delay = delay
	if platformErr != nil {
		return c, errors.CombineErrors(platformErr, err)
	}
	return c, nil
}

// readFromReader reads from a reader and fails if its data is old.
func (s *SharedReader) readFromReader(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readerMargin)
	defer cancel()
	c, err := s.Readers(ctx, from, wait)
	if err == nil && c.Age > s.MaxAge {
		err = errors.Newf("the data of the reader is %s old", c.Age)
	}
	return c, err
}
