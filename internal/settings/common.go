package settings

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
	"github.com/eelgrassdrift/eelgrassdrift/internal/logger"
)

// Version is the version of the programs.
const Version = "0.1.0"

// String returns a string flag that is also read from its environment variable.
func String(name, value, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: Env(name)}
}

// Strings returns a string list flag that may be repeated or hold a
// comma-separated list.
func Strings(name, usage string) *cli.StringSliceFlag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, Sources: Env(name)}
}

// Int64 returns an integer flag that is also read from its environment variable.
func Int64(name string, value int64, usage string) *cli.Int64Flag {
	return &cli.Int64Flag{Name: name, Value: value, Usage: usage, Sources: Env(name)}
}

// Period returns a duration flag that is also read from its environment variable.
func Period(name string, value time.Duration, usage string) *cli.DurationFlag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: Env(name)}
}

// TLS returns the certificate, key and authorities flags. Their names begin with
// prefix, such as "caller-" or "".
func TLS(prefix, what string) []cli.Flag {
	return []cli.Flag{
		String(prefix+"tls-certificate", "", "PEM file of the certificate for "+what),
		String(prefix+"tls-key", "", "PEM file of the certificate's key"),
		String(prefix+"tls-authorities", "", "PEM file of the authorities that peers are checked against; turns on mutual TLS"),
	}
}

// ReadTLS reads and validates the flags that TLS returns for the same prefix.
func (f *Faults) ReadTLS(c *cli.Command, prefix string) authenticator.Files {
	t := authenticator.Files{
		Certificate: f.File(prefix+"tls-certificate", c.String(prefix+"tls-certificate")),
		Key:         f.File(prefix+"tls-key", c.String(prefix+"tls-key")),
		Authorities: f.File(prefix+"tls-authorities", c.String(prefix+"tls-authorities")),
	}
	if (t.Certificate == "") != (t.Key == "") {
		f.Add(prefix+"tls-key", t.Key, "a key together with a certificate")
	}
	return t
}

// OptionalAddrPort parses an IP address and port; "" yields the zero value.
func (f *Faults) OptionalAddrPort(setting, value string) netip.AddrPort {
	if value == "" {
		return netip.AddrPort{}
	}
	return f.AddrPort(setting, value)
}

// LogLevel returns the log-level flag.
func LogLevel() cli.Flag {
	return String("log-level", "info", "minimum level of log lines: debug, info, warn or error")
}

// Logger returns the logger of a program, which writes to standard error.
func (f *Faults) Logger(c *cli.Command) zerolog.Logger {
	l, err := logger.New(os.Stderr, f.OneOf("log-level", c.String("log-level"), "debug", "info", "warn", "error"))
	if err != nil {
		return zerolog.Nop()
	}
	return l
}

// Check returns the "check" command, which validates the settings of a program
// without starting it.
func Check(flags []cli.Flag, read func(*cli.Command) error) *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check the settings and exit",
		Flags: flags,
		Action: func(_ context.Context, c *cli.Command) error {
			if err := read(c); err != nil {
				return err
			}
			_, err := c.Root().Writer.Write([]byte("settings are valid\n"))
			return err
		},
	}
}

// Float returns a floating-point flag that is also read from its environment
// variable.
func Float(name string, value float64, usage string) *cli.FloatFlag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: Env(name)}
}
