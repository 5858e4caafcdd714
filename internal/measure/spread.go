package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
)

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name: "spread", Usage: "time from the append of a change until all agents have applied it",
		Flags: []cli.Flag{&cli.IntFlag{Name: "agents-per-gateway", Value: 100}},
		Action: func(ctx context.Context, c *cli.Command) error {
			w := c.Root().Writer
			_, _ = fmt.Fprintf(w, "%7s %8s %6s | %7s %9s %9s %9s\n", "agents", "gateways", "rate", "changes", "p50 ms", "p99 ms", "max ms")
			for _, n := range []int{10, 100, 400, 1000} {
				for _, r := range []float64{1, 10, 50, 100} {
					if err := measureSpread(ctx, c, n, r, w); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
}

// arrivals notes when each offset has reached all agents.
type arrivals struct {
	agents int

	mu    sync.Mutex
	count map[uint64]int
	last  map[uint64]time.Time
}

// follow counts the offsets of one agent until the context ends.
func (a *arrivals) follow(ctx context.Context, r *follower.Replica) {
	for seen := uint64(0); ; {
		changed := r.Changed()
		n := r.Current().Offset
		now := time.Now()
		a.mu.Lock()
		for ; seen < n; seen++ {
			if a.count[seen+1]++; a.count[seen+1] == a.agents {
				a.last[seen+1] = now
			}
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (a *arrivals) at(offset uint64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.last[offset]
	return t, ok
}

func measureSpread(ctx context.Context, c *cli.Command, agents int, rate float64, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newPlatform(ctx)
	if err != nil {
		return err
	}
	gateways := (agents-1)/c.Int("agents-per-gateway") + 1
	var relays []netip.AddrPort
	for i := range gateways {
		r := &follower.Replica{Log: zerolog.Nop()}
		f := &follower.Follower{Log: connector.NewLog(p.logURL, &http.Client{}), Replica: r}
		go func() { _ = f.Run(ctx) }()
		n, err := p.newNode(ctx, fmt.Sprintf("gateway-%d", i), domainName, r, 0)
		if err != nil {
			return err
		}
		relays = append(relays, n.address)
	}
	a := &arrivals{agents: agents, count: make(map[uint64]int), last: make(map[uint64]time.Time)}
	for i := range agents {
		r := p.attach(ctx, fmt.Sprintf("agent-%04d", i), domainName, relays[i%gateways])
		go a.follow(ctx, r)
	}
	if err := a.await(ctx, 1); err != nil {
		return err
	}
	begun := make(map[uint64]time.Time)
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	n := max(10, int(rate*c.Duration("span").Seconds()))
	for i := range n {
		begun[uint64(i+2)] = time.Now()
		if err := p.append(ctx, putAccount(fmt.Sprintf("account-%d", i%10), float64(100+i%100))); err != nil {
			return err
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := a.await(ctx, uint64(n+1)); err != nil {
		return err
	}
	var took []time.Duration
	for o, t := range begun {
		if e, ok := a.at(o); ok {
			took = append(took, e.Sub(t))
		}
	}
	slices.Sort(took)
	ms := func(i int) float64 { return float64(took[i].Microseconds()) / 1000 }
	_, err = fmt.Fprintf(out, "%7d %8d %6.0f | %7d %9.1f %9.1f %9.1f\n", agents, gateways, rate,
		len(took), ms(len(took)/2), ms(len(took)*99/100), ms(len(took)-1))
	return err
}

// await waits until all agents have applied the offset.
func (a *arrivals) await(ctx context.Context, offset uint64) error {
	for range 3000 {
		if _, ok := a.at(offset); ok {
			return nil
		}
		if err := sleeper.Sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return errors.Newf("offset %d did not reach all agents in 30 s", offset)
}
