package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
)

func (a *App) operationCommand() *cli.Command {
	return &cli.Command{
		Name: "operation", Usage: "ask what became of an operation", Action: needCommand,
		Commands: []*cli.Command{{
			Name: "show", Usage: "show the outcome of an operation", ArgsUsage: "ID",
			Description: "Exits with the code of the outcome: 0 accepted, 10 not known to the gateway yet,\nelse the code of the rejection.",
			Action: a.withObject(func(ctx context.Context, s *client, id string) error {
				r, err := ask(ctx, s, &operatorv1.OperationShowRequest{Id: id}, operatorv1.OperatorServiceClient.OperationShow)
				if err != nil {
					return err
				}
				return s.finish(r.GetOutcome())
			}),
		}},
	}
}

func (a *App) handoverCommand() *cli.Command {
	return &cli.Command{
		Name: "handover", Usage: "show what is in progress, for the next shift",
		Description: "Lists the rollouts in progress, what is out of service, by whom and why, and the\nlatest operations.",
		Action: a.withoutArguments(func(ctx context.Context, _ *cli.Command, o options) error {
			return query(ctx, a, o, &operatorv1.HandoverRequest{}, operatorv1.OperatorServiceClient.Handover)
		}),
	}
}
