package ctl

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/checker"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/direct"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

const (
	// activeTimeout limits the read of the active configuration from a gateway.
	activeTimeout = 5 * time.Second
	// maxConfigurationBytes bounds a configuration record. Peers exchange tables of the same size
	// at most.
	maxConfigurationBytes = 8 << 20
	// maxGateways bounds --gateways.
	maxGateways = 100_000
)

// The exit codes of the command, besides 0.
const (
	findingsExitCode = 1
	unreadExitCode   = 2
)

func (a *App) configurationCommand() *cli.Command {
	return &cli.Command{
		Name: "configuration", Usage: "check the configuration that operators publish in the platform's store", Action: needCommand,
		Commands: []*cli.Command{{
			Name: "check", Usage: "check a configuration before it is published",
			Description: "Reports errors with their lines and fields, entries that are never used and limits that\n" +
				"contradict each other, and with --active or --peers the differences from the active\n" +
				"configuration. Differences are no findings.\n\n" +
				"Exit codes: 0 no findings, 1 findings, 2 the input can't be read.",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "`FILE` with the configuration record in JSON; - reads standard input"},
				&cli.StringFlag{Name: "active", Usage: "`FILE` with the active configuration record, to show the differences"},
				&cli.StringFlag{Name: "peers", Usage: "peer `ADDRESS` of a gateway with direct dispatch that has the active configuration"},
				&cli.DurationFlag{Name: "callers-wait", Usage: "`TIME` for which callers wait for a whole response; 0 if it isn't known"},
				&cli.IntFlag{Name: "gateways", Usage: "`NUMBER` of gateways, among which the retry budget is divided; 0 checks no budget"},
				&cli.FloatFlag{Name: "retry-ratio", Value: direct.DefaultRetryRatio, Usage: "retries per request, as set at the gateways"},
				&cli.FloatFlag{Name: "retry-extra", Value: direct.DefaultRetryExtra, Usage: "retries in a window beyond the ratio, as set at the gateways"},
				&cli.StringSliceFlag{Name: "ignore", Usage: "`RULE` whose findings are left out; may be repeated"},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				n, err := a.checkConfiguration(ctx, c)
				switch {
				case err != nil:
					// Unlike with other commands, the code doesn't depend on the kind of the error: scripts
					// must be able to tell findings from a check that wasn't made.
					return cli.Exit(err.Error(), unreadExitCode)
				case n > 0:
					return cli.Exit(fmt.Sprintf("findings: %d", n), findingsExitCode)
				}
				return nil
			},
		}},
	}
}

// configurationReport is the output of a check.
type configurationReport struct {
	File string `json:"file"`
	// Revision is nil if a gateway would refuse the record.
	Revision *uint64           `json:"revision,omitempty"`
	Findings []checker.Finding `json:"findings"`
	// Active is nil if the active configuration isn't known.
	Active      *activeConfiguration `json:"active,omitempty"`
	Differences []checker.Difference `json:"differences,omitempty"`
}

// activeConfiguration tells which configuration the differences are from.
type activeConfiguration struct {
	// Source is a file or the address of a gateway.
	Source   string `json:"source"`
	Revision uint64 `json:"revision"`
}

// checkConfiguration checks a configuration, prints the report and returns the number of findings.
func (a *App) checkConfiguration(ctx context.Context, c *cli.Command) (int, error) {
	if err := noArguments(c); err != nil {
		return 0, err
	}
	var f settings.Faults
	checkCommon(&f, c)
	k := readChecker(&f, c)
	file, source, peers := c.String("file"), c.String("active"), c.String("peers")
	if source != "" && peers != "" {
		f.Add("peers", peers, "one of active and peers")
	}
	if file == "-" && source == "-" {
		f.Add("active", source, "a file, as the other configuration is read from standard input")
	}
	if err := f.Err(); err != nil {
		return 0, err
	}
	b, err := a.readRecord(file)
	if err != nil {
		return 0, err
	}
	var active *resolver.Configuration
	switch {
	case source != "":
		active, err = a.readActiveFile(source)
	case peers != "":
		source = peers
		active, err = a.readActiveGateway(ctx, peers)
	}
	if err != nil {
		return 0, err
	}
	d := a.ReadConfiguration(b)
	r := configurationReport{File: file, Findings: k.Check(d, active)}
	if d.Configuration != nil {
		r.Revision = &d.Configuration.Revision
	}
	if active != nil {
		r.Active = &activeConfiguration{Source: source, Revision: active.Revision}
		if d.Configuration != nil {
			r.Differences = checker.Compare(active, d)
		}
	}
	if c.String("output") == jsonForm {
		if r.Findings == nil {
			r.Findings = []checker.Finding{}
		}
		return len(r.Findings), writeJSON(a.Out, r)
	}
	return len(r.Findings), printed(r.print(a.Out))
}

