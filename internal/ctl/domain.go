package ctl

import (
	"github.com/urfave/cli/v3"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
)

func (a *App) domainCommand() *cli.Command {
	return &cli.Command{
		Name: "domain", Usage: "take a failure domain out of service or back", Action: needCommand,
		Commands: []*cli.Command{
			changeCommand(a, &cli.Command{
				Name: "out", Usage: "take a failure domain out of service",
				Description: "Within seconds no new request is sent there. Requests in flight finish.",
			}, func(o *operatorv1.Operation, name string) *operatorv1.DomainOutRequest {
				return &operatorv1.DomainOutRequest{Operation: o, Name: name}
			}, operatorv1.OperatorServiceClient.DomainOut),
			changeCommand(a, &cli.Command{
				Name: "in", Usage: "return a failure domain to service",
			}, func(o *operatorv1.Operation, name string) *operatorv1.DomainInRequest {
				return &operatorv1.DomainInRequest{Operation: o, Name: name}
			}, operatorv1.OperatorServiceClient.DomainIn),
		},
	}
}

func (a *App) endpointCommand() *cli.Command {
	return &cli.Command{
		Name: "endpoint", Usage: "take one endpoint out of service or back", Action: needCommand,
		Commands: []*cli.Command{
			changeCommand(a, &cli.Command{
				Name: "drain", Usage: "take an endpoint out of service", ArgsUsage: "INSTANCE",
				Description: "Within seconds no new request is sent there. Requests in flight finish.",
			}, func(o *operatorv1.Operation, name string) *operatorv1.EndpointDrainRequest {
				return &operatorv1.EndpointDrainRequest{Operation: o, Instance: name}
			}, operatorv1.OperatorServiceClient.EndpointDrain),
			changeCommand(a, &cli.Command{
				Name: "return", Usage: "return an endpoint to service", ArgsUsage: "INSTANCE",
			}, func(o *operatorv1.Operation, name string) *operatorv1.EndpointReturnRequest {
				return &operatorv1.EndpointReturnRequest{Operation: o, Instance: name}
			}, operatorv1.OperatorServiceClient.EndpointReturn),
		},
	}
}
