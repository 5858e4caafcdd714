package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/metadata"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// client calls the gateways in the order of the list.
type client struct {
	app   *App
	opts  options
	conns map[netip.AddrPort]*grpc.ClientConn
}

func (a *App) client(o options) *client {
	return &client{app: a, opts: o, conns: make(map[netip.AddrPort]*grpc.ClientConn)}
}

func (c *client) close() {
	for _, v := range c.conns {
		_ = v.Close()
	}
}

// connect returns a connection that is up. Its error means that nothing was
// sent.
func (c *client) connect(ctx context.Context, gateway netip.AddrPort) (*grpc.ClientConn, error) {
	v := c.conns[gateway]
	if v == nil {
		t, err := c.opts.tls.Client()
		if err != nil {
			return nil, err
		}
		v, err = grpc.NewClient("passthrough:///"+gateway.String(), grpc.WithTransportCredentials(authenticator.Credentials(t)),
			grpc.WithNoProxy(), grpc.WithDisableRetry(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)))
		if err != nil {
			return nil, fail("connect", classifier.Invalid, "%v", err)
		}
		c.conns[gateway] = v
	}
	for {
		v.Connect()
		s := v.GetState()
		if s == connectivity.Ready {
			return v, nil
		}
		if s == connectivity.TransientFailure || !v.WaitForStateChange(ctx, s) {
			return nil, fail("connect", classifier.Unavailable, "gateway %s does not answer", gateway)
		}
	}
}

// try makes one attempt at one gateway.
func (c *client) try(ctx context.Context, gateway netip.AddrPort, call func(context.Context, operatorv1.OperatorServiceClient, ...grpc.CallOption) error) error {
	ctx, stop := context.WithTimeout(ctx, c.opts.timeout)
	defer stop()
	v, err := c.connect(ctx, gateway)
	if err != nil {
		return err
	}
	var trailer metadata.MD
	if err := call(c.authorize(ctx), operatorv1.NewOperatorServiceClient(v), grpc.Trailer(&trailer)); err != nil {
		return callError("gateway "+gateway.String(), err, trailer)
	}
	return nil
}

func (c *client) authorize(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+c.opts.key)
}

// do makes the call at the first gateway that answers. When none answers, the
// error is OutcomeUnknown if any attempt may have been run, else Unavailable.
func (c *client) do(ctx context.Context, call func(context.Context, operatorv1.OperatorServiceClient, ...grpc.CallOption) error) error {
	var last error
	unknown := c.opts.repeated
	for i, g := range c.opts.gateways {
		err := c.try(ctx, g, call)
		k := classifier.Of(err)
		if err == nil {
			return nil
		}
		if !isRetried(k) || ctx.Err() != nil {
			if unknown && k != classifier.Invalid {
				return &Error{Op: "an earlier gateway", Kind: classifier.OutcomeUnknown, Err: err}
			}
			return err
		}
		unknown = unknown || k == classifier.OutcomeUnknown
		if last = err; i+1 < len(c.opts.gateways) {
			_, _ = fmt.Fprintf(c.app.Err, "%v; trying %s\n", err, c.opts.gateways[i+1])
		}
	}
	if unknown {
		return &Error{Op: "every gateway tried", Kind: classifier.OutcomeUnknown, Err: last}
	}
	return last
}

// isRetried reports whether another gateway may answer. Timeout and unknown
// are safe to repeat, because a repeat has the same operation id.
func isRetried(k classifier.Kind) bool {
	return slices.Contains([]classifier.Kind{classifier.Unavailable, classifier.OutcomeUnknown, classifier.Timeout}, k)
}

// ask makes a call that changes nothing and returns its reply.
func ask[Q, R any](ctx context.Context, c *client, q Q, f func(operatorv1.OperatorServiceClient, context.Context, Q, ...grpc.CallOption) (R, error)) (R, error) {
	r, err := send(ctx, c, q, f)
	if err != nil && classifier.Of(err) == classifier.OutcomeUnknown {
		err = &Error{Op: "no reply", Kind: classifier.Unavailable, Err: err}
	}
	return r, err
}

// send makes a call and returns its reply.
func send[Q, R any](ctx context.Context, c *client, q Q, f func(operatorv1.OperatorServiceClient, context.Context, Q, ...grpc.CallOption) (R, error)) (R, error) {
	var r R
	err := c.do(ctx, func(ctx context.Context, s operatorv1.OperatorServiceClient, o ...grpc.CallOption) error {
		v, err := f(s, ctx, q, o...)
		if err == nil {
			r = v
		}
		return err
	})
	return r, err
}

// Waiting for an outcome that the log has not shown yet.
const (
	resolvePause = 500 * time.Millisecond
	resolveTries = 12
)

// outcomeReply is the reply to a call that changes something.
type outcomeReply interface {
	GetOutcome() *operatorv1.Outcome
}

// change makes a call that changes something, prints its outcome and returns
// an error unless it was accepted.
func change[Q any, R outcomeReply](ctx context.Context, c *client, q Q, f func(operatorv1.OperatorServiceClient, context.Context, Q, ...grpc.CallOption) (R, error)) error {
	_, _ = fmt.Fprintf(c.app.Err, "operation %s\n", c.opts.operation)
	r, err := send(ctx, c, q, f)
	var o *operatorv1.Outcome
	switch {
	case err == nil:
		o = r.GetOutcome()
	case classifier.Of(err) == classifier.OutcomeUnknown:
		_, _ = fmt.Fprintf(c.app.Err, "%v\n", err)
		o = &operatorv1.Outcome{OperationId: c.opts.operation.String(), Kind: operatorv1.OutcomeKind_OUTCOME_KIND_UNKNOWN}
	default:
		return err
	}
	return c.finish(c.resolve(ctx, o))
}

// resolve asks for an unknown outcome for a while.
func (c *client) resolve(ctx context.Context, o *operatorv1.Outcome) *operatorv1.Outcome {
	for range resolveTries {
		if o.GetKind() != operatorv1.OutcomeKind_OUTCOME_KIND_UNKNOWN || c.app.Sleep(ctx, resolvePause) != nil {
			return o
		}
		q := &operatorv1.OperationShowRequest{Id: o.GetOperationId()}
		if r, err := ask(ctx, c, q, operatorv1.OperatorServiceClient.OperationShow); err == nil && isDecided(r.GetOutcome()) {
			return r.GetOutcome()
		}
	}
	return o
}

func isDecided(o *operatorv1.Outcome) bool {
	return o.GetKind() == operatorv1.OutcomeKind_OUTCOME_KIND_ACCEPTED || o.GetKind() == operatorv1.OutcomeKind_OUTCOME_KIND_REJECTED
}

// finish prints an outcome and returns its error.
func (c *client) finish(o *operatorv1.Outcome) error {
	if err := c.print(o); err != nil {
		return err
	}
	switch o.GetKind() {
	case operatorv1.OutcomeKind_OUTCOME_KIND_ACCEPTED:
		return nil
	case operatorv1.OutcomeKind_OUTCOME_KIND_REJECTED:
		return rejectionError(o.GetRejection())
	}
	return fail("outcome unknown", classifier.OutcomeUnknown,
		"it may be in force later; ask \"eelgrassctl operation show %s\", or repeat the command with --operation %s",
		o.GetOperationId(), o.GetOperationId())
}
