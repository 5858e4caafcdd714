package direct

import (
	"context"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/logger"
	"github.com/eelgrassdrift/eelgrassdrift/internal/meter"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/isolator"
)

// mega is the number of bytes of a megabyte, and of bits of a megabit.
const mega = 1e6

// The GOGC percentages, used where the environment sets none. They are below the
// default of 100 because instances have little memory and the live heap is small.
const (
	gatewayGCPercent = 50
	agentGCPercent   = 40
)

// GatewayCommand returns the command of the gateway.
func GatewayCommand(p *Platform) *cli.Command {
	f := append(commonFlags(),
		settings.String("front", "", "IP address and port for callers"),
		settings.String("ready", "", "IP address and port of the readiness check for the load balancer"),
		settings.Float("cold-factor", 1, "factor on the request rate of a cold endpoint"),
		settings.Float("cold-slack", 0, "requests per second added to the request rate of a cold endpoint"),
		settings.Float("retry-ratio", DefaultRetryRatio, "retries per request, over all gateways"),
		settings.Float("retry-extra", DefaultRetryExtra, "retries in a window beyond the ratio, over all gateways"),
		settings.Int64("hold-endings", isolator.DefaultMaxEndings, "endpoints that end under a request, or under requests with one part of their prompts, before it is held"),
		settings.Period("hold-time", isolator.DefaultHold, "time of a hold until a first trial"),
		settings.Float("lowest-share", 0.1, "part of the slots of a service that less urgent requests always get, where requests differ in rank"),
		settings.String("half-open", "", "try an engine that failed with single requests while others wait: true, mixed (where requests differ in rank or responses vary widely in length), or false or empty"),
		settings.Strings("unheld-routes", "routes whose requests are never held"),
		settings.Period("balancer-wait", 2600*time.Millisecond, "time from reporting not ready to the last new connection in a planned stop"),
		settings.Int64("drain-ms", 2000, "milliseconds after which a draining endpoint must get no more requests"),
		settings.Int64("stop-seconds", 8, "longest time of a planned stop in seconds"),
		settings.String("link-mbps", "", "megabits per second of the instance's link in each direction; 0 or empty if it isn't known"),
	)
	return command("send requests straight to endpoints, on a platform without agents in front of them", f, gatewayGCPercent, func(c *cli.Command) (process, common, error) {
		var s settings.Faults
		n := readCommon(&s, c)
		g := &Gateway{
			Name: n.name, Domain: n.domain, Region: n.regions[n.domain], Peers: n.peers, Metrics: n.metrics, Store: n.store, Seeds: n.seeds,
			Regions: n.regions, MaxVersionDelay: n.within, Log: n.log, Platform: p,
			Front: s.AddrPort("front", c.String("front")), Ready: s.AddrPort("ready", c.String("ready")),
			Cold: dispatcher.ColdLimit{
				Factor: s.Float("cold-factor", c.Float("cold-factor"), 0, 1000),
				Slack:  s.Float("cold-slack", c.Float("cold-slack"), 0, 1e6),
			},
			LowestShare:  s.Float("lowest-share", c.Float("lowest-share"), 0, 1),
			HalfOpen:     dispatcher.HalfOpen(s.OneOf("half-open", c.String("half-open"), "", string(dispatcher.NeverHalfOpen), string(dispatcher.AlwaysHalfOpen), string(dispatcher.HalfOpenMixed))),
			RetryRatio:   s.Float("retry-ratio", c.Float("retry-ratio"), 0, 1),
			RetryExtra:   s.Float("retry-extra", c.Float("retry-extra"), 0, 1e6),
			Drain:        time.Duration(s.Int("drain-ms", c.Int64("drain-ms"), 100, 1<<31)) * time.Millisecond,
			HoldEndings:  int(s.Int("hold-endings", c.Int64("hold-endings"), 1, isolator.DefaultMaxEndings)),
			HoldTime:     s.Duration("hold-time", c.Duration("hold-time"), time.Second, 24*time.Hour),
			UnheldRoutes: c.StringSlice("unheld-routes"),
			BalancerWait: s.Duration("balancer-wait", c.Duration("balancer-wait"), 0, time.Minute),
			StopTimeout:  time.Duration(s.Int("stop-seconds", c.Int64("stop-seconds"), 1, 3600)) * time.Second,
			Descriptors:  n.descriptors,
			Memory:       n.memory,
			Link:         s.OptionalFloat("link-mbps", c.String("link-mbps"), 0, 1e6) * mega / 8,
		}
		if err := s.Err(); err != nil {
			return nil, n, err
		}
		m, err := meter.New("eelgrass-gateway")
		g.Meter = m
		return g, n, err
	})
}

