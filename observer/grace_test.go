package observer_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// readSecond lets a Follower read until the item with offset 2 arrives and returns the
// result of that read.
func readSecond(t *testing.T, f *observer.Follower) observer.Update {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var last observer.Update
	f.Name, f.Log, f.Table = "t", zerolog.Nop(), new(observer.Table)
	f.Changed = func(u observer.Update) {
		if len(u.Fresh) > 0 && u.Fresh[0].Offset >= 2 {
			last = u
			cancel()
		}
	}
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if last.Fresh == nil {
		t.Fatal("the item did not arrive")
	}
	return last
}

func items(offset uint64) connector.Changes {
	return connector.Changes{Items: []connector.Item{value("m", "2", offset)}, Next: offset + 1}
}

// A process that was paused while a record was written must not date the record after
// the pause. A gateway that was frozen sent requests to engines of an older version for
// as much longer than the version allows.
func TestRecordWrittenInPause(t *testing.T) {
	pauseStart := timekeeper.Now()
	reads := 0
	f := &observer.Follower{
		Sources: []observer.Source{{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
			reads++
			return items(uint64(reads)), nil
		}}},
		Earliest: func(time.Time) time.Time { return pauseStart },
	}
	if u := readSecond(t, f); !u.After.Equal(pauseStart) {
		t.Errorf("dated %s after the start of the pause, want 0", u.After.Sub(pauseStart))
	}
}

// outage returns a source whose reads succeed once, then fail for the given time, and
// then return the next item.
func outage(last *time.Time, d time.Duration) observer.Source {
	reads := 0
	return observer.Source{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
		reads++
		switch {
		case reads == 1:
			*last = timekeeper.Now()
			return items(1), nil
		case timekeeper.Now().Sub(*last) < d:
			return connector.Changes{}, errors.New("away")
		}
		return items(2), nil
	}}
}

// A record that arrives after an outage of the platform is dated by its end: the time in
// which an older version may be used starts anew. Dated by the last read before it, the
// older version was refused at once and nothing was served for four seconds.
func TestRecordWrittenInOutage(t *testing.T) {
	var last time.Time
	f := &observer.Follower{
		Sources:  []observer.Source{outage(&last, time.Second)},
		Earliest: func(time.Time) time.Time { return timekeeper.Now() },
	}
	if d := readSecond(t, f).After.Sub(last); d < 500*time.Millisecond || d > 1100*time.Millisecond {
		t.Errorf("dated %s after the last read before the outage, want about 1 s", d)
	}
}

// Reads that time out at the platform and at the peers tell of a fault of the own process or its
// link, such as a full link, which extends no grace period; only what others confirm is an outage.
func TestRecordWrittenWhileAllSourcesFail(t *testing.T) {
	timeout := &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}
	for _, c := range []struct {
		name           string
		platform, peer error
		low, high      time.Duration
	}{
		{"peers fail", timeout, timeout, 0, 300 * time.Millisecond},
		{"peers respond", timeout, nil, 400 * time.Millisecond, 1100 * time.Millisecond},
		{"platform refuses", syscall.ECONNREFUSED, timeout, 400 * time.Millisecond, 1100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var last time.Time
			platform := outage(&last, time.Second)
			read := platform.Read
			platform.Read = func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
				v, err := read(ctx, from, wait)
				if err != nil {
					err = c.platform
				}
				return v, err
			}
			f := &observer.Follower{
				Sources: []observer.Source{platform, {Name: "peers", Peers: true, Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
					return connector.Changes{Next: 2, Age: timekeeper.Now().Sub(last)}, c.peer
				}}},
				Earliest: func(time.Time) time.Time { return timekeeper.Now() },
			}
			if d := readSecond(t, f).After.Sub(last); d < c.low || d > c.high {
				t.Errorf("dated %s after the last good read, want %s to %s", d, c.low, c.high)
			}
		})
	}
}

// Reads that readers of the table use up say nothing of the platform, which isn't asked in time: a
// gateway that had been paused dated a version by such a read and used the older one for 2.4 s too long.
func TestRecordWrittenBehindSilentReaders(t *testing.T) {
	var last time.Time
	reads := 0
	silent := func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
		<-ctx.Done()
		return connector.Changes{}, context.Cause(ctx)
	}
	shared := &observer.SharedReader{
		IsShared: func() bool { return true }, IsReader: func() bool { return false },
		Interval: 100 * time.Millisecond, MaxAge: time.Second, Others: silent,
		Readers: silent,
		Platform: func(ctx context.Context, _ uint64, _ time.Duration) (connector.Changes, error) {
			if reads++; reads == 1 {
				last = timekeeper.Now()
				return items(1), nil
			}
			select {
			case <-time.After(50 * time.Millisecond):
				return items(2), nil
			case <-ctx.Done():
				return connector.Changes{}, context.Cause(ctx)
			}
		},
	}
	f := &observer.Follower{
		Sources: []observer.Source{{Name: "platform", Read: shared.Read}, {Name: "peers", Peers: true, Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
			c := items(2)
			c.Age = 10 * time.Millisecond
			return c, nil
		}}},
		Earliest: func(time.Time) time.Time { return timekeeper.Now() },
	}
	if d := readSecond(t, f).After.Sub(last); d > 300*time.Millisecond {
		t.Errorf("dated %s after the last good read, want 0", d)
	}
}

