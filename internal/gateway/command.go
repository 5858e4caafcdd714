package gateway

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// gcPercent is the value of GOGC unless it is set in the environment. A node has
// 32 MB for control; the default of 100 lets the heap grow to twice the live heap.
const gcPercent = 50

// Command returns the command line of the gateway.
func Command() *cli.Command {
	return &cli.Command{
		Name:    "eelgrass-gateway",
		Usage:   "take callers' requests, serve the operator API and relay the configuration",
		Version: settings.Version,
		Flags:   flags(),
		Commands: []*cli.Command{settings.Check(flags(), func(c *cli.Command) error {
			_, err := read(c)
			return err
		})},
		Action: func(ctx context.Context, c *cli.Command) error {
			g, err := read(c)
			if err != nil {
				return err
			}
			if os.Getenv("GOGC") == "" {
				debug.SetGCPercent(gcPercent)
			}
			return g.Run(ctx)
		},
	}
}

func flags() []cli.Flag {
	f := append(settings.NodeFlags(),
		settings.String("callers", "127.0.0.1:8080", "IP address and port for callers"),
		settings.String("operators", "127.0.0.1:8081", "IP address and port of the operator API"),
		settings.String("relay", "127.0.0.1:8082", "IP address and port for agents and gateways"),
		settings.String("peers", "127.0.0.1:8083", "IP address and port for requests of gateways of other failure domains"),
		settings.Strings("known-gateways", "relay addresses of other gateways"),
		settings.String("instances-url", "", "base URL of the platform's instance list"),
		settings.String("bootstrap-key-digest", "", "SHA-256 of the key for the first set-up, in hexadecimal"),
		settings.Period("request-timeout", time.Minute, "longest time of a request to a model"),
		settings.Int64("account-share", 25, "percent of the account limits taken while no other gateway is known"),
		&cli.BoolFlag{Name: "spill-over", Value: true, Usage: "send requests to other failure domains when the own one has no room", Sources: settings.Env("spill-over")},
		settings.Period("balancer-wait", 5*time.Second, "time from not ready to the last new request in a planned stop"),
		settings.Int64("snapshot-every", 1000, "records after which a snapshot is written to the log"),
		settings.Period("snapshot-interval", 10*time.Minute, "time after which a snapshot is repeated; well below the log's retention"),
	)
	f = append(f, settings.TLS("caller-", "callers and operators")...)
	return append(f, settings.TLS("", "this system's own processes")...)
}

// read returns a Gateway made from the settings, or an error that lists all
// invalid ones.
func read(c *cli.Command) (*Gateway, error) {
	var f settings.Faults
	g := &Gateway{
		Node:             f.ReadNode(c),
		Callers:          f.AddrPort("callers", c.String("callers")),
		Operators:        f.AddrPort("operators", c.String("operators")),
		Relay:            f.AddrPort("relay", c.String("relay")),
		Peers:            f.AddrPort("peers", c.String("peers")),
		Known:            f.AddrPorts("known-gateways", c.StringSlice("known-gateways")),
		InstancesURL:     f.URL("instances-url", c.String("instances-url")),
		CallerTLS:        f.ReadTLS(c, "caller-"),
		TLS:              f.ReadTLS(c, ""),
		RequestTimeout:   f.Duration("request-timeout", c.Duration("request-timeout"), time.Second, time.Hour),
		AccountShare:     float64(f.Int("account-share", c.Int64("account-share"), 1, 100)) / 100,
		SpillOver:        c.Bool("spill-over"),
		BalancerWait:     f.Duration("balancer-wait", c.Duration("balancer-wait"), 0, 10*time.Minute),
		SnapshotEvery:    uint64(f.Int("snapshot-every", c.Int64("snapshot-every"), 1, 1_000_000)),
		SnapshotInterval: f.Duration("snapshot-interval", c.Duration("snapshot-interval"), time.Second, 24*time.Hour),
	}
	if s := c.String("bootstrap-key-digest"); s != "" {
		d, err := recorder.ParseDigest(s)
		if err != nil {
			f.Add("bootstrap-key-digest", s, "64 hexadecimal digits")
		}
		g.Bootstrap = d
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	m, err := meter.New("eelgrass-gateway")
	g.Metrics = m
	return g, err
}
