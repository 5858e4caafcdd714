package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	serviceName   = "booking"
	servesService = "service/" + serviceName
	// writers is the number of agents that append intents: a service of three
	// replicas has two beside the one under measurement.
	writers = 2
	// callsAtOnce bounds the calls of one writer.
	callsAtOnce = 256
	// keysPerAppend keeps an append of keys below the bound of the log.
	keysPerAppend = 256
)

func intentsCommand() *cli.Command {
	return &cli.Command{
		Name: "intents", Usage: "what an agent's guard uses to read the intents of other agents",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "rates", Value: []int{0, 10, 100, 500, 1000}, Usage: "intents a second"},
			&cli.IntSliceFlag{Name: "keys", Value: []int{1000, 10_000, 50_000, 200_000}, Usage: "keys in the table"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			w := c.Root().Writer
			_, _ = fmt.Fprintf(w, "%8s %8s %9s %9s | %7s %8s %8s %11s %9s\n", "keys", "rate", "intents/s", "appends/s", "% core", "MB", "anon MB", "received/s", "sent/s")
			for _, r := range c.IntSlice("rates") {
				if err := measureIntents(ctx, c, 0, r, w); err != nil {
					return err
				}
			}
			for _, n := range c.IntSlice("keys") {
				if err := measureIntents(ctx, c, n, 0, w); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func measureIntents(ctx context.Context, c *cli.Command, keys, rate int, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newPlatform(ctx)
	if err != nil {
		return err
	}
	if err := p.append(ctx, recorder.Change{Kind: recorder.PutService, Service: &recorder.Service{
		Name: serviceName, Prefix: "/booking/", Timeout: recorder.Duration(10 * time.Second), KeyWindow: recorder.Duration(24 * time.Hour),
	}}); err != nil {
		return err
	}
	if err := p.preload(ctx, keys); err != nil {
		return err
	}
	r := &follower.Replica{Log: zerolog.Nop()}
	f := &follower.Follower{Log: connector.NewLog(p.logURL, &http.Client{}), Replica: r}
	go func() { _ = f.Run(ctx) }()
	n, err := p.newNode(ctx, "gateway-0", domainName, r, 0)
	if err != nil {
		return err
	}
	target, err := serve(ctx, http.NotFoundHandler(), nil)
	if err != nil {
		return err
	}
	a, err := startAgent(ctx, c.String("bin"), p, target, target, n.address, "--serves", servesService)
	if err != nil {
		return err
	}
	defer a.stop()
	var done sync.WaitGroup
	defer done.Wait()
	defer stop()
	var calls atomic.Int64
	for i := range writers {
		g, err := p.startGuard(ctx, recorder.Name(fmt.Sprintf("writer-%d", i)))
		if err != nil {
			return err
		}
		done.Go(func() { writeIntents(ctx, g, float64(rate)/writers, &calls) })
	}
	if err := sleeper.Sleep(ctx, c.Duration("settle")); err != nil {
		return err
	}
	before, begun, s := calls.Load(), time.Now(), p.log.Stats()
	u, err := a.measure(ctx, 0, c.Duration("span"))
	if err != nil {
		return err
	}
	d, e := time.Since(begun).Seconds(), p.log.Stats()
	_, err = fmt.Fprintf(out, "%8d %8d %9.1f %9.1f | %7.2f %8.1f %8.1f %11.0f %9.0f\n", keys, rate, float64(calls.Load()-before)/d,
		float64(e.Appends-s.Appends)/d, 100*u.core, float64(u.resident)/1e6, float64(u.anonymous)/1e6, u.received, u.sent)
	return err
}

// startGuard runs the guard of a further agent and waits until it is ready.
func (p *platform) startGuard(ctx context.Context, name recorder.Name) (*guarder.Guard, error) {
	g := &guarder.Guard{
		Log:     connector.NewLog(p.logURL, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}),
		Service: serviceName, Instance: name, Address: netip.MustParseAddrPort("127.0.0.1:9"), BootID: uuid.NewString(),
		Window: 24 * time.Hour, Retention: 7 * 24 * time.Hour, Logger: zerolog.Nop(),
	}
	go func() { _ = g.Run(ctx) }()
	for range 600 {
		if g.Ready() {
			return g, nil
		}
		if err := sleeper.Sleep(ctx, 50*time.Millisecond); err != nil {
			return nil, err
		}
	}
	return nil, errors.Newf("the guard of %s is not ready after 30 s", name)
}

// writeIntents makes guarded calls at a rate until the context ends.
func writeIntents(ctx context.Context, g *guarder.Guard, rate float64, calls *atomic.Int64) {
	if rate <= 0 {
		return
	}
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	places := make(chan struct{}, callsAtOnce)
	var work sync.WaitGroup
	defer work.Wait()
	answer := func(context.Context) (guarder.Answer, error) { return guarder.Answer{Status: http.StatusOK}, nil }
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			return
		}
		work.Go(func() {
			defer func() { <-places }()
			k := uuid.NewString()
			if _, err := g.Do(ctx, guarder.Call{Account: "members", Key: k, Request: recorder.DigestOf([]byte(k))}, answer); err == nil {
				calls.Add(1)
			}
		})
	}
}

// preload appends intents with new keys of one agent that is gone. The form is
// that of docs/design.md, Non-idempotent calls.
func (p *platform) preload(ctx context.Context, keys int) error {
	boot := uuid.NewString()
	for n := 0; n < keys; {
		var bodies [][]byte
		for ; n < keys && len(bodies) < keysPerAppend; n++ {
			d := recorder.DigestOf(fmt.Appendf(nil, "key %d", n))
			b, err := json.Marshal(map[string]any{
				"format": 1, "key": d, "request": d, "instance": "gone-0", "address": "127.0.0.1:9", "boot-id": boot, "operation": uuid.New(),
			})
			if err != nil {
				return err
			}
			bodies = append(bodies, b)
		}
		if _, err := p.client.Append(ctx, connector.IntentStream(serviceName), bodies); err != nil {
			return err
		}
	}
	return nil
}
