package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// ExitCode is the exit code of a program with invalid settings.
const ExitCode = 2

// Env returns the environment variable of a flag as a value source: "peer-listen" is read from
// EELGRASS_PEER_LISTEN.
func Env(flag string) cli.ValueSourceChain {
	return cli.EnvVars("EELGRASS_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// Faults collects invalid settings. The zero value is ready to use.
type Faults struct {
	list []string
}

// Add records an invalid value of a setting and describes the allowed values.
func (f *Faults) Add(setting, value, allowed string) {
	f.list = append(f.list, fmt.Sprintf("setting %s: %q is invalid; allowed: %s", setting, value, allowed))
}

// Err returns all faults in one message with exit code 2, or nil.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return cli.Exit(strings.Join(f.list, "\n"), ExitCode)
}

// AddrPort parses an IP address and port.
func (f *Faults) AddrPort(setting, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		f.Add(setting, value, "an IP address and a port such as 127.0.0.1:7000")
	}
	return a
}

// AddrPorts parses a list of IP addresses and ports. It skips empty entries,
// because an empty environment variable yields one.
func (f *Faults) AddrPorts(setting string, values []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, v := range values {
		if v != "" {
			out = append(out, f.AddrPort(setting, v))
		}
	}
	return out
}

// URL validates the base URL of an HTTP service and returns it without a trailing
// slash. A query or a fragment is refused, because paths are added at the end.
func (f *Faults) URL(setting, value string) string {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || strings.ContainsAny(value, "?#") {
		f.Add(setting, value, "a URL such as http://127.0.0.1:7000")
		return ""
	}
	return strings.TrimSuffix(value, "/")
}

// Name validates the name of an object.
func (f *Faults) Name(setting, value string) recorder.Name {
	n := recorder.Name(value)
	if n.Check() != nil {
		f.Add(setting, value, "1 to 63 characters from a-z, 0-9, '-' and '.'")
	}
	return n
}

// Int checks that an integer is between low and high, inclusive.
func (f *Faults) Int(setting string, value, low, high int64) int64 {
	if value < low || value > high {
		f.Add(setting, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
	return value
}

// Duration checks that a duration is between low and high, inclusive.
func (f *Faults) Duration(setting string, value, low, high time.Duration) time.Duration {
	if value < low || value > high {
		f.Add(setting, value.String(), fmt.Sprintf("%v to %v", low, high))
	}
	return value
}

// File checks that a file can be opened for reading; an empty value is allowed.
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

// OneOf checks that a value is one of the allowed values.
func (f *Faults) OneOf(setting, value string, allowed ...string) string {
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	f.Add(setting, value, strings.Join(allowed, ", "))
	return value
}

// OptionalFloat returns the number of a setting that may be left empty; 0 if it is.
func (f *Faults) OptionalFloat(setting, value string, low, high float64) float64 {
	if value == "" {
		return 0
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= low && n <= high) {
		f.Add(setting, value, fmt.Sprintf("a number of %g to %g, or nothing", low, high))
		return 0
	}
	return n
}

// Float checks that a number is between low and high, inclusive.
func (f *Faults) Float(setting string, value, low, high float64) float64 {
	if value < low || value > high {
		f.Add(setting, fmt.Sprint(value), fmt.Sprintf("%g to %g", low, high))
	}
	return value
}
