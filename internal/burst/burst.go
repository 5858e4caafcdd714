package burst

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Fault is what goes wrong during a burst.
type Fault string

// The faults. Times are shares of the bound.
const (
	NoFault Fault = "none"
	// Kill stops a tenth of the instances at 0.3; the list of members keeps them.
	Kill Fault = "kill-10%"
	// Stall freezes one instance at 0.3; its connections stay open.
	Stall Fault = "stall-1"
	// Corrupt changes a byte in 1% of the chunks that instances send.
	Corrupt Fault = "corrupt-1%"
	// OriginDown lets the origin answer 503 from 0.1 to 0.4.
	OriginDown Fault = "origin-down"
	// DomainCut cuts the failure domain of one instance off from all others and
	// from the origin from 0.2 to 0.5.
	DomainCut Fault = "domain-cut"
)

// Scheme is the way in which chunks spread.
type Scheme string

// The schemes.
const (
	// Ranked is the Fetcher with all members.
	Ranked Scheme = "ranked"
	// OriginOnly lets every instance read everything from the origin.
	OriginOnly Scheme = "origin-only"
	// Tree is a fixed binary tree below the origin.
	Tree Scheme = "tree"
)

// Burst is one measurement. All fields are set before Run.
type Burst struct {
	// Instances is the number of instances, spread evenly over Regions regions
	// with Domains failure domains each. The origin is in the first region.
	Instances, Regions, Domains int
	// Size and ChunkSize are in bytes.
	Size, ChunkSize int64
	// Link, Origin and Cross are the rates of an instance's link, the origin's
	// link and a region's link in bytes per second, for each direction.
	Link, Origin, Cross float64
	// Pace is the share of Cross that the Fetchers are told to use; 0 means no bound.
	Pace   float64
	Fault  Fault
	Scheme Scheme
	// Seed determines the weights and the faults.
	Seed uint64
	// Adjust changes a Fetcher and its Handler before the start; may be nil.
	Adjust func(*distributor.Fetcher, *distributor.Handler)
	Log    zerolog.Logger
}

// Result holds the figures of a burst. Copies are bytes on the wire divided by
// the size of the weights.
type Result struct {
	// Bound is the shortest time that the links allow.
	Bound time.Duration
	// T90 and T100 are the times to 90% and 100% of the surviving instances.
	T90, T100 time.Duration
	// Origin is the copies sent by the origin, Region the most copies into any
	// region but the origin's, Out the most copies out of any region, Busiest
	// the most copies sent by an instance.
	Origin, Region, Out, Busiest float64
	// Takeovers and Corrupt are sums over all instances.
	Takeovers, Corrupt int64
	// Cores is the processor time of the instances' processes divided by T100;
	// 0 in a burst of one process.
	Cores float64
	// Late is the share of the waits for links that ended too late to use the
	// whole rate; the machine slows the burst down where it is not small.
	Late float64
}

// Bound returns the shortest time that the links allow.
func (b *Burst) Bound() time.Duration {
	slowest := min(b.Link, b.Origin)
	if b.Regions > 1 {
		slowest = min(slowest, b.Cross)
	}
	return time.Duration(float64(b.Size) / slowest * float64(time.Second))
}

// region is the link of a region to the others.
type region struct{ in, out *link }

// instance is one running instance.
type instance struct {
	member  distributor.Member
	host    *host
	fetcher *distributor.Fetcher
	handler *distributor.Handler
	server  *server
	cancel  context.CancelFunc
	lost    atomic.Bool
	took    time.Duration
}

// fleet is the state of a running burst.
type fleet struct {
	*Burst
	origin     *origin
	originLink *host
	originAddr netip.AddrPort
	regions    []*region
	instances  []*instance
	members    []distributor.Member
	cut        cut
	version    recorder.Version
	manifest   *recorder.Manifest
}

