package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/engine"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// replacementsPerSecond are the 900 restarted or replaced instances of a day.
const replacementsPerSecond = 900.0 / (24 * 3600)

func membersCommand() *cli.Command {
	return &cli.Command{
		Name: "members", Usage: "bytes that replaced instances cost each agent of their model",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Value: []int{15, 100, 590, 2000}, Usage: "members of the model"},
			&cli.IntFlag{Name: "replacements", Value: 8, Usage: "replacements in each measurement"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			w := c.Root().Writer
			_, _ = fmt.Fprintf(w, "%7s %12s | %13s %13s %14s %16s | %14s\n", "members", "replacements", "agent core-ms", "gateway ms", "B to the agent", "B from the agent", "B/s at 900/day")
			for _, n := range c.IntSlice("sizes") {
				if err := measureMembers(ctx, c, n, w); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func memberName(i int) string { return fmt.Sprintf("member-%05d", i) }

// put lists a member of the model.
func (p *platform) put(ctx context.Context, i int, s connector.InstanceState) error {
	return p.registry.Register(ctx, connector.Instance{
		Name: recorder.Name(memberName(i)), Kind: connector.AgentInstance, State: s, Serves: servesModel,
		FailureDomain: recorder.Name(fmt.Sprintf("domain-%02d", i%28)), Region: recorder.Name(fmt.Sprintf("region-%d", i%10)),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9000),
	})
}

// replace lists a new member, and takes an old one off the list by way of
// leaving.
func (p *platform) replace(ctx context.Context, old, fresh int) error {
	if err := p.put(ctx, fresh, connector.InstanceLive); err != nil {
		return err
	}
	// The pauses keep the three changes apart, as they are in a replacement.
	if err := sleeper.Sleep(ctx, 200*time.Millisecond); err != nil {
		return err
	}
	if err := p.put(ctx, old, connector.InstanceLeaving); err != nil {
		return err
	}
	if err := sleeper.Sleep(ctx, 200*time.Millisecond); err != nil {
		return err
	}
	return p.registry.Remove(ctx, recorder.Name(memberName(old)))
}

func measureMembers(ctx context.Context, c *cli.Command, members int, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newPlatform(ctx)
	if err != nil {
		return err
	}
	store, err := p.publish(ctx)
	if err != nil {
		return err
	}
	g, err := startGateway(ctx, c.String("bin"), gatewayName, p)
	if err != nil {
		return err
	}
	defer g.stop()
	var t traffic
	relay, err := countedLink(ctx, g.relay, &t)
	if err != nil {
		return err
	}
	e, err := serve(ctx, &engine.Engine{}, nil)
	if err != nil {
		return err
	}
	a, err := startAgent(ctx, c.String("bin"), p, e, store, relay)
	if err != nil {
		return err
	}
	defer a.stop()
	for i := range members {
		if err := p.put(ctx, i, connector.InstanceLive); err != nil {
			return err
		}
	}
	if err := sleeper.Sleep(ctx, c.Duration("settle")); err != nil {
		return err
	}
	n := c.Int("replacements")
	before, gateway, err := both(a, g.process)
	if err != nil {
		return err
	}
	in, sent := t.in.Load(), t.out.Load()
	for i := range n {
		if err := p.replace(ctx, i, members+i); err != nil {
			return err
		}
		if err := sleeper.Sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	after, later, err := both(a, g.process)
	if err != nil {
		return err
	}
	ms := func(d time.Duration) float64 { return float64((d / time.Duration(n)).Microseconds()) / 1000 }
	each := float64(t.out.Load()-sent) / float64(n)
	_, err = fmt.Fprintf(out, "%7d %12d | %13.1f %13.1f %14.0f %16.0f | %14.1f\n", members, n, ms(after.processor-before.processor),
		ms(later.processor-gateway.processor), each, float64(t.in.Load()-in)/float64(n), each*replacementsPerSecond)
	return err
}

// both samples two processes.
func both(a, b *process) (sample, sample, error) {
	x, err := a.sample()
	if err != nil {
		return x, x, err
	}
	y, err := b.sample()
	return x, y, err
}
