// Command eelgrass-standin runs the stand-ins of the outside systems on
// loopback, for development and tests. See docs/standin.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
)

func main() { os.Exit(run(os.Args)) }

// run runs a subcommand until its end or a signal and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var e cli.ExitCoder
	if errors.As(err, &e) {
		return e.ExitCode()
	}
	return classifier.Of(err).ExitCode()
}

// command returns the program with its subcommands.
func command() *cli.Command {
	return &cli.Command{
		Name:    "eelgrass-standin",
		Version: settings.Version,
		Usage:   "stand-ins of the outside systems, for development and tests",
		Commands: []*cli.Command{
			logCommand(), instancesCommand(), originCommand(), engineCommand(), serviceCommand(), linkCommand(),
			loadCommand(), portsCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}
