// Command burstbench prints how fast weights reach many instances on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/burst"
	"github.com/eelgrassdrift/eelgrassdrift/internal/logger"
)

func main() {
	c := &cli.Command{
		Name: "burstbench", Usage: "measure bursts of weights on loopback",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "instances", Value: []int{15, 30, 60}},
			&cli.StringSliceFlag{Name: "fault", Value: []string{
				string(burst.NoFault), string(burst.Kill), string(burst.Stall), string(burst.Corrupt), string(burst.OriginDown), string(burst.DomainCut),
			}},
			&cli.StringSliceFlag{Name: "scheme", Value: []string{string(burst.Ranked)}},
			&cli.IntFlag{Name: "regions", Value: 3},
			&cli.IntFlag{Name: "domains", Value: 2},
			&cli.Int64Flag{Name: "size", Value: 16 << 20},
			&cli.Int64Flag{Name: "chunk-size", Value: 32 << 10},
			&cli.FloatFlag{Name: "link", Value: 4 << 20, Usage: "bytes per second of an instance's link"},
			&cli.FloatFlag{Name: "origin", Value: 8 << 20, Usage: "bytes per second of the origin's link"},
			&cli.FloatFlag{Name: "cross", Value: 4 << 20, Usage: "bytes per second of a region's link"},
			&cli.FloatFlag{Name: "pace", Usage: "share of cross that the fetchers are told to use; 0 is no bound"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "repeat", Value: 1, Usage: "runs of each case, with rising seeds"},
			&cli.IntFlag{Name: "parallel", Usage: "Fetcher.Parallel; 0 is its default"},
			&cli.IntFlag{Name: "lead-parallel", Usage: "Fetcher.LeadParallel; 0 is its default"},
			&cli.IntFlag{Name: "shared-parallel", Usage: "Fetcher.SharedParallel; 0 is its default"},
			&cli.IntFlag{Name: "origin-parallel", Usage: "Fetcher.OriginParallel; 0 is its default"},
			&cli.IntFlag{Name: "send-parallel", Usage: "Handler.SendParallel; 0 is its default"},
			&cli.BoolFlag{Name: "processes", Usage: "run each instance in a process of its own"},
			&cli.StringFlag{Name: "log-level", Value: "disabled"},
		},
		Commands: []*cli.Command{{
			Name: "instance", Usage: "the process of one instance, started by --processes", Hidden: true,
			Flags: []cli.Flag{&cli.StringFlag{Name: "log-level", Value: "disabled"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				log, err := newLog(c)
				if err != nil {
					return err
				}
				return burst.RunInstance(ctx, os.Stdin, os.Stdout, log)
			},
		}},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := c.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	log, err := newLog(c)
	if err != nil {
		return err
	}
	fmt.Printf("%-11s %-11s %4s %4s  %s\n", "scheme", "fault", "n", "seed", burst.Header)
	for _, scheme := range c.StringSlice("scheme") {
		for _, fault := range c.StringSlice("fault") {
			for _, n := range c.IntSlice("instances") {
				for seed := range slices.Values(seeds(c.Uint64("seed"), c.Int("repeat"))) {
					b := &burst.Burst{
						Instances: n, Regions: c.Int("regions"), Domains: c.Int("domains"),
						Size: c.Int64("size"), ChunkSize: c.Int64("chunk-size"),
						Link: c.Float("link"), Origin: c.Float("origin"), Cross: c.Float("cross"), Pace: c.Float("pace"),
						Fault: burst.Fault(fault), Scheme: burst.Scheme(scheme), Seed: seed, Log: log,
						Adjust: func(f *distributor.Fetcher, h *distributor.Handler) {
							f.Parallel, f.LeadParallel = c.Int("parallel"), c.Int("lead-parallel")
							f.SharedParallel = c.Int("shared-parallel")
							f.OriginParallel, h.SendParallel = c.Int("origin-parallel"), c.Int("send-parallel")
						},
					}
					run := b.Run
					if c.Bool("processes") {
						program, err := os.Executable()
						if err != nil {
							return err
						}
						run = (&burst.Processes{Burst: *b, Command: []string{program, "instance", "--log-level", c.String("log-level")}}).Run
					}
					r, err := run(ctx)
					if err != nil {
						return err
					}
					fmt.Printf("%-11s %-11s %4d %4d  %s\n", scheme, fault, n, seed, r)
				}
			}
		}
	}
	return nil
}

func newLog(c *cli.Command) (zerolog.Logger, error) {
	if l := c.String("log-level"); l != "disabled" {
		return logger.New(os.Stderr, l)
	}
	return zerolog.Nop(), nil
}

func seeds(first uint64, n int) []uint64 {
	var out []uint64
	for i := range n {
		out = append(out, first+uint64(i))
	}
	return out
}
