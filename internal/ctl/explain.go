package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/explainer"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
)

func (a *App) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell the story of one request from log files", ArgsUsage: "REQUEST-ID FILE...",
		Description: "Reads the logs of gateways and agents; without files, the standard input. Lines that carry the id are\n" +
			"marked with *, the others are what the same processes believed in the 10 s before.",
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return cli.Exit(c.FullName()+" takes a request id and log files", 2)
			}
			var f settings.Faults
			checkCommon(&f, c)
			if err := f.Err(); err != nil {
				return err
			}
			return a.explain(c.String("output"), c.Args().First(), c.Args().Tail())
		},
	}
}

func (a *App) explain(form, request string, files []string) error {
	var logs []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return fail("open log", classifier.Invalid, "%v", err)
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, a.In)
	}
	s, err := explainer.Explain(request, logs...)
	if err != nil {
		return err
	}
	if form == jsonForm {
		return writeJSON(a.Out, s)
	}
	w := tabwriter.NewWriter(a.Out, 0, 8, 2, ' ', 0)
	for i := range s.Lines {
		writeStoryLine(w, &s.Lines[i])
	}
	return printed(w.Flush())
}

func writeStoryLine(w io.Writer, l *explainer.Line) {
	mark := "*"
	if l.Background {
		mark = ""
	}
	var fields []string
	for _, p := range l.Fields {
		if p.Key != "level" && p.Key != "request" && p.Value != "" {
			fields = append(fields, p.Key+"="+p.Value)
		}
	}
	// A failed write shows at the flush of the table.
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", mark, l.Time.Format("15:04:05.000"), l.Instance, l.Event, strings.Join(fields, " "))
	if l.Note != "" {
		_, _ = fmt.Fprintf(w, "\t\t\t\t(%s)\n", l.Note)
	}
}
