package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
)

const reportBody = `{"model":"assistant","messages":[{"role":"user","content":"hello"}],"max_tokens":8,"stream":false}`

func reportsCommand() *cli.Command {
	return &cli.Command{
		Name: "reports", Usage: "bytes and processor time of load reports while requests run",
		Flags: []cli.Flag{&cli.IntSliceFlag{Name: "rates", Value: []int{0, 50, 200, 500}, Usage: "requests a second"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := context.WithCancel(ctx)
			defer stop()
			s, err := newReporting(ctx, c.String("bin"))
			if err != nil {
				return err
			}
			defer s.stop()
			w := c.Root().Writer
			_, _ = fmt.Fprintf(w, "%6s %8s %7s | %-26s %8s %11s %9s\n", "rate", "answers", "failed", "process", "% core", "received/s", "sent/s")
			for _, r := range c.IntSlice("rates") {
				if err := s.measure(ctx, c, r, w); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// reporting is two gateways and an agent with an engine. gateway-0 takes the
// requests, and the agent reports to gateway-1. Requests cross counted links, so
// that their bytes can be taken off those of the processes.
type reporting struct {
	engine, agent           *process
	taking, hearing         *gateway
	callers                 string
	called, served, reports traffic
}

func newReporting(ctx context.Context, bin string) (*reporting, error) {
	p, err := newPlatform(ctx)
	if err != nil {
		return nil, err
	}
	store, err := p.publish(ctx)
	if err != nil {
		return nil, err
	}
	l, err := addresses(ctx, 2)
	if err != nil {
		return nil, err
	}
	s := &reporting{}
	if s.engine, err = start(ctx, filepath.Join(bin, "eelgrass-standin"), "engine", "--listen", l[0],
		"--first-token", "0s", "--token-interval", "0s", "--log-level", "error"); err != nil {
		return nil, err
	}
	if s.taking, err = startGateway(ctx, bin, gatewayName, p); err != nil {
		return s, err
	}
	if s.hearing, err = startGateway(ctx, bin, "gateway-1", p); err != nil {
		return s, err
	}
	callers, err := countedLink(ctx, netip.MustParseAddrPort(strings.TrimPrefix(s.taking.callers, "http://")), &s.called)
	if err != nil {
		return s, err
	}
	s.callers = "http://" + callers.String()
	relay, err := countedLink(ctx, s.hearing.relay, &s.reports)
	if err != nil {
		return s, err
	}
	advertised, err := countedLink(ctx, netip.MustParseAddrPort(l[1]), &s.served)
	if err != nil {
		return s, err
	}
	if s.agent, err = startAgent(ctx, bin, p, "http://"+l[0], store, relay,
		"--listen", l[1], "--advertise", advertised.String()); err != nil {
		return s, err
	}
	return s, awaitAnswer(ctx, s.callers, reportBody)
}

func (s *reporting) stop() {
	for _, p := range []*process{s.agent, s.hearing.process, s.taking.process, s.engine} {
		p.stop()
	}
}

// point is what all parts have used at one moment.
type point struct {
	taking, hearing, agent                   sample
	calledIn, calledOut, servedIn, servedOut int64
	reportsIn, reportsOut                    int64
}

func (s *reporting) point() (point, error) {
	var p point
	var err error
	if p.taking, err = s.taking.sample(); err != nil {
		return p, err
	}
	p.calledIn, p.calledOut = s.called.in.Load(), s.called.out.Load()
	p.servedIn, p.servedOut = s.served.in.Load(), s.served.out.Load()
	if p.hearing, err = s.hearing.sample(); err != nil {
		return p, err
	}
	p.reportsIn, p.reportsOut = s.reports.in.Load(), s.reports.out.Load()
	p.agent, err = s.agent.sample()
	return p, err
}

// measure sends requests at a rate and prints what control used meanwhile.
func (s *reporting) measure(ctx context.Context, c *cli.Command, rate int, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	var done sync.WaitGroup
	defer done.Wait()
	defer stop()
	var answers, failed atomic.Int64
	done.Go(func() { s.call(ctx, rate, &answers, &failed) })
	if err := sleeper.Sleep(ctx, c.Duration("settle")); err != nil {
		return err
	}
	a, err := s.point()
	if err != nil {
		return err
	}
	n, f := answers.Load(), failed.Load()
	if err := sleeper.Sleep(ctx, c.Duration("span")); err != nil {
		return err
	}
	b, err := s.point()
	if err != nil {
		return err
	}
	n, f = answers.Load()-n, failed.Load()-f
	d := b.taking.at.Sub(a.taking.at).Seconds()
	row := func(name string, core time.Duration, received, sent int64) {
		_, _ = fmt.Fprintf(out, "%6d %8.1f %7d | %-26s %8.2f %11.0f %9.0f\n", rate, float64(n)/d, f, name,
			100*core.Seconds()/d, float64(received)/d, float64(sent)/d)
	}
	row("gateway, all", b.taking.processor-a.taking.processor, b.taking.received-a.taking.received, b.taking.sent-a.taking.sent)
	row("gateway, without requests", 0,
		b.taking.received-a.taking.received-(b.calledIn-a.calledIn)-(b.servedOut-a.servedOut),
		b.taking.sent-a.taking.sent-(b.calledOut-a.calledOut)-(b.servedIn-a.servedIn))
	row("gateway that hears reports", b.hearing.processor-a.hearing.processor, b.hearing.received-a.hearing.received, b.hearing.sent-a.hearing.sent)
	row("agent, all", b.agent.processor-a.agent.processor, b.agent.received-a.agent.received, b.agent.sent-a.agent.sent)
	row("agent, relay stream", 0, b.reportsOut-a.reportsOut, b.reportsIn-a.reportsIn)
	return nil
}

// call sends requests at a rate until the context ends.
func (s *reporting) call(ctx context.Context, rate int, answers, failed *atomic.Int64) {
	if rate == 0 {
		return
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	defer client.CloseIdleConnections()
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		calls.Go(func() {
			switch err := send(ctx, client, s.callers, reportBody); {
			case err == nil:
				answers.Add(1)
			case ctx.Err() == nil:
				failed.Add(1)
			}
		})
	}
}
