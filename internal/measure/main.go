package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(run())
}

func run() int {
	c := &cli.Command{
		Name: "measure", Usage: "measure the cost of control and of requests on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the built binaries"},
			&cli.DurationFlag{Name: "span", Value: 8 * time.Second, Usage: "time of each measurement"},
			&cli.DurationFlag{Name: "settle", Value: 4 * time.Second, Usage: "time before each measurement"},
		},
		Commands: []*cli.Command{
			gatewayCommand(), agentCommand(), spreadCommand(), logCommand(), requestsCommand(), forwarderCommand(),
			operatorCommand(), reportsCommand(), rolloutCommand(), intentsCommand(), membersCommand(),
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := c.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
