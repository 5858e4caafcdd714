package direct

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// slowStore is a store whose endpoint list takes a while to arrive, as over a slow link.
type slowStore struct {
	endpoints, gateways []connector.Item
	delay               time.Duration

	mu sync.Mutex
	// whole counts the reads of the whole endpoint list by failure domain.
	whole map[string]int
	// refused is a failure domain that can't read the list; it may be empty.
	refused string
}

func (s *slowStore) tables(domain string) Tables {
	wait := func(ctx context.Context, d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	read := func(items []connector.Item, delay time.Duration, whole func() error) *connector.Table {
		next := uint64(len(items) + 1)
		return &connector.Table{
			Read: func(ctx context.Context, from uint64, d time.Duration) (connector.Changes, error) {
				if from > 0 {
					return connector.Changes{Next: next}, wait(ctx, d)
				}
				if err := whole(); err != nil {
					return connector.Changes{}, err
				}
				return connector.Changes{Items: items, Next: next, Full: true}, wait(ctx, delay)
			},
			Reconnect: func() {},
		}
	}
	return Tables{
		Operators: read([]connector.Item{{Key: "o", Value: []byte("x"), Offset: 1}}, 0, func() error { return nil }),
		Gateways:  read(s.gateways, 20*time.Millisecond, func() error { return nil }),
		Endpoints: read(s.endpoints, s.delay, func() error {
			if domain == s.refused {
				return errors.New("refused")
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.whole[domain]++
			return nil
		}),
	}
}

// After a start of all processes of a large fleet, the list must cross the link to each failure
// domain twice, and reach all processes, also if its readers don't start or can't read the store. Each of 31 gateways and 69 agents read it from the store,
// and the copies took longer than the timeout of a read. In a small fleet each gateway reads it.
func TestStartOfFleet(t *testing.T) {
	for _, c := range []struct {
		name                    string
		perDomain, agents, want int
		lost, refused           bool
	}{
		{"72 gateways", 24, 12, minReaders, false, false},
		{"72 gateways, readers lost", 24, 12, minReaders, true, false},
		{"72 gateways, one domain refused", 24, 12, minReaders, false, true},
		{"27 gateways", 9, 0, 9, false, false},
	} {
		t.Run(c.name, func(t *testing.T) { startFleet(t, c.perDomain, c.agents, c.want, c.lost, c.refused) })
	}
}

func decodeTestGateway(b []byte) (*observer.Gateway, error) {
	g := new(observer.Gateway)
	return g, json.Unmarshal(b, g)
}

// startFleet starts all processes, but not the readers if these are lost. If refused is set, failure
// domain c can't read the list from the store.
func startFleet(t *testing.T, perDomain, agents, want int, lost, refused bool) {
	t.Helper()
	domains := []string{"a", "b", "c"}
	regions := map[string]string{"a": "ra", "b": "rb", "c": "rc"}
	s := &slowStore{delay: 600 * time.Millisecond, whole: make(map[string]int)}
	if refused {
		s.refused = "c"
	}
	for i := range 300 {
		s.endpoints = append(s.endpoints, connector.Item{Key: fmt.Sprintf("e%d", i), Value: make([]byte, 100), Offset: uint64(i + 1)})
	}
	type process struct {
		domain string
		// listener is nil at an agent.
		listener net.Listener
	}
	var processes []process
	for _, d := range domains {
		for i := range perDomain {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			processes = append(processes, process{d, l})
			name := fmt.Sprintf("%s-%d", d, i)
			b, err := json.Marshal(observer.Gateway{Name: name, Domain: d, Address: l.Addr().(*net.TCPAddr).AddrPort()})
			if err != nil {
				t.Fatal(err)
			}
			s.gateways = append(s.gateways, connector.Item{Key: name, Value: b, Offset: uint64(len(s.gateways) + 1)})
		}
		for range agents {
			processes = append(processes, process{domain: d})
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	defer g.Wait()
	defer cancel()
	readers := make(map[string]bool)
	if lost {
		state := &observer.State{Now: time.Now, Log: zerolog.Nop(), DecodeGateway: decodeTestGateway}
		state.ApplyGateways(s.gateways)
		for _, d := range domains {
			for _, a := range (&follower{state: state, domain: d, regions: regions}).readers() {
				readers[a.String()] = true
			}
		}
	}
	var followers []*follower
	for i, p := range processes {
		platform := &Platform{
			Tables:         func(netip.AddrPort, *http.Client) Tables { return s.tables(p.domain) },
			DecodeOperator: func(string, []byte) (*observer.Decision, error) { return nil, nil },
			Outline:        func(_ string, value []byte) []byte { return value },
			EndpointDecoder: func(map[string]string) func(string, []byte) (*observer.Endpoint, error) {
				return func(key string, _ []byte) (*observer.Endpoint, error) { return &observer.Endpoint{ID: key}, nil }
			},
			DecodeGateway: decodeTestGateway,
		}
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), uint16(i+1))
		if p.listener != nil {
			if readers[p.listener.Addr().String()] {
				_ = p.listener.Close()
				continue
			}
			self = p.listener.Addr().(*net.TCPAddr).AddrPort()
		}
		f := newFollower(platform, netip.AddrPort{}, self, p.domain, regions, zerolog.Nop())
		f.drain = 4 * time.Second
		followers = append(followers, f)
		if p.listener != nil {
			m := http.NewServeMux()
			m.Handle("GET /v1/tables/{name}", f.handler())
			server := &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
			g.Go(func() { _ = server.Serve(p.listener) })
			context.AfterFunc(ctx, func() { _ = server.Close() })
		}
		g.Go(func() { _ = f.run(ctx, p.listener == nil) })
	}
	missing := len(followers)
	for end := time.Now().Add(5 * time.Second); missing > 0 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		missing = 0
		for _, f := range followers {
			if len(f.state.Endpoints()) != len(s.endpoints) {
				missing++
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if missing > 0 {
		t.Errorf("%d of %d processes have no list after 5 s", missing, len(followers))
	}
	for _, d := range domains {
		if n := s.whole[d]; d != s.refused && (n < want || n > max(want, 2*minReaders)) {
			// On a busy machine the next two gateways may take their turn.
			t.Errorf("failure domain %s: %d whole lists from the store, want %d", d, n, want)
		}
	}
}