// AgentCommand returns the command of the agent.
func AgentCommand(p *Platform) *cli.Command {
	f := append(commonFlags(),
		settings.String("engine", "", "IP address and port of the engine of this instance"),
		settings.String("service", "", "service of the engine"),
		settings.Float("link-mbps", 0, "megabits per second of the instance's link; 0 for no limit"),
		settings.String("lend-cold-rate", "", "lend the request rate of the engine to gateways by their demand while it is cold: true, ranked (where requests to the service differ in rank), or false or empty"),
		settings.Float("cold-factor", 1, "factor on the request rate of a cold endpoint, as at the gateways"),
		settings.Float("cold-slack", 0, "requests per second added to the request rate of a cold endpoint, as at the gateways"),
		settings.Float("region-mbps", 0, "megabits per second between two regions; 0 for no limit"),
	)
	return command("load the target version into the engine of this instance", f, agentGCPercent, func(c *cli.Command) (process, common, error) {
		var s settings.Faults
		n := readCommon(&s, c)
		a := &Agent{
			Name: n.name, Domain: n.domain, Region: n.regions[n.domain], Service: c.String("service"), Peers: n.peers,
			Metrics: n.metrics, Store: n.store, Seeds: n.seeds, Regions: n.regions, MaxVersionDelay: n.within, Log: n.log, Platform: p,
			Descriptors: n.descriptors, Memory: n.memory,
			Engine:     s.AddrPort("engine", c.String("engine")),
			Link:       s.Float("link-mbps", c.Float("link-mbps"), 0, 1e6) * mega,
			RegionLink: s.Float("region-mbps", c.Float("region-mbps"), 0, 1e6) * mega,
			// A platform that lacks the value fills an empty one into the environment variable.
			Lending: Lending(s.OneOf("lend-cold-rate", c.String("lend-cold-rate"), "", string(NeverLend), string(AlwaysLend), string(LendRanked))),
			Cold: dispatcher.ColdLimit{
				Factor: s.Float("cold-factor", c.Float("cold-factor"), 0, 1000),
				Slack:  s.Float("cold-slack", c.Float("cold-slack"), 0, 1e6),
			},
		}
		if a.Service == "" {
			s.Add("service", "", "the name of a service")
		}
		if err := s.Err(); err != nil {
			return nil, n, err
		}
		m, err := meter.New("eelgrass-agent")
		a.Meter = m
		return a, n, err
	})
}

// process is a gateway or an agent.
type process interface {
	Run(ctx context.Context) error
}

// command returns the direct command of a process, with a subcommand that checks
// the settings only.
func command(usage string, f []cli.Flag, gcPercent int, read func(*cli.Command) (process, common, error)) *cli.Command {
	return &cli.Command{
		Name: "direct", Usage: usage, Flags: f,
		Commands: []*cli.Command{settings.Check(f, func(c *cli.Command) error { _, _, err := read(c); return err })},
		Action: func(ctx context.Context, c *cli.Command) error {
			p, n, err := read(c)
			if err != nil {
				return err
			}
			defer n.closer.Close()
			setGCPercent(gcPercent)
			defer ignoreHangup(n.log)()
			return p.Run(ctx)
		},
	}
}

// ignoreHangup logs SIGHUP, which would end the process by default, until the
// returned function is called. There is nothing to reload: all settings are flags and
// environment variables, and changes take effect at the next start.
func ignoreHangup(log zerolog.Logger) (stop func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			log.Info().Str("reason", "settings are flags").Msg("reload-kept-settings")
		}
	}()
	return func() {
		signal.Stop(hup)
		close(hup)
	}
}

// setGCPercent sets the GOGC percentage unless the environment does.
func setGCPercent(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}

func commonFlags() []cli.Flag {
	return append([]cli.Flag{
		settings.String("name", "", "name of this instance"),
		settings.String("failure-domain", "", "failure domain of this instance"),
		settings.Strings("regions", "region of each failure domain, as DOMAIN=REGION"),
		settings.String("peers", "", "IP address and port for other gateways and agents"),
		settings.Strings("seeds", "peer addresses (IP and port) of gateways to start from"),
		settings.String("metrics", "", "IP address and port of the metrics; empty for none"),
		settings.String("store", "", "IP address and port of the platform's store"),
		settings.Int64("version-ms", 8000, "milliseconds in which all instances have to serve a new target version"),
		settings.LogLevel(),
	}, settings.LimitFlags()...)
}

// common holds the settings that the gateway and the agent share.
type common struct {
	name, domain          string
	regions               map[string]string
	peers, metrics, store netip.AddrPort
	seeds                 []netip.AddrPort
	within                time.Duration
	descriptors           int
	memory                int64
	log                   zerolog.Logger
	closer                io.Closer
}

func readCommon(s *settings.Faults, c *cli.Command) common {
	n := common{
		name: c.String("name"), domain: c.String("failure-domain"), regions: readRegions(s, c.StringSlice("regions")),
		peers: s.AddrPort("peers", c.String("peers")), metrics: s.OptionalAddrPort("metrics", c.String("metrics")),
		store:  s.AddrPort("store", c.String("store")),
		seeds:  s.AddrPorts("seeds", c.StringSlice("seeds")),
		within: time.Duration(s.Int("version-ms", c.Int64("version-ms"), 1, 1<<31)) * time.Millisecond,
	}
	n.descriptors, n.memory = s.ReadLimits(c)
	if n.name == "" {
		s.Add("name", "", "the name of this instance")
	}
	if n.regions[n.domain] == "" {
		s.Add("failure-domain", n.domain, "a failure domain of regions")
	}
	l, closer, err := logger.NewBounded(os.Stdout, c.String("log-level"))
	if err != nil {
		s.Add("log-level", c.String("log-level"), "debug, info, warn or error")
	}
	n.log, n.closer = l.With().Str("instance", n.name).Logger(), closer
	return n
}

// readRegions parses DOMAIN=REGION pairs into the region of each failure domain.
func readRegions(s *settings.Faults, l []string) map[string]string {
	m := make(map[string]string, len(l))
	for _, p := range l {
		domain, region, ok := strings.Cut(p, "=")
		if !ok || domain == "" || region == "" {
			s.Add("regions", p, "DOMAIN=REGION")
			continue
		}
		m[domain] = region
	}
	return m
}
