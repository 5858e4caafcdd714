package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/checker"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// App runs eelgrassctl. All fields are set before Run.
type App struct {
	In       io.Reader
	Out, Err io.Writer
	// Version is printed by --version.
	Version string
	// IsTerminal tells that Out is a terminal, where progress is drawn in place.
	IsTerminal bool
	// NewID returns a new operation id.
	NewID func() uuid.UUID
	// Rand is the source of new keys.
	Rand io.Reader
	// ReadConfiguration reads a configuration record of the platform, and DecodeOperator decodes a
	// record of an operator.
	ReadConfiguration func(record []byte) *checker.Document
	DecodeOperator    func(key string, value []byte) (*observer.Decision, error)
	// Sleep waits for d or until the context ends, whose error it returns.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Run runs one command and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	err := a.command().Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(a.Err, "eelgrassctl: %v\n", err)
	}
	return exitCode(err)
}

const description = `Declares models, versions and failure domains, and runs rollouts.

A first session:
   eelgrassctl check -f cooperative.yaml      is the file well formed?
   eelgrassctl diff -f cooperative.yaml       what would it change?
   eelgrassctl apply -f cooperative.yaml      declare it
   eelgrassctl publish --model assistant --version v2 --declare weights.bin
   eelgrassctl rollout start autumn --model assistant --version v2 --steps tanta/mansoura,damanhur
   eelgrassctl rollout status autumn --follow

Every change has an operation id, which is printed first. When the outcome is
not known, ask for it with "operation show ID"; never assume that it failed.

Exit codes: 0 done, 1 internal, 2 wrong input or settings, 3 no valid key,
4 not found, 5 conflict with another change, 6 refused by a rule, 7 limit used
up, 8 unavailable and nothing done, 9 timeout, 10 outcome unknown. The command
"configuration check" has its own: 0 no findings, 1 findings, 2 input not read.`

func (a *App) command() *cli.Command {
	return &cli.Command{
		Name: "eelgrassctl", Usage: "operate eelgrassdrift", Description: description, Version: a.Version,
		Reader: a.In, Writer: a.Out, ErrWriter: a.Err, Flags: serverFlags(), Suggest: true,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Action:         needCommand,
		Commands: []*cli.Command{
			a.publishCommand(), a.applyCommand(), a.diffCommand(), a.checkCommand(), a.getCommand(), a.removeCommand(),
			a.rolloutCommand(), a.domainCommand(), a.endpointCommand(), a.operationCommand(), a.handoverCommand(),
			a.watchCommand(), a.keyCommand(), a.explainCommand(), a.holdsCommand(), a.configurationCommand(),
		},
	}
}

// needCommand is the action of a command that only groups others.
func needCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return cli.Exit(fmt.Sprintf("unknown command %q; see %s --help", c.Args().First(), c.FullName()), 2)
	}
	return cli.ShowSubcommandHelp(c)
}