// Run carries out the burst.
func (b *Burst) Run(ctx context.Context) (*Result, error) {
	f := &fleet{Burst: b}
	if err := f.prepare(); err != nil {
		return nil, err
	}
	servers, err := f.listen()
	defer func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	errs := make(chan error, len(f.instances))
	start := time.Now()
	for i, x := range f.instances {
		ctx, stop := context.WithCancel(ctx)
		x.cancel = stop
		wg.Go(func() {
			defer stop()
			if err := f.fetch(ctx, i, x); err != nil && !x.lost.Load() {
				errs <- fmt.Errorf("instance %s: %w", x.member.Instance, err)
				return
			}
			x.took = time.Since(start)
		})
	}
	wg.Go(func() { f.disturb(ctx, start) })
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case err := <-errs:
		cancel()
		<-done
		return nil, err
	}
	return f.result(), nil
}

// prepare makes the weights and the origin.
func (f *fleet) prepare() error {
	src := rand.NewChaCha8([32]byte{byte(f.Seed)})
	weights := make([]byte, f.Size)
	_, _ = src.Read(weights)
	f.origin = &origin{blobs: make(map[recorder.Digest][]byte)}
	m, err := recorder.NewManifest(bytes.NewReader(weights), f.ChunkSize, func(d recorder.Digest, _ []byte) error {
		n := int64(len(f.origin.blobs)) * f.ChunkSize
		f.origin.blobs[d] = weights[n:min(n+f.ChunkSize, f.Size)]
		return nil
	})
	if err != nil {
		return err
	}
	e, d, err := m.Encode()
	if err != nil {
		return err
	}
	f.origin.blobs[d] = e
	f.manifest = m
	f.version = recorder.Version{Model: "m", Name: "v", Manifest: d, Digest: m.Digest, Size: m.Size}
	f.originLink = newHost(f.Origin)
	for range f.Regions {
		f.regions = append(f.regions, &region{in: &link{rate: f.Cross}, out: &link{rate: f.Cross}})
	}
	return nil
}

// serveOrigin starts the server of the origin.
func (f *fleet) serveOrigin() (*server, error) {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/blobs/{sha256}", f.origin)
	s, err := serve(f.originLink, mux)
	if err == nil {
		f.originAddr = s.address
	}
	return s, err
}

// listen starts the servers of the origin and the instances.
func (f *fleet) listen() (servers []*http.Server, err error) {
	o, err := f.serveOrigin()
	if err != nil {
		return nil, err
	}
	servers = append(servers, o.Server)
	for i := range f.Instances {
		x := &instance{host: newHost(f.Link), member: f.member(i)}
		h := f.build(x, uint64(i))
		if x.server, err = serve(x.host, h); err != nil {
			return servers, err
		}
		servers = append(servers, x.server.Server)
		x.place(x.server.address)
		f.instances = append(f.instances, x)
		f.members = append(f.members, x.member)
	}
	return servers, nil
}

// place sets the address of an instance.
func (x *instance) place(a netip.AddrPort) {
	x.member.Address = a
	x.fetcher.Self, x.handler.Self = x.member, x.member
}

// member returns instance i without its address.
func (b *Burst) member(i int) distributor.Member {
	r, d := i%b.Regions, i/b.Regions%b.Domains
	return distributor.Member{
		Instance:      recorder.Name(fmt.Sprintf("i%03d", i)),
		FailureDomain: recorder.Name(fmt.Sprintf("r%d-d%d", r, d)),
		Region:        recorder.Name(fmt.Sprintf("r%d", r)),
	}
}

// server is a running HTTP server.
type server struct {
	*http.Server
	address netip.AddrPort
}

// serve starts a server whose connections pass the link of the host.
func serve(h *host, x http.Handler) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: x, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(&listener{l, h}) }()
	return &server{Server: s, address: l.Addr().(*net.TCPAddr).AddrPort()}, nil
}

