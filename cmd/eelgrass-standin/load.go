package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "a load generator that checks every answer",
		Flags: []cli.Flag{
			list("targets", "base URLs of gateways, used in turn"),
			text("accounts", "", "JSON file with the client accounts and their rates"),
			span("duration", 10*time.Second, "time in which requests are sent"),
			span("timeout", 30*time.Second, "bound of each request"),
			list("versions", "allowed versions of answers; none allows all"),
			list("services", "URLs of /stats of all services that run bookings, for the audit"),
			span("probe", 100*time.Millisecond, "time between two looks at /readyz of the targets, as of a load balancer; 0 for none"),
			text("authorities", "", "PEM file of the authorities of the gateways"),
			text("json", "", "file for the report as JSON; - prints it in place of the table"),
			number("seed", 1, "seed of the requests and their times"),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := newLoad(c)
			if err != nil {
				return err
			}
			r, err := l.Run(ctx)
			if e := write(c.Root().Writer, c.String("json"), r); e != nil {
				return e
			}
			return err
		},
	}
}

func list(name, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, Sources: settings.Env(name)}
}

func newLoad(c *cli.Command) (*load.Load, error) {
	v := &values{c: c}
	l := &load.Load{
		Duration: v.span("duration"), Timeout: v.span("timeout"), Probe: v.span("probe"), Versions: c.StringSlice("versions"), Seed: v.seed(),
	}
	for _, u := range c.StringSlice("targets") {
		l.Targets = append(l.Targets, v.URL("targets", u))
	}
	if len(l.Targets) == 0 {
		v.Add("targets", "", "one or more URLs such as http://127.0.0.1:7000")
	}
	for _, u := range c.StringSlice("services") {
		l.Services = append(l.Services, v.URL("services", u))
	}
	var err error
	if l.Accounts, err = load.ReadAccounts(c.String("accounts")); err != nil {
		v.Add("accounts", c.String("accounts"), "a file with accounts ("+err.Error()+")")
	}
	tls, err := authenticator.Files{Authorities: v.File("authorities", c.String("authorities"))}.Client()
	if err != nil {
		v.Add("authorities", c.String("authorities"), "a PEM file ("+err.Error()+")")
	}
	if err := v.Err(); err != nil {
		return nil, err
	}
	l.Client = &http.Client{Transport: &http.Transport{
		TLSClientConfig: tls, MaxIdleConnsPerHost: 1000, IdleConnTimeout: time.Minute,
	}}
	return l, nil
}

func write(w io.Writer, path string, r load.Report) error {
	if path != "-" {
		if err := r.Print(w); err != nil {
			return err
		}
	}
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	b = append(b, '\n')
	if path == "-" {
		_, err = w.Write(b)
		return err
	}
	return errors.WithStack(os.WriteFile(path, b, 0o644))
}
