package link

import (
	"context"
	"io"
	"math"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
)

const (
	// block is the number of bytes that are relayed at once.
	block = 16 << 10
	// window bounds the blocks under way in one direction of a connection: 1 MiB.
	// The sender waits when it is full, as with a full TCP window.
	window = 64
)

// pipe is one direction of a connection.
type pipe struct {
	from, to  net.Conn
	direction Direction
	sent      *atomic.Int64
	rate      *atomic.Pointer[rate.Limiter]
}

// parcel is a block with the time at which it arrives.
type parcel struct {
	due time.Time
	b   []byte
}

// pass begins to relay one direction. An error ends both directions, an end in
// order only this one.
func (l *Link) pass(ctx context.Context, g *errgroup.Group, p pipe) {
	c := make(chan parcel, window)
	g.Go(func() error { return l.receive(ctx, p, c) })
	g.Go(func() error { return l.deliver(ctx, p, c) })
}

// receive closes c at an end in order only. After an error the group ends ctx; a
// closed channel would be seen before that and passed on as an end in order.
func (l *Link) receive(ctx context.Context, p pipe, c chan<- parcel) error {
	b := make([]byte, block)
	for {
		n, err := p.from.Read(b)
		if n > 0 {
			x := parcel{time.Now().Add(l.gate.Get().Delay.Std()), slices.Clone(b[:n])}
			select {
			case c <- x:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if errors.Is(err, io.EOF) {
			close(c)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (l *Link) deliver(ctx context.Context, p pipe, c <-chan parcel) error {
	for {
		var x parcel
		var ok bool
		select {
		case x, ok = <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !ok {
			break
		}
		if !standin.Sleep(ctx, time.Until(x.due)) {
			return ctx.Err()
		}
		if r := p.rate.Load(); r != nil {
			if err := r.WaitN(ctx, len(x.b)); err != nil {
				return err
			}
		}
		f, err := l.flow(ctx, p.direction)
		if err != nil {
			return err
		}
		l.corrupt(x.b, f.Corrupt)
		// Counted before the write, so that a reader that has the last byte finds
		// it in the counter.
		p.sent.Add(int64(len(x.b)))
		if n, err := p.to.Write(x.b); err != nil {
			p.sent.Add(int64(n - len(x.b)))
			return err
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if _, err := l.flow(ctx, p.direction); err != nil {
		return err
	}
	if t, ok := p.to.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// flow waits until the direction is not stalled and returns the faults.
func (l *Link) flow(ctx context.Context, d Direction) (Faults, error) {
	for {
		f, changed := l.gate.Watch()
		if !f.Stall.covers(d) {
			return f, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return f, ctx.Err()
		}
	}
}

// corrupt changes one bit in the given share of bytes. It draws the distance to
// the next changed byte, which takes one draw for each change and not for each byte.
func (l *Link) corrupt(b []byte, share float64) {
	if share <= 0 {
		return
	}
	for i := l.skip(share); i < len(b); i += 1 + l.skip(share) {
		b[i] ^= 1 << l.dice.Below(8)
	}
}

func (l *Link) skip(share float64) int {
	if share >= 1 {
		return 0
	}
	return int(min(math.MaxInt32, math.Log(1-l.dice.Float())/math.Log(1-share)))
}