// readChecker returns a checker with the settings of a command.
func readChecker(f *settings.Faults, c *cli.Command) *checker.Checker {
	k := &checker.Checker{CallersWait: f.Duration("callers-wait", c.Duration("callers-wait"), 0, 24*time.Hour)}
	gateways := int(f.Int("gateways", int64(c.Int("gateways")), 0, maxGateways))
	ratio := f.Float("retry-ratio", c.Float("retry-ratio"), 0, 1)
	extra := f.Float("retry-extra", c.Float("retry-extra"), 0, 1e6)
	if gateways > 0 {
		share, burst := direct.RetryLimit(ratio, extra, gateways)
		k.Retries = &checker.RetryLimit{Share: share, Burst: burst}
	}
	for _, v := range c.StringSlice("ignore") {
		if !slices.Contains(checker.Rules(), checker.Rule(v)) {
			f.Add("ignore", v, "the name of a rule, such as "+string(checker.ShadowedRoute))
		}
		k.Ignored = append(k.Ignored, checker.Rule(v))
	}
	return k
}

// readRecord reads a configuration record from a file, or from standard input if its name is -.
func (a *App) readRecord(name string) ([]byte, error) {
	const op = "read configuration"
	in := a.In
	if name != "-" {
		h, err := os.Open(name)
		if err != nil {
			return nil, fail(op, classifier.Invalid, "%v", err)
		}
		defer func() { _ = h.Close() }()
		in = h
	}
	b, err := io.ReadAll(io.LimitReader(in, maxConfigurationBytes+1))
	if err != nil {
		return nil, fail(op, classifier.Invalid, "%v", err)
	}
	if len(b) > maxConfigurationBytes {
		return nil, fail(op, classifier.Invalid, "%s has over %d bytes", name, maxConfigurationBytes)
	}
	return b, nil
}

func (a *App) readActiveFile(name string) (*resolver.Configuration, error) {
	b, err := a.readRecord(name)
	if err != nil {
		return nil, err
	}
	d := a.ReadConfiguration(b)
	if d.Configuration == nil {
		e := d.Errors[0]
		return nil, fail("read active configuration", classifier.Invalid, "%s:%d: %s: %s", name, e.Line, visible(e.Field), e.Text)
	}
	return d.Configuration, nil
}

// readActiveGateway returns the configuration in the operator table of a gateway.
func (a *App) readActiveGateway(ctx context.Context, address string) (*resolver.Configuration, error) {
	op := "read active configuration from " + address
	gateway, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fail(op, classifier.Invalid, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, activeTimeout)
	defer cancel()
	items, err := direct.ReadOperators(ctx, gateway)
	if err != nil {
		return nil, err
	}
	var refused error
	for _, i := range items {
		if i.Value == nil {
			continue
		}
		d, err := a.DecodeOperator(i.Key, i.Value)
		switch {
		case err != nil:
			refused = err
		case d != nil && d.Configuration != nil:
			return d.Configuration, nil
		}
	}
	if refused != nil {
		return nil, fail(op, classifier.NotFound, "no record that gateways accept: %v", refused)
	}
	return nil, fail(op, classifier.NotFound, "the gateway has no configuration")
}

// print writes the report as tables.
func (r *configurationReport) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	if len(r.Findings) > 0 {
		row(w, "PLACE", "FIELD", "CLASS", "RULE", "ENTRY", "FINDING")
	}
	for _, f := range r.Findings {
		row(w, fmt.Sprintf("%s:%d", r.File, f.Line), visible(f.Field), string(f.Class), string(f.Rule), f.Entry, f.Text)
	}
	if len(r.Findings) == 0 {
		row(w, "no findings")
	}
	if r.Active != nil {
		row(w)
		row(w, fmt.Sprintf("differences from revision %d of %s: %s", r.Active.Revision, r.Active.Source, r.countText()))
	}
	if len(r.Differences) > 0 {
		row(w, "CHANGE", "PLACE", "FIELD", "ENTRY", "BEFORE", "AFTER")
	}
	for _, d := range r.Differences {
		place := ""
		if d.Line > 0 {
			place = fmt.Sprintf("%s:%d", r.File, d.Line)
		}
		row(w, string(d.Change), place, visible(d.Field), d.Entry, visible(d.Before), visible(d.After))
	}
	return w.Flush()
}

// countText returns the number of differences as text.
func (r *configurationReport) countText() string {
	if r.Revision == nil {
		return "not compared, as gateways would refuse the record"
	}
	return strconv.Itoa(len(r.Differences))
}

// visible returns a text from a file, quoted if it would disturb a table or a terminal.
func visible(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(s)
	}
	return s
}
