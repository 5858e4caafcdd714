package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// ExitCode is the exit code of a program with wrong settings.
const ExitCode = 2

// Env returns the environment variable of a flag: "peer-listen" is read from
// EELGRASS_PEER_LISTEN.
func Env(flag string) cli.ValueSourceChain {
	return cli.EnvVars("EELGRASS_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// Faults collects wrong settings. The zero value is ready.
type Faults struct {
	list []string
}

// Add records that the setting has a wrong value, and what is allowed.
func (f *Faults) Add(setting, value, allowed string) {
	f.list = append(f.list, fmt.Sprintf("setting %s: %q is wrong; allowed: %s", setting, value, allowed))
}

// Err returns all faults in one message with exit code 2, or nil.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return cli.Exit(strings.Join(f.list, "\n"), ExitCode)
}

// AddrPort reads an IP address and port.
func (f *Faults) AddrPort(setting, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		f.Add(setting, value, "an IP address and a port such as 127.0.0.1:7000")
	}
	return a
}

// AddrPorts reads a list of IP addresses and ports. Empty entries are left out,
// since an empty variable gives one.
func (f *Faults) AddrPorts(setting string, values []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, v := range values {
		if v != "" {
			out = append(out, f.AddrPort(setting, v))
		}
	}
	return out
}

// URL reads the base URL of an HTTP service. The result has no slash at its end.
func (f *Faults) URL(setting, value string) string {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f.Add(setting, value, "a URL such as http://127.0.0.1:7000")
		return ""
	}
	return strings.TrimSuffix(value, "/")
}

// Name reads the name of an object.
func (f *Faults) Name(setting, value string) recorder.Name {
	n := recorder.Name(value)
	if n.Check() != nil {
		f.Add(setting, value, "1 to 63 characters from a-z, 0-9, '-' and '.'")
	}
	return n
}

// Int checks that a number is in low to high.
func (f *Faults) Int(setting string, value, low, high int64) int64 {
	if value < low || value > high {
		f.Add(setting, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
	return value
}

// Duration checks that a time is in low to high.
func (f *Faults) Duration(setting string, value, low, high time.Duration) time.Duration {
	if value < low || value > high {
		f.Add(setting, value.String(), fmt.Sprintf("%v to %v", low, high))
	}
	return value
}

// File checks that a file can be read; an empty value is allowed.
func (f *Faults) File(setting, value string) string {
	if value == "" {
		return ""
	}
	h, err := os.Open(value)
	if err != nil {
		f.Add(setting, value, "the path of a readable file")
		return value
	}
	_ = h.Close()
	return value
}

// OneOf checks that a value is one of the allowed ones.
func (f *Faults) OneOf(setting, value string, allowed ...string) string {
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	f.Add(setting, value, strings.Join(allowed, ", "))
	return value
}

// Float checks the bounds of a number.
func (f *Faults) Float(setting string, value, low, high float64) float64 {
	if value < low || value > high {
		f.Add(setting, fmt.Sprint(value), fmt.Sprintf("%g to %g", low, high))
	}
	return value
}
