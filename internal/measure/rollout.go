package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/activator"
	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
	"github.com/eelgrassdrift/eelgrassdrift/relayer"
)

// appendsPerSecond is the limit of the platform's log in this measurement.
const appendsPerSecond = 300

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "appends, messages and time of a whole rollout",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Value: []int{15, 60, 200, 590}, Usage: "endpoints of the model"},
			&cli.DurationFlag{Name: "load", Usage: "time that an engine takes to load the second version"},
			&cli.IntFlag{Name: "gateways", Value: 1},
			&cli.IntFlag{Name: "out-percent", Value: 10, Usage: "share of the endpoints that may be out at once"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			w := c.Root().Writer
			_, _ = fmt.Fprintf(w, "%6s %7s | %7s %8s %8s %8s %8s %8s %9s %9s %8s %9s %9s\n", "agents", "max-out", "time s", "grants", "releases",
				"rejected", "appends", "limited", "appends/s", "relayed", "statuses", "p50 ms", "max ms")
			for _, n := range c.IntSlice("sizes") {
				if err := measureRollout(ctx, c, n, w); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// fleet is the agents of one model in one failure domain, with engines in memory.
type fleet struct {
	platform *platform
	// load is the time that an engine takes for an order under a grant.
	load     time.Duration
	replicas []*follower.Replica
	arrivals *arrivals
	statuses atomic.Int64
}

// add attaches one agent to a gateway.
func (f *fleet) add(ctx context.Context, name string, relay netip.AddrPort, client *http.Client) error {
	p := f.platform
	if err := p.register(ctx, name, domainName, regionName, connector.AgentInstance, netip.MustParseAddrPort("127.0.0.1:9"), servesModel); err != nil {
		return err
	}
	r := &follower.Replica{Log: zerolog.Nop()}
	submit := &follower.Follower{Log: connector.NewLog(p.logURL, client), Replica: r}
	var changed relayer.Signal
	run := &activator.Runner{
		Instance: recorder.Name(name), FailureDomain: domainName, Model: "assistant", Engine: f.engine(name),
		Replica: r, Gate: new(activator.Gate), Submit: submit.Submit,
		Fetch:     func(context.Context, *registrar.Version, func(int, int)) error { return nil },
		HasChunks: func(*registrar.Version) bool { return true },
		Keep:      func([]*registrar.Version) {},
		Source:    func(*registrar.Version) string { return "http://127.0.0.1:9" },
		Warm:      func(context.Context, *registrar.Version) error { return nil },
		Cold:      func(string) {}, Changed: changed.Fire, Log: zerolog.Nop(),
	}
	run.Init()
	c := &relayer.Client{
		Gateways: []netip.AddrPort{relay}, Credentials: p.peer, Replica: r, StatusChanged: &changed,
		Hello: &relayv1.Hello{
			Instance: name, FailureDomain: domainName, Region: regionName, Serves: servesModel, Address: "127.0.0.1:9", BootId: name,
		},
		Status: func() *relayv1.EndpointStatus {
			f.statuses.Add(1)
			s := endpointStatus(name, domainName, r.Current().Offset)
			n := run.Status()
			s.State, s.Version = relayv1.EndpointState_ENDPOINT_STATE_LOADING, string(n.Version)
			if n.State == activator.Ready {
				s.State = relayv1.EndpointState_ENDPOINT_STATE_READY
			}
			return s
		},
		Members: func(*relayv1.Members) {}, Log: zerolog.Nop(),
	}
	f.replicas = append(f.replicas, r)
	go func() { _ = c.Run(ctx) }()
	go func() { _ = run.Run(ctx) }()
	go f.arrivals.follow(ctx, r)
	return nil
}

// engine is an engine in memory. The first order is carried out at once.
func (f *fleet) engine(boot string) *connector.Engine {
	var mu sync.Mutex
	s := connector.EngineState{BootID: boot}
	return &connector.Engine{
		State: func(context.Context) (connector.EngineState, error) {
			mu.Lock()
			defer mu.Unlock()
			return s, nil
		},
		Load: func(ctx context.Context, o connector.LoadOrder) (connector.EngineState, error) {
			mu.Lock()
			defer mu.Unlock()
			if s.Version != "" {
				if err := sleeper.Sleep(ctx, f.load); err != nil {
					return s, err
				}
			}
			s.Model, s.Version, s.Digest, s.Fencing = o.Model, o.Version, o.Digest.String(), o.Fencing
			return s, nil
		},
	}
}

// await waits until a rollout is done.
func (f *fleet) await(ctx context.Context, name recorder.Name) error {
	for range 6000 {
		r := f.replicas[0].Current().Rollouts[name]
		switch {
		case r == nil:
		case r.Phase == registrar.Done:
			return nil
		case r.Phase != registrar.Running:
			return errors.Newf("rollout %s is %s: %s", name, r.Phase, r.LastFailure)
		}
		if err := sleeper.Sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return errors.Newf("rollout %s is not done after 120 s", name)
}

func measureRollout(ctx context.Context, c *cli.Command, agents int, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newLimitedPlatform(ctx, appendsPerSecond)
	if err != nil {
		return err
	}
	var relays []netip.AddrPort
	for i := range c.Int("gateways") {
		g, err := startGateway(ctx, c.String("bin"), fmt.Sprintf("gateway-%d", i), p)
		if err != nil {
			return err
		}
		defer g.stop()
		relays = append(relays, g.relay)
	}
	f := &fleet{platform: p, load: c.Duration("load"), arrivals: &arrivals{agents: agents, count: make(map[uint64]int), last: make(map[uint64]time.Time)}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 64}}
	for i := range agents {
		if err := f.add(ctx, fmt.Sprintf("agent-%04d", i), relays[i%len(relays)], client); err != nil {
			return err
		}
	}
	if _, err := p.publish(ctx); err != nil {
		return err
	}
	if err := f.await(ctx, "first"); err != nil {
		return err
	}
	maxOut := max(1, agents*c.Int("out-percent")/100)
	return f.replace(ctx, maxOut, out)
}

// replace rolls out a second version and prints what it took.
func (f *fleet) replace(ctx context.Context, maxOut int, out io.Writer) error {
	p := f.platform
	from := f.replicas[0].Current()
	v := from.Versions["assistant/v1"].Version
	v.Name, v.Digest = "v2", recorder.DigestOf([]byte("v2"))
	a, statuses, begun := p.log.Stats(), f.statuses.Load(), time.Now()
	if err := p.append(
		ctx,
		recorder.Change{Kind: recorder.PutVersion, Version: &v},
		recorder.Change{Kind: recorder.StartRollout, Rollout: &recorder.Rollout{
			Name: "second", Model: "assistant", Version: "v2", MaxOut: maxOut, Lease: recorder.Duration(20 * time.Second),
		}},
	); err != nil {
		return err
	}
	if err := f.await(ctx, "second"); err != nil {
		return err
	}
	took, b := time.Since(begun), p.log.Stats()
	statuses = f.statuses.Load() - statuses
	k, err := f.count(ctx, from.Offset)
	if err != nil {
		return err
	}
	n := b.Appends - a.Appends
	_, err = fmt.Fprintf(out, "%6d %7d | %7.1f %8d %8d %8d %8d %8d %9.0f %9d %8d %9.0f %9.0f\n", len(f.replicas), maxOut, took.Seconds(),
		k.grants, k.releases, k.rejected, n, b.Limited-a.Limited, float64(n)/took.Seconds(), k.records*len(f.replicas), statuses,
		k.delay(50), k.delay(100))
	return err
}

// counts sums up the records of a rollout.
type counts struct {
	records, grants, releases, rejected int
	// delays are the times from a record's append until all agents have it.
	delays []time.Duration
}

// delay returns a percentile of the delays in ms.
func (k *counts) delay(percent int) float64 {
	if len(k.delays) == 0 {
		return 0
	}
	slices.Sort(k.delays)
	return float64(k.delays[(len(k.delays)-1)*percent/100].Microseconds()) / 1000
}

// count reads the records after an offset back from the log.
func (f *fleet) count(ctx context.Context, from uint64) (counts, error) {
	var k counts
	last := f.replicas[0].Current()
	if err := f.arrivals.await(ctx, last.Offset); err != nil {
		return k, err
	}
	for from < last.Offset {
		b, err := f.platform.client.Read(ctx, connector.ConfigurationStream, from+1, 1024, 0)
		if err != nil {
			return k, err
		}
		for _, e := range b.Entries {
			from = e.Offset
			r, err := recorder.Decode(e.Body)
			if err != nil {
				return k, err
			}
			k.add(last, r)
			if t, ok := f.arrivals.at(e.Offset); ok {
				k.delays = append(k.delays, t.Sub(e.At))
			}
		}
	}
	return k, nil
}

func (k *counts) add(s *registrar.State, r recorder.Record) {
	k.records++
	if o, ok := s.Operation(r.Operation); ok && !o.Accepted {
		k.rejected++
		return
	}
	switch r.Changes[0].Kind {
	case recorder.TakeGrant:
		k.grants++
	case recorder.ReleaseGrant:
		k.releases++
	}
}