// build makes the parts of an instance and returns what its server serves.
func (f *fleet) build(x *instance, seed uint64) http.Handler {
	s := new(distributor.Store)
	client := distributor.NewClient(nil)
	client.Transport.(*http.Transport).DialContext = f.dialer(x)
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(f.Seed, seed))
	bound := f.Bound()
	x.fetcher = &distributor.Fetcher{
		CrossRegionRate: f.Pace * f.Cross,
		OriginRegion:    "r0", Store: s, Client: client,
		Origin: connector.NewOrigin("http://"+f.originAddr.String(), client),
		Members: func() []distributor.Member {
			if f.Scheme == OriginOnly {
				return nil
			}
			return f.members
		},
		Wait: bound / 8, Stall: bound / 8, MaxBackoff: bound / 8,
		Rand: func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return rnd.Float64()
		},
		Log: f.Log.With().Int("instance", int(seed)).Logger(),
	}
	x.handler = &distributor.Handler{Store: s, Log: f.Log}
	if f.Adjust != nil {
		f.Adjust(x.fetcher, x.handler)
	}
	if f.Fault == Corrupt {
		return &corrupter{Handler: x.handler, share: 0.01, rand: rand.New(rand.NewPCG(f.Seed, seed))}
	}
	return x.handler
}

// dialer returns a dial function whose connections pass the links of the
// instance and, between regions, those of both regions.
func (f *fleet) dialer(x *instance) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		from, domain := "r0", ""
		for _, m := range f.members {
			if m.Address.String() == addr {
				from, domain = string(m.Region), string(m.FailureDomain)
			}
		}
		own := string(x.member.FailureDomain)
		if err := f.cut.dial(ctx, own, domain); err != nil {
			return nil, err
		}
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		receive := []*link{x.host.receive}
		if to := string(x.member.Region); from != to {
			receive = append(receive, f.regions[from[1]-'0'].out, f.regions[to[1]-'0'].in)
		}
		w := x.host.wrap(c, []*link{x.host.send}, receive)
		w.reach = func(done <-chan struct{}) { f.cut.wait(own, domain, done) }
		return w, nil
	}
}

// fetch fetches the version at one instance.
func (f *fleet) fetch(ctx context.Context, i int, x *instance) error {
	if f.Scheme == Tree {
		return f.fetchFromParent(ctx, i, x)
	}
	_, err := x.fetcher.Fetch(ctx, f.version, nil)
	return err
}

// disturb causes the fault.
func (f *fleet) disturb(ctx context.Context, start time.Time) {
	f.cause(ctx, start, disturbance{
		kill: func(i int) {
			x := f.instances[i]
			x.lost.Store(true)
			x.cancel()
			x.host.kill()
			_ = x.server.Close()
		},
		freeze: func(i int) {
			x := f.instances[i]
			x.lost.Store(true)
			close(x.host.frozen)
			x.cancel()
		},
		originDown: f.origin.down.Store,
		cut:        f.cut.begin,
		heal:       f.cut.heal,
	})
}

// disturbance holds the ways to cause faults.
type disturbance struct {
	// kill and freeze stop an instance.
	kill, freeze func(i int)
	originDown   func(bool)
	// cut separates a failure domain until heal.
	cut  func(domain string)
	heal func()
}

// cause causes the fault of the burst at its times.
func (b *Burst) cause(ctx context.Context, start time.Time, d disturbance) {
	at := func(share float64) bool {
		t := time.NewTimer(time.Until(start.Add(time.Duration(share * float64(b.Bound())))))
		defer t.Stop()
		select {
		case <-t.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	order := rand.New(rand.NewPCG(b.Seed, 1<<32)).Perm(b.Instances)
	switch b.Fault {
	case Kill:
		if at(0.3) {
			for _, i := range order[:max(1, len(order)/10)] {
				d.kill(i)
			}
		}
	case Stall:
		if at(0.3) {
			d.freeze(order[0])
		}
	case OriginDown:
		if at(0.1) {
			d.originDown(true)
		}
		if at(0.4) {
			d.originDown(false)
		}
	case DomainCut:
		if at(0.2) {
			d.cut(string(b.member(order[0]).FailureDomain))
		}
		at(0.5)
		d.heal()
	default:
	}
}