// The failure of a peer is no outage of the platform: an agent whose gateway was frozen dated a
// version that it then read from the platform by the failed read, not by the last good one.
func TestRecordWrittenWhilePeerFails(t *testing.T) {
	var last time.Time
	peers := outage(&last, time.Minute)
	peers.Peers = true
	f := &observer.Follower{
		Sources: []observer.Source{peers, {Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
			return items(2), nil
		}}},
		Pace:     600 * time.Millisecond,
		Earliest: func(time.Time) time.Time { return timekeeper.Now() },
	}
	if d := readSecond(t, f).After.Sub(last); d > 300*time.Millisecond {
		t.Errorf("dated %s after the last good read, want 0", d)
	}
}

// Reads that fail because the process was paused are no outage: the record is dated by
// the start of the pause.
func TestReadsFailAfterPause(t *testing.T) {
	var last time.Time
	f := &observer.Follower{
		Sources:  []observer.Source{outage(&last, time.Second)},
		Earliest: func(time.Time) time.Time { return last.Add(100 * time.Millisecond) },
	}
	if d := readSecond(t, f).After.Sub(last); d != 100*time.Millisecond {
		t.Errorf("dated %s after the last read before the pause, want 100 ms", d)
	}
}

// A record that arrives with a read that began late may have been written right after
// the read before.
func TestRecordWrittenBetweenReads(t *testing.T) {
	reads := 0
	f := &observer.Follower{
		Sources: []observer.Source{{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
			reads++
			return items(uint64(reads)), nil
		}}},
		Pace:     time.Second,
		Earliest: func(time.Time) time.Time { return timekeeper.Now() },
	}
	if u := readSecond(t, f); timekeeper.Now().Sub(u.After) < 900*time.Millisecond {
		t.Errorf("dated %s ago, want the time of the read before", timekeeper.Now().Sub(u.After))
	}
}

// A record for which a read has waited was written when it arrived. Dating it earlier
// would take time from each rollout of a version.
func TestRecordThatWasAwaited(t *testing.T) {
	reads := 0
	f := &observer.Follower{
		Sources: []observer.Source{{Name: "platform", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
			if reads++; reads > 1 {
				time.Sleep(600 * time.Millisecond)
			}
			return items(uint64(reads)), nil
		}}},
		Earliest: func(time.Time) time.Time { return timekeeper.Now() },
	}
	u := readSecond(t, f)
	if d := timekeeper.Now().Sub(u.After); d > 300*time.Millisecond {
		t.Errorf("dated %s before its arrival, want 0", d)
	}
}

// The grace period of a version must end before its time when the process learned of it
// late.
func TestGraceOfLateVersion(t *testing.T) {
	const grace = 7 * time.Second
	c := newStateWithClock()
	c.ApplyOperator([]connector.Item{value("m", "1", 1)}, time.Time{})
	c.ApplyOperator([]connector.Item{value("m", "2", 2)}, c.now.Add(-3500*time.Millisecond))
	c.now = c.now.Add(3400 * time.Millisecond)
	if n := c.Target("m", grace); n.Floor != 1 {
		t.Errorf("6.9 s after the version: floor %d, want 1", n.Floor)
	}
	c.now = c.now.Add(200 * time.Millisecond)
	if n := c.Target("m", grace); n.Floor != 2 {
		t.Errorf("7.1 s after the version: floor %d, want 2", n.Floor)
	}
}

// Versions that were replaced before a paused process could read them count from the start of
// its pause. Otherwise the first version was used until the grace period of the third one ended.
func TestGraceOfMissedVersion(t *testing.T) {
	const grace = 9 * time.Second
	for _, named := range []bool{false, true} {
		c := newStateWithClock()
		if named {
			c.ApplyOperator([]connector.Item{value("m", "1", 1)}, time.Time{})
		}
		paused := c.now
		c.now = c.now.Add(5 * time.Second)
		c.ApplyUpdate(observer.Update{Fresh: []connector.Item{value("m", "3", 3)}, After: c.now, Covered: paused})
		c.now = paused.Add(grace - time.Millisecond)
		if n := c.Target("m", grace); n.Floor > 1 {
			t.Errorf("before the grace period of the missed version ends: floor %d", n.Floor)
		}
		c.now = paused.Add(grace)
		if n := c.Target("m", grace); n.Floor != 2 || n.Version != 3 {
			t.Errorf("after it: floor %d, want 2, target %d, want 3", n.Floor, n.Version)
		}
	}
}

// A read tells the time that the table covered before, also where its items are dated later.
func TestCoveredBeforeLateRead(t *testing.T) {
	var first time.Time
	reads := 0
	f := &observer.Follower{
		Sources: []observer.Source{{Name: "peers", Read: func(context.Context, uint64, time.Duration) (connector.Changes, error) {
			if reads++; reads == 1 {
				first = timekeeper.Now()
			} else {
				time.Sleep(600 * time.Millisecond)
			}
			c := items(uint64(reads))
			c.Written = time.Millisecond
			return c, nil
		}}},
		Earliest: func(time.Time) time.Time { return timekeeper.Now() },
	}
	u := readSecond(t, f)
	if u.Covered.Before(first) || u.Covered.Sub(first) > 300*time.Millisecond || u.After.Sub(first) < 500*time.Millisecond {
		t.Errorf("covered %s, dated %s after the first read, want 0 and 600 ms", u.Covered.Sub(first), u.After.Sub(first))
	}
}
