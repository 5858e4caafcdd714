package observer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/watcher"
)

const (
	// readerWait is how long a read at a reader waits for a change. It is short, so that
	// a reader that stopped is noticed soon.
	readerWait = 500 * time.Millisecond
	// readerMargin is the time in which the response of a reader begins after its wait, and the
	// longest pause in it. Readers are in the same failure domain. A large revision takes longer
	// as a whole, and reading it from the platform would take longer still.
	readerMargin = 300 * time.Millisecond
	// otherAttempts is the number of readers of other failure domains that are asked for one
	// read. The platform may turn away those of a whole failure domain and one more.
	otherAttempts = 3
	// readerPause is the pause between two reads at a reader.
	readerPause = 20 * time.Millisecond
	// firstReadPause is the pause between two attempts to get the whole table at the start.
	firstReadPause = 50 * time.Millisecond
)

// errReadersSilent marks the error of a read that the readers used up, so that the platform had less
// time than its response may take. It says nothing of the platform.
var errReadersSilent = errors.New("readers used up the time of the read")

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
	// Others reads changes from the readers of other failure domains, which are asked before the
	// platform; nil if they aren't. The platform sends each record since the last read as it is:
	// if all gateways of a failure domain read a series of configurations there, they fill the link
	// between regions, and with it their readers fall behind further.
	Others func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)
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
	// First reads the whole table from a peer of the failure domain that has it. In a large fleet,
	// a process that doesn't know the table yet asks there until PlatformDelay after its first
	// read. In others, or if First is nil, it reads the platform at once.
	First         func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)
	PlatformDelay func() (delay time.Duration, isLarge bool)
	// FirstOthers reads the whole table from the readers of other failure domains, if that read of
	// the platform fails; it may be nil. In its own failure domain nobody may have the table.
	FirstOthers func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)

	// firstRead is when the first read began.
	firstRead time.Time
	// lastFromReader reports whether the last read succeeded at a reader.
	lastFromReader bool
}

// MaxWait returns the longest time that Read waits, beside the time for a response of the
// platform.
func (s *SharedReader) MaxWait() time.Duration {
	if s.IsShared() {
		d := readerWait + readerMargin + s.SharedWait
		if s.Others != nil && !s.IsReader() {
			d += otherAttempts * readerMargin
		}
		return d
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
	if from == 0 && s.First != nil {
		if _, isLarge := s.PlatformDelay(); isLarge {
			return s.readFirst(ctx)
		}
	}
	if !s.IsShared() {
		return s.Platform(ctx, from, min(wait, s.Wait))
	}
	platformWait := min(wait, s.SharedWait)
	if from == 0 || s.IsReader() {
		return s.Platform(ctx, from, platformWait)
	}
	began := timekeeper.Now()
	c, err := s.readFrom(ctx, s.Readers, from, min(wait, readerWait))
	for n := 0; err != nil && s.Others != nil && n < otherAttempts && !isInterrupted(ctx); n++ {
		c, err = s.readFrom(ctx, s.Others, from, 0)
	}
	if err == nil {
		s.lastFromReader = true
		return c, nil
	}
	if isInterrupted(ctx) {
		return c, err
	}
	asked := timekeeper.Now()
	c, platformErr := s.Platform(ctx, from, platformWait)
	c.Delay = asked.Sub(began)
	if platformErr == nil {
		return c, nil
	}
	err = errors.CombineErrors(platformErr, err)
	if ctx.Err() != nil && timekeeper.Now().Sub(asked) < responseIdleTimeout {
		err = errors.Mark(err, errReadersSilent)
	}
	return c, err
}

// readFirst reads the whole table at the start of the process. If all gateways of a large fleet read
// it from the platform, the copies fill the links between regions and none is complete in time.
func (s *SharedReader) readFirst(ctx context.Context) (connector.Changes, error) {
	if s.firstRead.IsZero() {
		s.firstRead = time.Now()
	}
	for {
		if delay, _ := s.PlatformDelay(); time.Since(s.firstRead) >= delay {
			break
		}
		c, err := s.readFrom(ctx, s.First, 0, 0)
		if err == nil {
			s.lastFromReader = true
			return c, nil
		}
		if sleeper.Sleep(ctx, firstReadPause) != nil {
			return c, err
		}
	}
	c, err := s.readPlatformFirst(ctx)
	for n := 0; err != nil && s.FirstOthers != nil && n < otherAttempts && ctx.Err() == nil; n++ {
		if o, othersErr := s.readFrom(ctx, s.FirstOthers, 0, 0); othersErr == nil {
			s.lastFromReader = true
			return o, nil
		}
	}
	return c, err
}

func (s *SharedReader) readPlatformFirst(ctx context.Context) (connector.Changes, error) {
	ctx, cancel := watcher.WithIdleTimeout(ctx, responseIdleTimeout, responseIdleTimeout)
	defer cancel()
	return s.Platform(ctx, 0, 0)
}

// ReadWhole returns the whole table of at least the given epoch. After the store returned from an
// older copy, copies of a large configuration from the platform would fill the links between
// regions, so a reader is asked first.
func (s *SharedReader) ReadWhole(ctx context.Context, epoch uint64) (connector.Changes, error) {
	s.lastFromReader = false
	if s.IsShared() && !s.IsReader() {
		if c, err := s.readFrom(ctx, s.Readers, 0, 0); err == nil && c.Epoch >= epoch {
			s.lastFromReader = true
			return c, nil
		}
	}
	return s.Platform(ctx, 0, 0)
}

// readFunc reads changes as connector.Table.Read does.
type readFunc = func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)

// readFrom reads from readers and fails if their data is old.
func (s *SharedReader) readFrom(ctx context.Context, read readFunc, from uint64, wait time.Duration) (connector.Changes, error) {
	ctx, cancel := watcher.WithIdleTimeout(ctx, wait+readerMargin, readerMargin)
	defer cancel()
	c, err := read(ctx, from, wait)
	if err == nil && c.Age > s.MaxAge {
		err = errors.Newf("the data of the reader is %s old", c.Age)
	}
	return c, err
}
