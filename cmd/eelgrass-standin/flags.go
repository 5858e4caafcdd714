package main

import (
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/internal/logger"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
)

// maxTime bounds all settings of time.
const maxTime = 24 * time.Hour

func text(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: settings.Env(name)}
}

func number(name string, value int64, usage string) cli.Flag {
	return &cli.Int64Flag{Name: name, Value: value, Usage: usage, Sources: settings.Env(name)}
}

func fraction(name string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: settings.Env(name)}
}

func span(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: settings.Env(name)}
}

// serverFlags are the flags of each subcommand that listens.
func serverFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		text("listen", "127.0.0.1:0", "address to listen on"),
		text("log-level", "info", "debug, info, warn or error"),
		text("faults", "", "faults in force at the start, in the JSON form of PUT /faults"),
		number("seed", 1, "seed of faults by share"),
	}, more...)
}

// values reads the flags of a command and collects their faults.
type values struct {
	settings.Faults
	c *cli.Command
}

func (v *values) server() standin.Server {
	return standin.Server{Listen: v.AddrPort("listen", v.c.String("listen")), Log: v.log()}
}

func (v *values) log() zerolog.Logger {
	l, err := logger.New(os.Stderr, v.c.String("log-level"))
	if err != nil {
		v.Add("log-level", v.c.String("log-level"), "debug, info, warn, error")
	}
	return l
}

func (v *values) seed() uint64 { return uint64(v.int("seed", 0, 1<<62)) }

func (v *values) int(name string, low, high int64) int64 {
	return v.Int(name, v.c.Int64(name), low, high)
}

func (v *values) span(name string) time.Duration {
	return v.Duration(name, v.c.Duration(name), 0, maxTime)
}

func (v *values) float(name string, high float64) float64 {
	f := v.c.Float(name)
	if !(f >= 0 && f <= high) {
		v.Add(name, v.c.String(name), "a number from 0 on, within the bound of the setting")
	}
	return f
}

// faults reads the faults in force at the start.
func faults[T standin.Checker](v *values) T {
	f, err := standin.ParseFaults[T](v.c.String("faults"))
	if err != nil {
		v.Add("faults", v.c.String("faults"), "the JSON form of PUT /faults ("+err.Error()+")")
	}
	return f
}
