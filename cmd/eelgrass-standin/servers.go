package main

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/engine"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/instances"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/link"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/origin"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/platformlog"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/service"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	maxRate = 1e12
	maxInt  = 1 << 40
)

func logCommand() *cli.Command {
	return &cli.Command{
		Name: "log", Usage: "the platform's append-only log",
		Flags: serverFlags(
			fraction("appends-per-second", 400, "limit of appends; 0 sets none"),
			span("keep-for", 0, "age in which records are kept; 0 keeps all"),
			number("keep-count", 0, "records kept in each stream; 0 keeps all"),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			v := &values{c: c}
			l := &platformlog.Log{
				Server: v.server(), AppendsPerSecond: v.float("appends-per-second", maxRate),
				KeepFor: v.span("keep-for"), KeepCount: int(v.int("keep-count", 0, maxInt)),
				Start: faults[platformlog.Faults](v), Seed: v.seed(),
			}
			if err := v.Err(); err != nil {
				return err
			}
			return l.Run(ctx)
		},
	}
}

func instancesCommand() *cli.Command {
	return &cli.Command{
		Name: "instances", Usage: "the platform's list of instances",
		Flags: serverFlags(
			span("lag", 0, "time after which a change becomes visible"),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			v := &values{c: c}
			n := &instances.Instances{Server: v.server(), Lag: v.span("lag"), Start: faults[instances.Faults](v)}
			if err := v.Err(); err != nil {
				return err
			}
			return n.Run(ctx)
		},
	}
}

func originCommand() *cli.Command {
	return &cli.Command{
		Name: "origin", Usage: "the weight store and origin",
		Flags: serverFlags(
			fraction("bytes-per-second", 0, "rate of the link that all readers share; 0 sets no limit"),
			fraction("requests-per-second", 0, "limit of reads; 0 sets none"),
			number("capacity", origin.DefaultCapacity, "bound of all blobs together in bytes"),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			v := &values{c: c}
			o := &origin.Origin{
				Server: v.server(), BytesPerSecond: v.float("bytes-per-second", maxRate),
				RequestsPerSecond: v.float("requests-per-second", maxRate),
				Capacity:          v.int("capacity", 1, maxInt),
				Start:             faults[origin.Faults](v), Seed: v.seed(),
			}
			if err := v.Err(); err != nil {
				return err
			}
			return o.Run(ctx)
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "a model engine",
		Flags: serverFlags(
			text("fencing", "enforced", "enforced or ignored"),
			text("weights", "verify", "verify reads and verifies the weights of an order, none reads nothing"),
			text("model", "", "model that is loaded at the start; needs weights none"),
			text("version", "", "version that is loaded at the start; needs weights none"),
			text("digest", "", "digest of the version that is loaded at the start"),
			span("load-time", 0, "time that a load takes after the weights are read"),
			span("first-token", 20*time.Millisecond, "time to the first token"),
			span("token-interval", 2*time.Millisecond, "time between tokens"),
			number("batch", 0, "requests worked on at once; 0 sets no limit"),
			number("capacity-cold", 0, "requests carried at a cold start"),
			number("capacity-warm", 0, "requests carried when warm; 0 sets no limit"),
			number("grow-every", 0, "completed requests that add 1 to the capacity; 0 adds none"),
			span("warm-up", 0, "time in which the capacity grows to its warm value; 0 adds none"),
			span("fail-after", time.Second, "time above capacity after which the engine fails"),
			span("fail-for", 3*time.Second, "time for which the engine then fails"),
			number("cache-size", 0, "prompt prefixes in the cache"),
			span("report-lag", 0, "age of load reports"),
			fraction("report-gaps", 0, "share of cached prefixes missing in a report, 0 to 1"),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			v := &values{c: c}
			e := &engine.Engine{
				Server:         v.server(),
				FencingIgnored: v.OneOf("fencing", c.String("fencing"), "enforced", "ignored") == "ignored",
				WithoutWeights: v.OneOf("weights", c.String("weights"), "verify", "none") == "none",
				LoadTime:       v.span("load-time"),
				FirstToken:     v.span("first-token"), TokenInterval: v.span("token-interval"),
				Batch: int(v.int("batch", 0, maxInt)),
				Capacity: engine.Capacity{
					Cold: int(v.int("capacity-cold", 0, maxInt)), Warm: int(v.int("capacity-warm", 0, maxInt)),
					GrowEvery: int(v.int("grow-every", 0, maxInt)), WarmUp: v.span("warm-up"),
					FailAfter: v.span("fail-after"), FailFor: v.span("fail-for"),
				},
				CacheSize: int(v.int("cache-size", 0, 10_000)), ReportLag: v.span("report-lag"),
				ReportGaps: v.float("report-gaps", 1),
				Start:      faults[engine.Faults](v), Seed: v.seed(),
			}
			e.Loaded = v.loaded(e.WithoutWeights)
			if err := v.Err(); err != nil {
				return err
			}
			return e.Run(ctx)
		},
	}
}

// loaded reads what an engine has loaded at its start.
func (v *values) loaded(withoutWeights bool) connector.EngineState {
	s := connector.EngineState{
		Model: recorder.Name(v.c.String("model")), Version: recorder.Name(v.c.String("version")),
		Digest: v.c.String("digest"),
	}
	if s.Model == "" && s.Version == "" && s.Digest == "" {
		return s
	}
	if !withoutWeights {
		v.Add("weights", v.c.String("weights"), "none, where a model is loaded at the start")
	}
	v.Name("model", string(s.Model))
	v.Name("version", string(s.Version))
	if s.Digest != "" {
		if _, err := recorder.ParseDigest(s.Digest); err != nil {
			v.Add("digest", s.Digest, "64 hexadecimal digits")
		}
	}
	return s
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "a plain service whose POST calls must not be repeated",
		Flags: serverFlags(
			text("prefix", service.DefaultPrefix, "path prefix; begins and ends with /"),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			v := &values{c: c}
			s := &service.Service{
				Server: v.server(), Prefix: c.String("prefix"), Start: faults[service.Faults](v), Seed: v.seed(),
			}
			if !strings.HasPrefix(s.Prefix, "/") || !strings.HasSuffix(s.Prefix, "/") || strings.ContainsAny(s.Prefix, "{} ") {
				v.Add("prefix", s.Prefix, "a path that begins and ends with /")
			}
			if err := v.Err(); err != nil {
				return err
			}
			return s.Run(ctx)
		},
	}
}

func linkCommand() *cli.Command {
	return &cli.Command{
		Name: "link", Usage: "a faulty TCP relay between two addresses",
		Flags: serverFlags(
			text("target", "", "address to which the link connects"),
			text("control", "127.0.0.1:0", "address of /faults and /stats"),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			v := &values{c: c}
			l := &link.Link{
				Server: v.server(), Target: v.AddrPort("target", c.String("target")),
				Control: v.AddrPort("control", c.String("control")), Start: faults[link.Faults](v), Seed: v.seed(),
			}
			if err := v.Err(); err != nil {
				return err
			}
			return l.Run(ctx)
		},
	}
}
