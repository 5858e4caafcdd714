package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// watchPause is the time before a watch that ended is started again.
const watchPause = time.Second

func (a *App) watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "show changes as they happen",
		Description: "Shows the rollouts in progress and the endpoints, and then every change, one on a\nline. Moves to the next gateway when one ends. Stop it with Ctrl-C.",
		Action: a.withoutArguments(func(ctx context.Context, _ *cli.Command, o options) error {
			s := a.client(o)
			defer s.close()
			return s.watch(ctx)
		}),
	}
}

// watch shows events until the context ends or no gateway answers in a round.
func (c *client) watch(ctx context.Context) error {
	for {
		heard := false
		var last error
		for _, g := range c.opts.gateways {
			n, err := c.watchOne(ctx, g)
			if ctx.Err() != nil {
				return nil
			}
			if k := classifier.Of(err); !isRetried(k) {
				return err
			}
			heard, last = heard || n > 0, err
			_, _ = fmt.Fprintf(c.app.Err, "%v\n", err)
		}
		if !heard {
			return &Error{Op: "watch", Kind: classifier.Unavailable, Err: last}
		}
		if c.app.Sleep(ctx, watchPause) != nil {
			return nil
		}
	}
}

// watchOne shows the events of one gateway and returns their number.
func (c *client) watchOne(ctx context.Context, gateway netip.AddrPort) (int, error) {
	up, stop := context.WithTimeout(ctx, c.opts.timeout)
	v, err := c.connect(up, gateway)
	stop()
	if err != nil {
		return 0, err
	}
	var trailer metadata.MD
	w, err := operatorv1.NewOperatorServiceClient(v).Watch(c.authorize(ctx), &operatorv1.WatchRequest{}, grpc.Trailer(&trailer))
	if err != nil {
		return 0, callError("gateway "+gateway.String(), err, trailer)
	}
	for n := 0; ; n++ {
		m, err := w.Recv()
		if err != nil {
			return n, callError("gateway "+gateway.String(), err, w.Trailer())
		}
		if err := c.printEvent(m); err != nil {
			return n, printed(err)
		}
	}
}

func (c *client) printEvent(m *operatorv1.WatchResponse) error {
	if c.opts.output == jsonForm {
		return writeLine(c.app.Out, plain(m.ProtoReflect()))
	}
	var err error
	switch {
	case m.GetOutcome() != nil:
		o := m.GetOutcome()
		_, err = fmt.Fprintf(c.app.Out, "operation %s %s revision=%d author=%s %s\n",
			o.GetOperationId(), kindOf(o), o.GetRevision(), o.GetAuthor(), o.GetRejection())
	case m.GetRollout() != nil:
		_, err = fmt.Fprintf(c.app.Out, "rollout %s\n", progressText(m.GetRollout()))
	case m.GetEndpoint() != nil:
		e := m.GetEndpoint()
		_, err = fmt.Fprintf(c.app.Out, "endpoint %s domain=%s serves=%s version=%s state=%s %s\n",
			e.GetInstance(), e.GetFailureDomain(), e.GetServes(), e.GetVersion(), e.GetState(), e.GetMessage())
	}
	return err
}
