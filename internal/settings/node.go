package settings

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Node holds the settings common to all daemons.
type Node struct {
	// Instance, FailureDomain and Region say where the daemon runs.
	Instance, FailureDomain, Region recorder.Name
	// LogURL is the base URL of the platform's log.
	LogURL string
	// StopTimeout is the maximum duration of a planned stop.
	StopTimeout time.Duration
	// Descriptors is the maximum number of open files, Memory the bytes of the instance; 0 means the
	// limit of the process and that the memory isn't known.
	Descriptors int
	Memory      int64
	// Log adds the instance name to each line.
	Log zerolog.Logger
}

// NodeFlags returns the flags of Node.
func NodeFlags() []cli.Flag {
	return append([]cli.Flag{
		String("instance", "", "name of this instance"),
		String("failure-domain", "", "failure domain of this instance"),
		String("region", "", "region of this instance"),
		String("log-url", "", "base URL of the platform's log"),
		Period("stop-timeout", 2*time.Minute, "maximum duration of a planned stop"),
		LogLevel(),
	}, LimitFlags()...)
}

const megabyte = 1_000_000

// LimitFlags returns the flags of the limits of the instance.
func LimitFlags() []cli.Flag {
	return []cli.Flag{
		Int64("descriptors", 0, "maximum number of open file descriptors; 0 for the limit of the process"),
		String("memory-mb", "", "megabytes of memory of the instance; 0 or empty if it isn't known"),
	}
}

// ReadLimits reads and validates the flags that LimitFlags returns. The memory is in bytes.
func (f *Faults) ReadLimits(c *cli.Command) (descriptors int, memory int64) {
	memory = int64(f.OptionalFloat("memory-mb", c.String("memory-mb"), 0, 1e9) * megabyte)
	return int(f.Int("descriptors", c.Int64("descriptors"), 0, 1<<30)), memory
}

// ReadNode reads and validates the flags that NodeFlags returns.
func (f *Faults) ReadNode(c *cli.Command) Node {
	n := Node{
		Instance:      f.Name("instance", c.String("instance")),
		FailureDomain: f.Name("failure-domain", c.String("failure-domain")),
		Region:        f.Name("region", c.String("region")),
		LogURL:        f.URL("log-url", c.String("log-url")),
		StopTimeout:   f.Duration("stop-timeout", c.Duration("stop-timeout"), time.Second, time.Hour),
	}
	n.Descriptors, n.Memory = f.ReadLimits(c)
	n.Log = f.Logger(c).With().Str("instance", string(n.Instance)).Logger()
	return n
}
