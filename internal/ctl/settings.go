package ctl

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
)

// Forms of the output.
const (
	tableForm = "table"
	jsonForm  = "json"
)

// keyVariable holds the operator's key. There is no flag for it, since flags
// are visible in the list of processes.
const keyVariable = "EELGRASS_KEY"

func serverFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "gateway", Usage: "operator addresses of the gateways as `IP:PORT` list, tried in order", Sources: settings.Env("gateway")},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` that holds the operator's key; without it the key is read from " + keyVariable, Sources: settings.Env("key-file")},
		&cli.StringFlag{Name: "tls-authorities", Usage: "`FILE` with the certificates of the authorities that the gateways are checked against", Sources: settings.Env("tls-authorities")},
		&cli.StringFlag{Name: "tls-certificate", Usage: "`FILE` with the client certificate, where the gateways ask for one", Sources: settings.Env("tls-certificate")},
		&cli.StringFlag{Name: "tls-key", Usage: "`FILE` with the key of the client certificate", Sources: settings.Env("tls-key")},
		&cli.DurationFlag{Name: "timeout", Value: 15 * time.Second, Usage: "`TIME` for one attempt at one gateway", Sources: settings.Env("timeout")},
		outputFlag(),
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: tableForm, Usage: "`FORM` of the output: table or json", Sources: settings.Env("output")}
}

// changeFlags are the flags of commands that change something.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` that tells the next shift why"},
		&cli.StringFlag{Name: "operation", Usage: "operation `ID` (a UUID) of an earlier attempt, to repeat it without a second effect"},
		expectFlag(),
	)
}

func expectFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "expect", Usage: "`REVISION` of the object that the decision is based on; a newer one is a conflict. With apply also KEY=REVISION, such as model/assistant=12"}
}

// options are the settings of one run.
type options struct {
	gateways []netip.AddrPort
	key      string
	tls      authenticator.Files
	timeout  time.Duration
	output   string

	// Settings of a change.
	reason    string
	operation uuid.UUID
	// repeated tells that an earlier command used the operation, whose attempts
	// may have been appended.
	repeated bool
	// expect holds the expected revisions by key; the key is empty where none
	// is given.
	expect map[string]uint64
}

// options reads and checks all settings of a command that calls the gateways.
func (a *App) options(c *cli.Command) (options, error) {
	var f settings.Faults
	checkCommon(&f, c)
	o := a.readOptions(&f, c)
	return o, f.Err()
}

// checkCommon checks the settings that commands with and without a server share.
func checkCommon(f *settings.Faults, c *cli.Command) {
	f.OneOf("output", c.String("output"), tableForm, jsonForm)
	for _, l := range c.Flags {
		switch n := l.Names()[0]; n {
		case "file":
			if c.String(n) == "" {
				f.Add(n, "", "the path of a declaration, or - for standard input")
			}
		case "model", "version":
			f.Name(n, c.String(n))
		}
	}
}

// readOptions reads the settings of the gateways and of a change.
func (a *App) readOptions(f *settings.Faults, c *cli.Command) options {
	o := options{output: c.String("output")}
	o.gateways = f.AddrPorts("gateway", c.StringSlice("gateway"))
	if len(o.gateways) == 0 {
		f.Add("gateway", "", "a list of IP addresses and ports such as 127.0.0.1:7100,127.0.0.1:7101")
	}
	o.key = readKey(f, c.String("key-file"))
	o.tls = authenticator.Files{
		Certificate: f.File("tls-certificate", c.String("tls-certificate")),
		Key:         f.File("tls-key", c.String("tls-key")),
		Authorities: f.File("tls-authorities", c.String("tls-authorities")),
	}
	if (o.tls.Certificate == "") != (o.tls.Key == "") {
		f.Add("tls-key", o.tls.Key, "a file for both of tls-certificate and tls-key, or for none")
	}
	o.timeout = f.Duration("timeout", c.Duration("timeout"), 100*time.Millisecond, time.Hour)
	o.readChange(f, c)
	if o.operation == uuid.Nil {
		o.operation = a.NewID()
	}
	return o
}

func (o *options) readChange(f *settings.Faults, c *cli.Command) {
	if o.reason = c.String("reason"); len(o.reason) > 500 {
		f.Add("reason", o.reason[:20]+"...", "at most 500 bytes")
	}
	if v := c.String("operation"); v != "" {
		id, err := uuid.Parse(v)
		if err != nil || id == uuid.Nil {
			f.Add("operation", v, "a UUID")
		}
		o.operation, o.repeated = id, true
	}
	o.expect = make(map[string]uint64)
	for _, v := range c.StringSlice("expect") {
		key, number := "", v
		if k, n, ok := strings.Cut(v, "="); ok {
			key, number = k, n
		}
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			f.Add("expect", v, "a revision such as 12, or KEY=REVISION with apply")
		}
		o.expect[key] = n
	}
	if _, bare := o.expect[""]; c.Name != "apply" && len(o.expect) > 0 && (!bare || len(o.expect) > 1) {
		f.Add("expect", strings.Join(c.StringSlice("expect"), ","), "one revision; only apply takes KEY=REVISION")
	}
}

func readKey(f *settings.Faults, file string) string {
	v := os.Getenv(keyVariable)
	if file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			f.Add("key-file", file, "the path of a readable file")
			return ""
		}
		v = string(b)
	}
	if v = strings.TrimSpace(v); v == "" || len(v) > 512 {
		f.Add("key", "(not shown)", "1 to 512 bytes in "+keyVariable+" or in the file of --key-file")
	}
	return v
}
