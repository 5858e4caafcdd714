package operator

import (
	"context"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// MaxRequest is the largest request in bytes: a declaration and its expected
// revisions.
const MaxRequest = recorder.MaxDeclaration + 256<<10

// Options returns the options of a gRPC server that serves only this API. A
// server that serves others too takes Unary and Stream alone.
func (s *Server) Options() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxRequest), grpc.UnaryInterceptor(s.Unary), grpc.StreamInterceptor(s.Stream),
	}
}

// TrailerKind is the trailer that names the kind of every error of this
// package. An error without it comes from the transport, and a call that
// changes something may then have been run.
const TrailerKind = "eelgrass-kind"

type authorKey struct{}

// author returns the operator that the interceptor authenticated, or "".
func author(ctx context.Context) recorder.Name {
	n, _ := ctx.Value(authorKey{}).(recorder.Name)
	return n
}

// authenticate returns the operator whose key the call carries.
func (s *Server) authenticate(ctx context.Context) (recorder.Name, error) {
	const op = "authenticate"
	state, err := s.state(op)
	if err != nil {
		return "", err
	}
	h := metadata.ValueFromIncomingContext(ctx, "authorization")
	if len(h) != 1 {
		return "", fail(op, classifier.Unauthenticated, "one key in the metadata \"authorization\" is needed")
	}
	d, ok := authenticator.KeyDigest(h[0])
	if !ok {
		return "", fail(op, classifier.Unauthenticated, "the metadata \"authorization\" is not of the form \"Bearer KEY\"")
	}
	if o := state.OperatorByKey(d); o != nil {
		return o.Name, nil
	}
	if len(state.Operators) == 0 && !s.Bootstrap.IsZero() && d == s.Bootstrap {
		return recorder.Bootstrap, nil
	}
	return "", fail(op, classifier.Unauthenticated, "the key belongs to no operator")
}

func isOwn(method string) bool {
	return strings.HasPrefix(method, "/"+operatorv1.OperatorService_ServiceDesc.ServiceName+"/")
}

// Unary is the interceptor of calls with one reply.
func (s *Server) Unary(ctx context.Context, q any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if !isOwn(info.FullMethod) {
		return next(ctx, q)
	}
	from := s.Now()
	name, err := s.authenticate(ctx)
	if m, ok := q.(proto.Message); err == nil && ok && proto.Size(m) > MaxRequest {
		err = fail("read request", classifier.Invalid, "%d bytes; at most %d are allowed", proto.Size(m), MaxRequest)
	}
	var r any
	if err == nil {
		r, err = next(context.WithValue(ctx, authorKey{}, name), q)
	}
	s.log(info.FullMethod, name, from, q, r, err)
	if err != nil {
		_ = grpc.SetTrailer(ctx, trailer(err))
	}
	return r, statusOf(err)
}

// Stream is the interceptor of calls with a stream of replies.
func (s *Server) Stream(v any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if !isOwn(info.FullMethod) {
		return next(v, stream)
	}
	from := s.Now()
	name, err := s.authenticate(stream.Context())
	if err == nil {
		err = next(v, stream)
	}
	s.log(info.FullMethod, name, from, nil, nil, err)
	if err != nil {
		stream.SetTrailer(trailer(err))
	}
	return statusOf(err)
}

func trailer(err error) metadata.MD {
	return metadata.Pairs(TrailerKind, classifier.Of(err).String())
}

func (s *Server) log(method string, name recorder.Name, from time.Time, q, r any, err error) {
	e := s.Log.Info()
	if err != nil {
		e = s.Log.Warn()
	}
	e = e.Str("method", method[strings.LastIndexByte(method, '/')+1:]).Str("operator", string(name)).
		Dur("took-ms", s.Now().Sub(from))
	if c, ok := q.(interface {
		GetOperation() *operatorv1.Operation
	}); ok {
		e = e.Str("operation", c.GetOperation().GetId()).Str("reason", c.GetOperation().GetReason())
	}
	if c, ok := r.(interface{ GetOutcome() *operatorv1.Outcome }); ok && err == nil {
		o := c.GetOutcome()
		e = e.Uint64("revision", o.GetRevision()).Str("outcome", outcomeName(o.GetKind()))
		if o.GetRejection() != "" {
			e = e.Str("rejection", o.GetRejection())
		}
	}
	if err != nil {
		e = e.Str("outcome", classifier.Of(err).String()).Str("error", err.Error())
	}
	e.Msg("operator-call")
}

func outcomeName(k operatorv1.OutcomeKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "OUTCOME_KIND_"))
}
