package observer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

const (
	// readerWait is how long a read at a reader waits for a change. It is short, so that
	// a reader that stopped is noticed soon.
	readerWait = 500 * time.Millisecond
	// readerTimeout bounds a read at a reader, which is in the same failure domain.
	readerTimeout = readerWait + 300*time.Millisecond
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
	// IsReader reports whether this process is a reader.
	IsReader func() bool
	// MaxAge is the age of the readers' data from which it is old.
	MaxAge time.Duration

	// lastFromReader reports whether the last read succeeded at a reader.
	lastFromReader bool
}

// MaxReadTime is the time that a Follower has to allow for a read.
const MaxReadTime = readerTimeout

// Pace returns the pause until the next read, where interval is the pause between two
// reads at the platform. A reader sends each change at once, so the next read at a reader
// follows soon.
func (s *SharedReader) Pace(interval time.Duration) time.Duration {
	if s.lastFromReader {
		return readerPause
	}
	return interval
}

// Read reads changes as connector.Table.Read does. It ignores the wait of a Follower and
// uses its own: none at the platform, readerWait at a reader.
func (s *SharedReader) Read(ctx context.Context, from uint64, _ time.Duration) (connector.Changes, error) {
	s.lastFromReader = false
	if from == 0 || s.IsReader() {
		return s.Platform(ctx, from, 0)
	}
	c, err := s.readFromReader(ctx, from)
	if err == nil {
		s.lastFromReader = true
		return c, nil
	}
	c, platformErr := s.Platform(ctx, from, 0)
	if platformErr != nil {
		return c, errors.CombineErrors(platformErr, err)
	}
	return c, nil
}

// readFromReader reads from a reader and fails if its data is old.
func (s *SharedReader) readFromReader(ctx context.Context, from uint64) (connector.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	c, err := s.Readers(ctx, from, readerWait)
	if err == nil && c.Age > s.MaxAge {
		err = errors.Newf("the data of the reader is %s old", c.Age)
	}
	return c, err
}
