// Command eelgrass-gateway takes callers' requests, serves the operator API and
// relays the configuration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/eelgrassdrift/eelgrassdrift/internal/direct"
	"github.com/eelgrassdrift/eelgrassdrift/internal/gateway"
	"github.com/eelgrassdrift/eelgrassdrift/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := gateway.Command()
	c.Commands = append(c.Commands, direct.GatewayCommand(platform.Connect()))
	if err := c.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
