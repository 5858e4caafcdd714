package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "declaration `FILE` in YAML or JSON; - reads standard input"}
}

// readDeclaration reads and checks a declaration.
func (a *App) readDeclaration(name string) ([]byte, *recorder.Declaration, error) {
	const op = "read declaration"
	in := a.In
	if name != "-" {
		h, err := os.Open(name)
		if err != nil {
			return nil, nil, &Error{Op: op, Kind: classifier.Invalid, Err: errors.WithStack(err)}
		}
		defer func() { _ = h.Close() }()
		in = h
	}
	b, err := io.ReadAll(io.LimitReader(in, recorder.MaxDeclaration+1))
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: classifier.Invalid, Err: errors.WithStack(err)}
	}
	d, err := recorder.ParseDeclaration(b)
	if err != nil {
		return nil, nil, err
	}
	return b, d, nil
}

func (a *App) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a declaration without a server", Flags: []cli.Flag{fileFlag()},
		Description: "Checks the form of every object in the file. Whether the objects fit what is\ndeclared already is checked by diff and apply.",
		Action: func(_ context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			var f settings.Faults
			checkCommon(&f, c)
			if err := f.Err(); err != nil {
				return err
			}
			_, d, err := a.readDeclaration(c.String("file"))
			if err != nil {
				return err
			}
			keys := make([]string, 0)
			for _, v := range d.Changes() {
				keys = append(keys, v.Key())
			}
			if c.String("output") == jsonForm {
				return writeJSON(a.Out, map[string]any{"objects": keys})
			}
			_, err = fmt.Fprintf(a.Out, "%d objects are well formed\n", len(keys))
			return printed(err)
		},
	}
}

func (a *App) applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "declare all objects of a file, or none", Flags: changeFlags(fileFlag()),
		Description: "Objects that are declared like this already keep their revision. Objects that the\nfile does not name stay as they are; remove them with the command remove.",
		Action: a.withoutArguments(func(ctx context.Context, c *cli.Command, o options) error {
			b, _, err := a.readDeclaration(c.String("file"))
			if err != nil {
				return err
			}
			return a.apply(ctx, o, b)
		}),
	}
}

func (a *App) apply(ctx context.Context, o options, declaration []byte) error {
	s := a.client(o)
	defer s.close()
	q := &operatorv1.ApplyRequest{Operation: s.operation(), Declaration: declaration, ExpectedRevisions: o.expect}
	delete(q.ExpectedRevisions, "")
	return change(ctx, s, q, operatorv1.OperatorServiceClient.Apply)
}

// operation returns the operation of a change.
func (c *client) operation() *operatorv1.Operation {
	o := &operatorv1.Operation{Id: c.opts.operation.String(), Reason: c.opts.reason}
	if n, ok := c.opts.expect[""]; ok {
		o.ExpectedRevision = &n
	}
	return o
}

func (a *App) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what apply would change", Flags: []cli.Flag{fileFlag()},
		Action: a.withoutArguments(func(ctx context.Context, c *cli.Command, o options) error {
			b, _, err := a.readDeclaration(c.String("file"))
			if err != nil {
				return err
			}
			return query(ctx, a, o, &operatorv1.DiffRequest{Declaration: b}, operatorv1.OperatorServiceClient.Diff)
		}),
	}
}

func (a *App) getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "show declared objects and endpoints", ArgsUsage: "[KIND or KIND/NAME]",
		Description: "Kinds: client-account, endpoint, failure-domain, grant, model, operator, rollout,\nservice, version. Without an argument everything is shown.",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() > 1 {
				return cli.Exit("get takes at most one argument", 2)
			}
			o, err := a.options(c)
			if err != nil {
				return err
			}
			return query(ctx, a, o, &operatorv1.GetRequest{Selector: c.Args().First()}, operatorv1.OperatorServiceClient.Get)
		},
	}
}

func (a *App) removeCommand() *cli.Command {
	return changeCommand(a, &cli.Command{
		Name: "remove", Usage: "remove an object that no other object needs", ArgsUsage: "KIND/NAME",
	}, func(o *operatorv1.Operation, key string) *operatorv1.RemoveRequest {
		return &operatorv1.RemoveRequest{Operation: o, Key: key}
	}, operatorv1.OperatorServiceClient.Remove)
}
