// Command eelgrass-agent stands before one engine or plain service and spreads
// weights to its peers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/eelgrassdrift/eelgrassdrift/internal/agent"
	"github.com/eelgrassdrift/eelgrassdrift/internal/direct"
	"github.com/eelgrassdrift/eelgrassdrift/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := agent.Command()
	c.Commands = append(c.Commands, direct.AgentCommand(platform.Connect()))
	if err := c.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
