package link

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
)

// reopenPause is the time between attempts to listen again after a refusal.
const reopenPause = 10 * time.Millisecond

// Link is the relay. Exported fields are set before the first call. As an
// http.Handler it serves its control interface.
type Link struct {
	// Server holds the address that is relayed; Ready is called with it.
	standin.Server
	// Target is the address to which the link connects.
	Target netip.AddrPort
	// Control is the address of the control interface; unset means 127.0.0.1:0.
	Control netip.AddrPort
	// Start holds the faults in force at the start.
	Start Faults
	// Seed is the seed of corrupted bytes.
	Seed uint64

	once  sync.Once
	mux   *http.ServeMux
	gate  standin.Gate[Faults]
	dice  standin.Dice
	rates [2]atomic.Pointer[rate.Limiter]

	mu    sync.Mutex
	conns map[net.Conn]bool
	// address is the one that is listened on, or invalid before Run.
	address netip.AddrPort

	connections       atomic.Int64
	forward, backward atomic.Int64
}

// Stats counts what passed since the start.
type Stats struct {
	// Connections counts those that reached the target.
	Connections int64 `json:"connections"`
	// Forward and Backward are bytes written to the other side.
	Forward  int64 `json:"bytes-forward"`
	Backward int64 `json:"bytes-backward"`
}

// Stats returns the counters.
func (l *Link) Stats() Stats {
	return Stats{l.connections.Load(), l.forward.Load(), l.backward.Load()}
}

// SetFaults replaces the faults and carries out a cut.
func (l *Link) SetFaults(f Faults) {
	l.once.Do(l.prepare)
	l.setFaults(f)
}

func (l *Link) setFaults(f Faults) {
	for i := range l.rates {
		l.rates[i].Store(standin.NewLimiter(f.BytesPerSecond, standin.ByteBurst, block))
	}
	cut := f.Cut
	f.Cut = false
	l.gate.Set(f)
	if cut {
		l.cut()
	}
}

// ServeHTTP implements http.Handler for the control interface.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.once.Do(l.prepare)
	l.mux.ServeHTTP(w, r)
}

func (l *Link) prepare() {
	l.dice.Seed = l.Seed
	l.conns = map[net.Conn]bool{}
	l.setFaults(l.Start)
	l.mux = http.NewServeMux()
	l.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { standin.Reply(w, http.StatusOK, l.Stats()) })
	standin.HandleFaults(l.mux, l.gate.Get, l.SetFaults)
}

// Run relays and serves the control interface until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	l.once.Do(l.prepare)
	control, err := (&standin.Server{Listen: l.Control}).Open(ctx)
	if err != nil {
		return err
	}
	s := l.Server
	s.Log = s.Log.With().Stringer("control", control.Addr()).Logger()
	s.Ready = func(a netip.AddrPort) {
		l.address = a
		if l.Ready != nil {
			l.Ready(a)
		}
	}
	in, err := s.Open(ctx)
	if err != nil {
		_ = control.Close()
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return standin.ServeOn(ctx, control, l) })
	g.Go(func() error { return l.relay(ctx, in) })
	return g.Wait()
}

// relay accepts connections until ctx ends. While the link refuses, nothing
// listens on its address.
func (l *Link) relay(ctx context.Context, in net.Listener) error {
	var c net.ListenConfig
	var wg sync.WaitGroup
	defer wg.Wait()
	defer l.cut()
	for {
		l.accept(ctx, in, &wg)
		for {
			f, changed := l.gate.Watch()
			if ctx.Err() != nil {
				return nil
			}
			if !f.Refuse {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		for {
			var err error
			if in, err = c.Listen(ctx, "tcp", l.address.String()); err == nil {
				break
			}
			l.Log.Warn().Err(err).Msg("reopen")
			if !standin.Sleep(ctx, reopenPause) {
				return nil
			}
		}
	}
}

// accept relays connections until the link refuses or ctx ends, and closes in.
func (l *Link) accept(ctx context.Context, in net.Listener, wg *sync.WaitGroup) {
	done := make(chan struct{})
	defer close(done)
	wg.Go(func() {
		defer func() { _ = in.Close() }()
		for {
			f, changed := l.gate.Watch()
			if f.Refuse {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			case <-done:
				return
			}
		}
	})
	for {
		a, err := in.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Log.Warn().Err(err).Msg("accept")
			if !standin.Sleep(ctx, reopenPause) {
				return
			}
			continue
		}
		wg.Go(func() { l.connect(ctx, a) })
	}
}

// connect relays one connection until both directions have ended.
func (l *Link) connect(ctx context.Context, a net.Conn) {
	defer func() { _ = a.Close() }()
	var d net.Dialer
	b, err := d.DialContext(ctx, "tcp", l.Target.String())
	if err != nil {
		l.Log.Debug().Err(&standin.Error{Op: "connect to target", Kind: classifier.Unavailable, Err: err}).Msg("connect")
		return
	}
	defer func() { _ = b.Close() }()
	l.connections.Add(1)
	l.keep(a, b)
	defer l.drop(a, b)
	if l.gate.Get().Refuse {
		// The connection came before the port was closed and is not among those
		// that a cut has closed.
		reset(a)
		reset(b)
		return
	}
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past ends reads and writes that wait.
		_ = a.SetDeadline(time.Unix(1, 0))
		_ = b.SetDeadline(time.Unix(1, 0))
	})
	defer stop()
	l.pass(ctx, g, pipe{from: a, to: b, direction: Forward, sent: &l.forward, rate: &l.rates[0]})
	l.pass(ctx, g, pipe{from: b, to: a, direction: Backward, sent: &l.backward, rate: &l.rates[1]})
	if g.Wait() != nil {
		reset(a)
		reset(b)
	}
}

func (l *Link) keep(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.conns[c] = true
	}
}

func (l *Link) drop(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.conns, c)
	}
}

// cut resets all open connections. Both sides see an error and not an end in order.
func (l *Link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
