package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	operatorKey = "test-key-operator"
	// objectsPerRecord keeps a record of client accounts below recorder.MaxRecord.
	objectsPerRecord = 500
	// domainEndpoints is the mean number of endpoints of a failure domain.
	domainEndpoints = 430
	// commandRuns is the number of runs of a command whose mean is printed.
	commandRuns = 3
)

func operatorCommand() *cli.Command {
	return &cli.Command{
		Name: "operator", Usage: "processor time, memory and bytes of eelgrassctl",
		Flags: []cli.Flag{&cli.IntSliceFlag{Name: "sizes", Value: []int{10, 100, 1000, 12_000}}},
		Action: func(ctx context.Context, c *cli.Command) error {
			w := c.Root().Writer
			_, _ = fmt.Fprintf(w, "%-16s %7s | %6s %9s %8s %8s %11s %9s\n",
				"command", "size", "runs", "core-ms", "wall ms", "MB", "received B", "sent B")
			for _, n := range c.IntSlice("sizes") {
				if err := measureOperator(ctx, c, n, w); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// console runs eelgrassctl against one gateway through a counted link.
type console struct {
	path    string
	gateway netip.AddrPort
	traffic traffic
	out     io.Writer
}

func measureOperator(ctx context.Context, c *cli.Command, size int, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newPlatform(ctx)
	if err != nil {
		return err
	}
	if _, err := p.publish(ctx); err != nil {
		return err
	}
	g, err := startGateway(ctx, c.String("bin"), gatewayName, p, "--bootstrap-key-digest", recorder.DigestOf([]byte(operatorKey)).String())
	if err != nil {
		return err
	}
	defer g.stop()
	s := &console{path: filepath.Join(c.String("bin"), "eelgrassctl"), out: out}
	if s.gateway, err = countedLink(ctx, g.operators, &s.traffic); err != nil {
		return err
	}
	if err := s.apply(ctx, size); err != nil {
		return err
	}
	if err := s.repeat(ctx, "get accounts", size, "get", "client-account"); err != nil {
		return err
	}
	if err := p.report(ctx, size); err != nil {
		return err
	}
	if err := s.awaitEndpoints(ctx, size); err != nil {
		return err
	}
	if err := s.repeat(ctx, "get endpoints", size, "get", "endpoint"); err != nil {
		return err
	}
	if err := s.repeat(ctx, "rollout status", size, "rollout", "status", "first"); err != nil {
		return err
	}
	return s.watch(ctx, c, p, size)
}

// report lets a peer gateway report the endpoints of its failure domain one by
// one, and gateways of the other failure domains their shares of the rest as
// sums, as gateways do.
func (p *platform) report(ctx context.Context, endpoints int) error {
	r := &follower.Replica{Log: zerolog.Nop()}
	f := &follower.Follower{Log: connector.NewLog(p.logURL, &http.Client{}), Replica: r}
	go func() { _ = f.Run(ctx) }()
	local := min(endpoints, domainEndpoints)
	rest := endpoints - local
	for i := range 28 {
		name, domain := fmt.Sprintf("peer-%03d", i), fmt.Sprintf("domain-%02d", i)
		n, err := p.newNode(ctx, name, domain, r, local)
		if err != nil {
			return err
		}
		if i > 0 {
			share := uint32(rest / (28 - i))
			rest -= int(share)
			sums := []*relayv1.Summary{{Serves: servesModel, Version: "v1", Ready: share, Limit: 16 * share, Endpoints: share}}
			n.server.Endpoints.OwnSummaries = func() []*relayv1.Summary { return sums }
		}
		if err := p.register(ctx, name, domain, regionName, connector.GatewayInstance, n.address, ""); err != nil {
			return err
		}
		if rest == 0 {
			break
		}
	}
	return nil
}

// command is a run of eelgrassctl; its output is discarded.
func (s *console) command(ctx context.Context, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, s.path, append([]string{"--gateway", s.gateway.String()}, args...)...)
	c.Env = append(os.Environ(), "EELGRASS_KEY="+operatorKey)
	return c
}

// cost is what one or more runs of a command used.
type cost struct {
	processor, wall time.Duration
	resident        int64
	received, sent  int64
}

// run adds a run of the command to the cost.
func (s *console) run(ctx context.Context, k *cost, args ...string) error {
	c := s.command(ctx, args...)
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	received, sent, begun := s.traffic.out.Load(), s.traffic.in.Load(), time.Now()
	p, err := startCommand(c)
	if err != nil {
		return err
	}
	k.resident = max(k.resident, p.peak())
	if !c.ProcessState.Success() {
		return errors.Newf("eelgrassctl %v: %s: %.300s", args, c.ProcessState, out.String())
	}
	k.wall += time.Since(begun)
	k.processor += c.ProcessState.UserTime() + c.ProcessState.SystemTime()
	k.received += s.traffic.out.Load() - received
	k.sent += s.traffic.in.Load() - sent
	return nil
}

// repeat prints the mean of several runs of a command.
func (s *console) repeat(ctx context.Context, name string, size int, args ...string) error {
	var k cost
	for range commandRuns {
		if err := s.run(ctx, &k, args...); err != nil {
			return err
		}
	}
	return s.print(name, size, commandRuns, k)
}

func (s *console) print(name string, size, runs int, k cost) error {
	n := time.Duration(runs)
	_, err := fmt.Fprintf(s.out, "%-16s %7d | %6d %9.1f %8.0f %8.1f %11d %9d\n", name, size, runs,
		float64((k.processor/n).Microseconds())/1000, float64((k.wall / n).Milliseconds()),
		float64(k.resident)/1e6, k.received/int64(runs), k.sent/int64(runs))
	return err
}

// apply declares client accounts in as few files as records allow, and prints
// the sum over the files.
func (s *console) apply(ctx context.Context, size int) error {
	dir, err := os.MkdirTemp("", "capacity-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var k cost
	for from := 0; from < size; from += objectsPerRecord {
		var d recorder.Declaration
		for i := from; i < min(size, from+objectsPerRecord); i++ {
			d.ClientAccounts = append(d.ClientAccounts, *putAccount(fmt.Sprintf("declared-%05d", i), 100).ClientAccount)
		}
		b, err := d.Encode()
		if err != nil {
			return err
		}
		name := filepath.Join(dir, fmt.Sprintf("%05d.yaml", from))
		if err := os.WriteFile(name, b, 0o600); err != nil {
			return err
		}
		if err := s.run(ctx, &k, "apply", "-f", name); err != nil {
			return err
		}
	}
	return s.print("apply", size, 1, k)
}

// awaitEndpoints waits until the gateway knows all endpoints.
func (s *console) awaitEndpoints(ctx context.Context, size int) error {
	known := 0
	for range 100 {
		b, err := s.command(ctx, "get", "endpoint").Output()
		if known = bytes.Count(b, []byte(servesModel)); err == nil && known == size {
			return nil
		}
		if e := sleeper.Sleep(ctx, 100*time.Millisecond); e != nil {
			return e
		}
	}
	return errors.Newf("the gateway knows %d of %d endpoints", known, size)
}

// watch prints what a watch uses until it has shown all endpoints, and then in
// each second at one change a second.
func (s *console) watch(ctx context.Context, c *cli.Command, p *platform, size int) error {
	in, out := s.traffic.in.Load(), s.traffic.out.Load()
	w, err := startCommand(s.command(ctx, "watch"))
	if err != nil {
		return err
	}
	defer w.stop()
	begun := time.Now()
	if err := sleeper.Sleep(ctx, c.Duration("settle")); err != nil {
		return err
	}
	a, err := w.sample()
	if err != nil {
		return err
	}
	k := cost{processor: a.processor, wall: time.Since(begun), resident: a.resident, received: s.traffic.out.Load() - out, sent: s.traffic.in.Load() - in}
	if err := s.print("watch, start", size, 1, k); err != nil {
		return err
	}
	in, out = s.traffic.in.Load(), s.traffic.out.Load()
	go p.change(ctx, 1)
	u, err := w.measure(ctx, 0, c.Duration("span"))
	if err != nil {
		return err
	}
	seconds := c.Duration("span").Seconds()
	k = cost{
		processor: time.Duration(u.core * float64(time.Second)), wall: time.Second, resident: u.resident,
		received: int64(float64(s.traffic.out.Load()-out) / seconds), sent: int64(float64(s.traffic.in.Load()-in) / seconds),
	}
	return s.print("watch, a second", size, 1, k)
}
