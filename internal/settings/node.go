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
	// Log adds the instance name to each line.
	Log zerolog.Logger
}

// NodeFlags returns the flags of Node.
func NodeFlags() []cli.Flag {
	return []cli.Flag{
		String("instance", "", "name of this instance"),
		String("failure-domain", "", "failure domain of this instance"),
		String("region", "", "region of this instance"),
		String("log-url", "", "base URL of the platform's log"),
		Period("stop-timeout", 2*time.Minute, "maximum duration of a planned stop"),
		LogLevel(),
	}
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
	n.Log = f.Logger(c).With().Str("instance", string(n.Instance)).Logger()
	return n
}
