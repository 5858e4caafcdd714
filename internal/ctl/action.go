package ctl

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
)

func noArguments(c *cli.Command) error {
	if c.Args().Present() {
		return cli.Exit(fmt.Sprintf("%s takes no argument %q", c.FullName(), c.Args().First()), 2)
	}
	return nil
}

// oneArgument returns the only argument of the command.
func oneArgument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return "", cli.Exit(fmt.Sprintf("%s takes one argument: %s", c.FullName(), c.ArgsUsage), 2)
	}
	return c.Args().First(), nil
}

// withoutArguments returns the action of a command that takes none.
func (a *App) withoutArguments(f func(ctx context.Context, c *cli.Command, o options) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := noArguments(c); err != nil {
			return err
		}
		o, err := a.options(c)
		if err != nil {
			return err
		}
		return f(ctx, c, o)
	}
}

// withObject returns the action of a command on the one object that it names.
func (a *App) withObject(f func(ctx context.Context, s *client, name string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		name, err := oneArgument(c)
		if err != nil {
			return err
		}
		o, err := a.options(c)
		if err != nil {
			return err
		}
		s := a.client(o)
		defer s.close()
		return f(ctx, s, name)
	}
}

// changeCommand completes a command that changes the one object it names.
func changeCommand[Q any, R outcomeReply](a *App, c *cli.Command, request func(o *operatorv1.Operation, name string) Q,
	call func(operatorv1.OperatorServiceClient, context.Context, Q, ...grpc.CallOption) (R, error),
) *cli.Command {
	if c.ArgsUsage == "" {
		c.ArgsUsage = "NAME"
	}
	c.Flags = changeFlags()
	c.Action = a.withObject(func(ctx context.Context, s *client, name string) error {
		return change(ctx, s, request(s.operation(), name), call)
	})
	return c
}

// query makes a call that changes nothing and prints its reply.
func query[Q any, R proto.Message](ctx context.Context, a *App, o options, q Q,
	f func(operatorv1.OperatorServiceClient, context.Context, Q, ...grpc.CallOption) (R, error),
) error {
	s := a.client(o)
	defer s.close()
	r, err := ask(ctx, s, q, f)
	if err != nil {
		return err
	}
	return s.print(r)
}
