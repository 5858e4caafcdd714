package agent

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Command returns the command line of the agent.
func Command() *cli.Command {
	return &cli.Command{
		Name:    "eelgrass-agent",
		Usage:   "stand before one engine or plain service and spread weights to peers",
		Version: settings.Version,
		Flags:   flags(),
		Commands: []*cli.Command{settings.Check(flags(), func(c *cli.Command) error {
			_, err := read(c)
			return err
		})},
		Action: func(ctx context.Context, c *cli.Command) error {
			a, err := read(c)
			if err != nil {
				return err
			}
			a.limitMemory()
			return a.Run(ctx)
		},
	}
}

func flags() []cli.Flag {
	f := append(settings.NodeFlags(),
		settings.String("serves", "", "what the endpoint serves: model/NAME or service/NAME"),
		settings.String("listen", "127.0.0.1:8090", "IP address and port for gateways and peers"),
		settings.String("advertise", "", "IP address and port that gateways and peers are told; empty for the one of listen"),
		settings.String("local", "127.0.0.1:8091", "loopback address and port for the engine, health checks and metrics"),
		settings.String("target-url", "", "base URL of the engine or service"),
		settings.Strings("gateways", "relay addresses of the failure domain's gateways"),
		settings.Strings("fallback-gateways", "relay addresses of gateways of other failure domains, used while none of the own answers"),
		settings.String("origin-url", "", "base URL of the origin of weights"),
		settings.String("origin-region", "", "region in which the origin lies"),
		settings.Period("log-retention", 7*24*time.Hour, "time for which the log keeps records; 0 where it is not known"),
		settings.Int64("weights-memory", 2<<30, "bytes of memory for weights"),
		settings.Int64("link-rate", 0, "bytes a second of the instance's link for chunks; 0 for no bound"),
		settings.Int64("cross-region-rate", 0, "bytes a second of chunks into this region from others; 0 for no bound"),
		settings.Int64("origin-rate", 0, "reads a second that this instance makes at the origin; 0 for no bound"),
		settings.Int64("cold-limit", 2, "requests at once at an endpoint that has just started"),
		settings.Int64("max-limit", 256, "requests at once at a warm endpoint"),
		settings.Int64("grow-every", 4, "completed requests that raise the limit of a cold endpoint by 1; 0 lets it double"),
	)
	return append(f, settings.TLS("", "gateways and peers")...)
}

// read checks the settings.
func read(c *cli.Command) (*Agent, error) {
	var f settings.Faults
	a := &Agent{
		Node:             f.ReadNode(c),
		Serves:           readServes(&f, c.String("serves")),
		Listen:           f.AddrPort("listen", c.String("listen")),
		Advertise:        f.OptionalAddrPort("advertise", c.String("advertise")),
		Local:            f.AddrPort("local", c.String("local")),
		Target:           f.URL("target-url", c.String("target-url")),
		Gateways:         f.AddrPorts("gateways", c.StringSlice("gateways")),
		FallbackGateways: f.AddrPorts("fallback-gateways", c.StringSlice("fallback-gateways")),
		TLS:              f.ReadTLS(c, ""),
		LogRetention:     f.Duration("log-retention", c.Duration("log-retention"), 0, 10*365*24*time.Hour),
		WeightsMemory:    f.Int("weights-memory", c.Int64("weights-memory"), 1<<20, 1<<42),
		Rates: Rates{
			Link:        f.Int("link-rate", c.Int64("link-rate"), 0, 1<<40),
			CrossRegion: f.Int("cross-region-rate", c.Int64("cross-region-rate"), 0, 1<<40),
			Origin:      f.Int("origin-rate", c.Int64("origin-rate"), 0, 1<<20),
		},
		Cold:      int(f.Int("cold-limit", c.Int64("cold-limit"), 1, 10_000)),
		Most:      int(f.Int("max-limit", c.Int64("max-limit"), 1, 100_000)),
		GrowEvery: int(f.Int("grow-every", c.Int64("grow-every"), 0, 10_000)),
	}
	if len(a.Gateways) == 0 {
		f.Add("gateways", "", "at least one IP address and port")
	}
	if a.Local.IsValid() && !a.Local.Addr().IsLoopback() {
		f.Add("local", a.Local.String(), "a loopback address")
	}
	if a.model() != "" {
		a.OriginURL = f.URL("origin-url", c.String("origin-url"))
		a.OriginRegion = f.Name("origin-region", c.String("origin-region"))
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	m, err := meter.New("eelgrass-agent")
	a.Metrics = m
	return a, err
}

func readServes(f *settings.Faults, s string) string {
	kind, name, _ := strings.Cut(s, "/")
	if kind != "model" && kind != "service" || recorder.Name(name).Check() != nil {
		f.Add("serves", s, "model/NAME or service/NAME")
	}
	return s
}
