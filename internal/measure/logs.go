package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

func logCommand() *cli.Command {
	return &cli.Command{
		Name: "log", Usage: "appends and read bytes of the platform's log",
		Action: func(ctx context.Context, c *cli.Command) error {
			w := c.Root().Writer
			if err := measureRecords(w); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(w, "%7s %6s | %9s %9s %12s %12s\n", "readers", "rate", "appends/s", "reads/s", "read B/s", "B/s a reader")
			for _, n := range []int{1, 5, 20, 50} {
				for _, r := range []float64{0, 1, 10, 100} {
					if err := measureReaders(ctx, c, n, r, w); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
}

// measureRecords prints the sizes of records and of snapshots.
func measureRecords(w io.Writer) error {
	digest := recorder.DigestOf([]byte("x"))
	for _, v := range []struct {
		name   string
		change recorder.Change
	}{
		{"client account", putAccount("account-0", 100)},
		{"version", recorder.Change{Kind: recorder.PutVersion, Version: &recorder.Version{
			Model: "assistant", Name: "v1", Manifest: digest, Digest: digest, Size: 1 << 36,
		}}},
		{"drain", recorder.Change{Kind: recorder.DrainEndpoint, Object: "agent-00001", Reason: "rack 7 is replaced"}},
		{"grant", recorder.Change{Kind: recorder.TakeGrant, Grant: &recorder.Grant{
			Holder: "agent-00001", Rollout: "assistant-v2", FailureDomain: domainName, Version: "v2", Lease: recorder.Duration(10 * time.Minute),
		}}},
		{"release", recorder.Change{Kind: recorder.ReleaseGrant, Release: &recorder.Release{Grant: 123456, OK: true}}},
	} {
		r := recorder.Record{Format: recorder.Format, Operation: uuid.New(), Author: "anna", At: time.Now(), Changes: []recorder.Change{v.change}}
		b, err := r.Encode()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "record of a %-15s %4d bytes\n", v.name, len(b))
	}
	for _, n := range []int{10, 100, 1000, 9000} {
		s := new(registrar.State)
		for i := range n {
			r := recorder.Record{Format: recorder.Format, Operation: uuid.New(), Author: "anna", Changes: []recorder.Change{
				putAccount(fmt.Sprintf("account-%d", i%500), float64(1+i)),
			}}
			s, _ = s.Apply(uint64(i+1), r)
		}
		b, err := s.Snapshot()
		if err != nil {
			return err
		}
		parts, err := follower.Split(s)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "snapshot after %5d changes of at most 500 accounts: %8d bytes in %d appends\n", n, len(b), len(parts))
	}
	return nil
}

func measureReaders(ctx context.Context, c *cli.Command, readers int, rate float64, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newPlatform(ctx)
	if err != nil {
		return err
	}
	for range readers {
		f := &follower.Follower{Log: connector.NewLog(p.logURL, &http.Client{}), Replica: &follower.Replica{Log: zerolog.Nop()}}
		go func() { _ = f.Run(ctx) }()
	}
	go p.change(ctx, rate)
	if err := sleeper.Sleep(ctx, c.Duration("settle")); err != nil {
		return err
	}
	a, sent, begun := p.log.Stats(), p.traffic.out.Load(), time.Now()
	if err := sleeper.Sleep(ctx, c.Duration("span")); err != nil {
		return err
	}
	b, d := p.log.Stats(), time.Since(begun).Seconds()
	n := float64(p.traffic.out.Load()-sent) / d
	_, err = fmt.Fprintf(out, "%7d %6.0f | %9.1f %9.1f %12.0f %12.0f\n", readers, rate,
		float64(b.Appends-a.Appends)/d, float64(b.Reads-a.Reads)/d, n, n/float64(readers))
	return err
}
