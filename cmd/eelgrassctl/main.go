// Command eelgrassctl is the operators' command line of eelgrassdrift.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/uuid"
	"golang.org/x/term"

	"github.com/eelgrassdrift/eelgrassdrift/internal/ctl"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	app := ctl.App{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Version: settings.Version,
		IsTerminal: term.IsTerminal(int(os.Stdout.Fd())),
		NewID:      uuid.New, Rand: rand.Reader, Sleep: sleeper.Sleep,
		ReadConfiguration: platform.ReadDocument, DecodeOperator: platform.Operator,
	}
	code := app.Run(ctx, os.Args)
	stop()
	os.Exit(code)
}
