package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/engine"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/origin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// weightBytes is the size of the version that the agent loads. It is small, so
// that the memory measured is that of control.
const weightBytes = 1 << 20

func agentCommand() *cli.Command {
	return &cli.Command{
		Name: "agent", Usage: "memory, processor time and bytes of one agent",
		Flags: []cli.Flag{tlsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			w := c.Root().Writer
			_, _ = fmt.Fprintf(w, "%-8s %7s %6s | %7s %8s %8s %10s %10s\n", "series", "members", "rate", "% core", "MB", "anon MB", "received/s", "sent/s")
			for _, n := range []int{15, 100, 590, 2000} {
				if err := measureAgent(ctx, c, "members", n, 0.1, w); err != nil {
					return err
				}
			}
			for _, r := range []float64{0, 0.1, 1, 10, 100} {
				if err := measureAgent(ctx, c, "rate", 590, r, w); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func measureAgent(ctx context.Context, c *cli.Command, name string, members int, rate float64, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newPlatform(ctx)
	if err != nil {
		return err
	}
	stopTLS, err := p.maybeSecure(c)
	if err != nil {
		return err
	}
	defer stopTLS()
	store, err := p.publish(ctx)
	if err != nil {
		return err
	}
	r := &follower.Replica{Log: zerolog.Nop()}
	f := &follower.Follower{Log: connector.NewLog(p.logURL, &http.Client{}), Replica: r}
	go func() { _ = f.Run(ctx) }()
	n, err := p.newNode(ctx, "gateway-0", domainName, r, 0)
	if err != nil {
		return err
	}
	list := &relayv1.Members{}
	for i := range members {
		list.Members = append(list.Members, &relayv1.Member{
			Instance: fmt.Sprintf("listed-%05d", i), FailureDomain: fmt.Sprintf("domain-%02d", i%28),
			Region: fmt.Sprintf("region-%d", i%10), Address: "127.0.0.1:9000", Serves: servesModel,
		})
	}
	n.server.Members = func(string) *relayv1.Members { return list }
	e, err := serve(ctx, &engine.Engine{}, nil)
	if err != nil {
		return err
	}
	a, err := startAgent(ctx, c.String("bin"), p, e, store, n.address)
	if err != nil {
		return err
	}
	defer a.stop()
	go p.change(ctx, rate)
	u, err := a.measure(ctx, c.Duration("settle"), c.Duration("span"))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%-8s %7d %6.1f | %7.2f %8.1f %8.1f %10.0f %10.0f\n", name,
		members, rate, 100*u.core, float64(u.resident)/1e6, float64(u.anonymous)/1e6, u.received, u.sent)
	return err
}

// publish stores a version at a new origin, starts its rollout and returns the
// origin's URL.
func (p *platform) publish(ctx context.Context) (string, error) {
	u, err := serve(ctx, &origin.Origin{Capacity: origin.DefaultCapacity}, nil)
	if err != nil {
		return "", err
	}
	o := connector.NewOrigin(u, &http.Client{})
	put := func(d recorder.Digest, b []byte) error { return o.Store(ctx, d, b) }
	w := make([]byte, weightBytes)
	_, _ = rand.Read(w)
	m, err := recorder.NewManifest(bytes.NewReader(w), 256<<10, put)
	if err != nil {
		return "", err
	}
	b, d, err := m.Encode()
	if err != nil {
		return "", err
	}
	if err := put(d, b); err != nil {
		return "", err
	}
	v := recorder.Version{Model: "assistant", Name: "v1", Manifest: d, Digest: m.Digest, Size: m.Size}
	return u, p.append(
		ctx,
		recorder.Change{Kind: recorder.PutModel, Model: &recorder.Model{Name: "assistant", OrderTimeout: recorder.Duration(30 * time.Second)}},
		recorder.Change{Kind: recorder.PutVersion, Version: &v},
		recorder.Change{Kind: recorder.StartRollout, Rollout: &recorder.Rollout{
			Name: "first", Model: "assistant", Version: "v1", MaxOut: 1, Lease: recorder.Duration(20 * time.Second),
		}},
	)
}

func startAgent(ctx context.Context, bin string, p *platform, target, store string, relay netip.AddrPort, more ...string) (*process, error) {
	l, err := addresses(ctx, 2)
	if err != nil {
		return nil, err
	}
	a, err := start(ctx, filepath.Join(bin, "eelgrass-agent"), append([]string{
		"--instance", "agent-0", "--failure-domain", domainName, "--region", regionName, "--serves", servesModel,
		"--listen", l[0], "--local", l[1], "--target-url", target, "--gateways", relay.String(),
		"--log-url", p.logURL, "--origin-url", store, "--origin-region", regionName,
		"--cold-limit", "256", "--log-level", "error",
	}, append(tlsFlags(p.tls), more...)...)...)
	if err != nil {
		return nil, err
	}
	if err := p.register(ctx, "agent-0", domainName, regionName, connector.AgentInstance, netip.MustParseAddrPort(l[0]), servesModel); err != nil {
		return nil, err
	}
	return a, await(ctx, "http://"+l[1]+"/readyz")
}
