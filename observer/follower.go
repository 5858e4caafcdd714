package observer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/watcher"
)

// Times of a Follower.
const (
	// answerMargin is the time beyond the asked wait in which an answer has to
	// begin, and the longest pause in it. A store that is 60 times slower than its
	// usual 4 ms still keeps it.
	answerMargin = 700 * time.Millisecond
	// answerTime bounds a whole answer beyond the asked wait. A large configuration
	// over a link that is in use takes a second; after that a peer may be nearer.
	answerTime = 2 * time.Second
	// peerWait bounds a wait at a source other than the first, so that the
	// sources take turns while the first is away.
	peerWait = 300 * time.Millisecond
	// firstPause is how long the first source is left alone after a failure.
	firstPause = 500 * time.Millisecond
	// emptyPause is the pause after an answer that the table is empty, as it is
	// before the platform's first record; such a read doesn't wait.
	emptyPause = 500 * time.Millisecond
	// failurePause is the pause after a round in which no source answered.
	failurePause = 150 * time.Millisecond
)

// errSlow marks the failure of a read whose answer came, but too slowly.
var errSlow = errors.New("the answer takes too long")

// Source is a place from which a table can be read.
type Source struct {
	// Name is used in log lines.
	Name string
	// Read has the meaning of connector.Table.Read.
	Read func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error)
}

// Follower fills a table.
type Follower struct {
	// Name of the table, for log lines.
	Name  string
	Table *Table
	// Sources are asked in order until one answers; at least one.
	Sources []Source
	// Wait is how long the first source may hold a read until there is a change.
	Wait time.Duration
	// Pace is the pause after each answer.
	Pace time.Duration
	// Changed is called with the fresh items of each answer, also when there are
	// none; whole tells that the first source gave them.
	Changed func(fresh []connector.Item, first bool)
	// Reconnect drops the kept connections to the first source; it is called before
	// the first failure counts, and the source is asked once more. It may be nil.
	Reconnect func()
	// Failed is called when the first source didn't answer; it may be nil.
	Failed func()
	Log    zerolog.Logger

	failedAt time.Time
	// lost is set while the first source doesn't answer.
	lost bool
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := f.Pace
		switch ok := f.round(ctx); {
		case !ok:
			pause = failurePause
		case f.Table.Next() == 0:
			pause = max(pause, emptyPause)
		}
		_ = sleeper.Sleep(ctx, pause)
	}
	return nil
}

// round asks the sources in order and reports whether one answered.
func (f *Follower) round(ctx context.Context) bool {
	for i, s := range f.Sources {
		if i == 0 && len(f.Sources) > 1 && time.Since(f.failedAt) < firstPause {
			continue
		}
		wait := f.Wait
		if i > 0 {
			wait = min(wait, peerWait)
		} else if f.lost {
			wait = 0
		}
		c, err := f.read(ctx, s, wait)
		if i == 0 && err != nil && !errors.Is(err, errSlow) && !f.lost && f.Reconnect != nil && ctx.Err() == nil {
			// The connection may have gone silent while new ones work. One that is
			// slow is no better when it is new.
			f.Reconnect()
			c, err = f.read(ctx, s, 0)
		}
		if ctx.Err() != nil {
			return false
		}
		if i == 0 {
			f.note(s, err)
		}
		if err == nil {
			f.Changed(f.Table.Apply(c), i == 0)
			return true
		}
	}
	return false
}

func (f *Follower) read(ctx context.Context, s Source, wait time.Duration) (connector.Changes, error) {
	whole, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	ctx, stop := watcher.With(whole, wait+answerMargin, answerMargin)
	defer stop()
	c, err := s.Read(ctx, f.Table.Next(), wait)
	switch {
	case err == nil:
	case errors.Is(whole.Err(), context.DeadlineExceeded):
		err = errors.Mark(errors.Wrap(err, errSlow.Error()), errSlow)
	case errors.Is(context.Cause(ctx), watcher.ErrSilent):
		err = errors.Wrap(err, watcher.ErrSilent.Error())
	}
	return c, err
}

// note logs when the first source is lost or regained.
func (f *Follower) note(s Source, err error) {
	switch {
	case err != nil:
		f.failedAt = time.Now()
		if f.Failed != nil {
			f.Failed()
		}
		if !f.lost {
			f.Log.Warn().Str("table", f.Name).Str("source", s.Name).Err(err).Msg("source-lost")
		}
		f.lost = true
	case f.lost:
		f.Log.Info().Str("table", f.Name).Str("source", s.Name).Msg("source-regained")
		f.lost = false
	}
}
