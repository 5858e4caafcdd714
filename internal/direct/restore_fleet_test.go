package direct

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// countingStore is a store in memory that can return from an older copy. It counts its calls.
type countingStore struct {
	mu      sync.Mutex
	epoch   uint64
	tables  map[string]*countedTable
	changed chan struct{}
}

type countedTable struct {
	items map[string]connector.Item
	next  uint64
	// reads and writes hold the times of the calls, with conditional writes that wrote nothing, bytes those of
	// the items that were read, and written how often each key was written.
	reads, writes []time.Time
	bytes         int
	written       map[string]int
}

func newCountingStore() *countingStore {
	s := &countingStore{epoch: 1, tables: map[string]*countedTable{}, changed: make(chan struct{})}
	for _, n := range []string{operatorTable, gatewayTable, endpointTable} {
		s.tables[n] = &countedTable{items: map[string]connector.Item{}, next: 1, written: map[string]int{}}
	}
	return s
}

// signal ends the reads that wait. The caller holds the mutex.
func (s *countingStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *countingStore) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.tables[table], key, value)
}

// putAt writes a record if the table ends at the position, and reports whether it did. A call that writes
// nothing counts as well.
func (s *countingStore) putAt(table, key string, value []byte, p connector.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.tables[table]
	if p != (connector.Position{Epoch: s.epoch, Next: b.next}) {
		b.writes = append(b.writes, time.Now())
		return false
	}
	s.append(b, key, value)
	return true
}

// append appends a record. The caller holds the mutex.
func (s *countingStore) append(b *countedTable, key string, value []byte) {
	b.items[key] = connector.Item{Key: key, Value: value, Offset: b.next}
	b.next++
	b.writes = append(b.writes, time.Now())
	b.written[key]++
	s.signal()
}

func (s *countingStore) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearCounts()
}

// clearCounts clears the counts. The caller holds the mutex.
func (s *countingStore) clearCounts() {
	for _, b := range s.tables {
		b.reads, b.writes, b.bytes, b.written = nil, nil, 0, map[string]int{}
	}
}

// calls describes the counts by table.
func (s *countingStore) calls() string {
	var l []string
	for _, n := range []string{operatorTable, gatewayTable, endpointTable} {
		b := s.tables[n]
		l = append(l, fmt.Sprintf("%s %d reads, %d bytes, %d writes", n, len(b.reads), b.bytes, len(b.writes)))
	}
	return strings.Join(l, "; ")
}

// restore makes the store return without the last n records of the gateway table, and clears the counts.
func (s *countingStore) restore(n int) (lost []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.clearCounts()
	b := s.tables[gatewayTable]
	b.next -= uint64(n)
	for k, i := range b.items {
		if i.Offset >= b.next {
			delete(b.items, k)
			lost = append(lost, k)
		}
	}
	s.signal()
	return lost
}

// read returns the changes of a table and a channel that is closed with the next change.
func (s *countingStore) read(b *countedTable, from uint64, first bool) (connector.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		b.reads = append(b.reads, time.Now())
	}
	c := connector.Changes{Next: b.next, Epoch: s.epoch, Full: from == 0 || from > b.next}
	for _, i := range b.items {
		if c.Full || i.Offset >= from {
			c.Items = append(c.Items, i)
			b.bytes += len(i.Key) + len(i.Value)
		}
	}
	slices.SortFunc(c.Items, func(x, y connector.Item) int { return cmp.Compare(x.Offset, y.Offset) })
	return c, s.changed
}

func (s *countingStore) table(name string) *connector.Table {
	b := s.tables[name]
	return &connector.Table{
		Read: func(ctx context.Context, from uint64, wait time.Duration) (connector.Changes, error) {
			end := time.After(wait)
			for first := true; ; first = false {
				c, changed := s.read(b, from, first)
				if len(c.Items) > 0 || c.Full || wait == 0 {
					return c, nil
				}
				select {
				case <-changed:
				case <-end:
					return c, nil
				case <-ctx.Done():
					return connector.Changes{}, ctx.Err()
				}
			}
		},
		Put: func(_ context.Context, key string, value []byte) error {
			s.put(name, key, value)
			return nil
		},
		PutAt: func(_ context.Context, key string, value []byte, p connector.Position) error {
			if !s.putAt(name, key, value, p) {
				return &connector.Error{Op: "append", Kind: classifier.Conflict}
			}
			return nil
		},
		Reconnect: func() {},
	}
}

// most returns the largest number of times within a second.
func most(l []time.Time) int {
	slices.SortFunc(l, time.Time.Compare)
	n, first := 0, 0
	for i, t := range l {
		for t.Sub(l[first]) > time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// Guards against a return of the store after which the processes of a fleet read and write more than the store
// takes, write a lost record more than once or never, or write others. It logs the calls, the bytes and the time of
// one return, in which the records of a third of the gateways, eight holds and two digests are lost. The store isn't
// away before. Processes read from each other, so that loopback connections are needed.
func TestCostOfReturn(t *testing.T) {
	const (
		maxReads, maxWrites = 6000, 1200
		span                = 4 * time.Second
	)
	for _, c := range []struct{ gateways, agents int }{{18, 40}, {65, 52}} {
		t.Run(fmt.Sprintf("%d gateways", c.gateways), func(t *testing.T) {
			s := newCountingStore()
			f := startCounted(t, s, c.gateways, c.agents)
			s.clear()
			time.Sleep(span)
			s.mu.Lock()
			t.Logf("before: %s in %s", s.calls(), span)
			s.mu.Unlock()
			lost := s.restore(c.gateways/3 + 10)
			if len(lost) != c.gateways/3+10 {
				t.Fatalf("%d records were lost: %v", len(lost), lost)
			}
			began := time.Now()
			var back time.Duration
			for missing := -1; missing != 0 || time.Since(began) < span; time.Sleep(20 * time.Millisecond) {
				s.mu.Lock()
				missing = 0
				for _, k := range lost {
					if _, ok := s.tables[gatewayTable].items[k]; !ok {
						missing++
					}
				}
				s.mu.Unlock()
				for _, g := range f {
					if g.gateways.Epoch() != 2 || g.endpoints.Epoch() != 2 || g.operators.Epoch() != 2 {
						missing++
					}
				}
				if missing == 0 && back == 0 {
					back = time.Since(began)
				}
				if time.Since(began) > 30*time.Second {
					t.Fatalf("%d lost records or processes in the epoch before after 30 s", missing)
				}
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			var reads, writes []time.Time
			for _, b := range s.tables {
				reads, writes = append(reads, b.reads...), append(writes, b.writes...)
			}
			t.Logf("after: %s in %s", s.calls(), time.Since(began).Round(10*time.Millisecond))
			t.Logf("all is there again after %s; most in a second: %d reads, %d writes", back.Round(10*time.Millisecond), most(reads), most(writes))
			if most(reads) > maxReads || most(writes) > maxWrites {
				t.Error("the store refuses some of these calls")
			}
			written := 0
			for _, b := range s.tables {
				for _, n := range b.written {
					written += n
				}
			}
			if refused := len(writes) - written; refused > len(lost) {
				t.Errorf("the store refused %d conditional writes for %d lost records", refused, len(lost))
			}
			if written != len(lost) {
				t.Errorf("%d records were written, %d lost", written, len(lost))
			}
			for _, k := range lost {
				if n := s.tables[gatewayTable].written[k]; n != 1 {
					t.Errorf("%s was written %d times", k, n)
				}
			}
		})
	}
}

// startCounted starts the processes of a fleet in three failure domains on the store, and returns their followers.
func startCounted(t *testing.T, s *countingStore, gateways, agents int) []*follower {
	t.Helper()
	regions := map[string]string{"a": "ra", "b": "rb", "c": "rc"}
	platform := &Platform{
		Tables: func(netip.AddrPort, *http.Client) Tables {
			return Tables{Operators: s.table(operatorTable), Gateways: s.table(gatewayTable), Endpoints: s.table(endpointTable)}
		},
		DecodeOperator: func(string, []byte) (*observer.Decision, error) { return nil, nil },
		Outline:        func(_ string, value []byte) []byte { return value },
		EndpointDecoder: func(map[string]string) func(string, []byte) (*observer.Endpoint, error) {
			return func(key string, _ []byte) (*observer.Endpoint, error) { return &observer.Endpoint{ID: key}, nil }
		},
		DecodeGateway: decodeTestGateway,
	}
	s.put(operatorTable, "config", make([]byte, 1000))
	for i := range agents {
		s.put(endpointTable, fmt.Sprintf("e%d", i), make([]byte, 250))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	t.Cleanup(func() { cancel(); g.Wait() })
	var all []*Gateway
	for i := range gateways {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		d := string(rune('a' + i%3))
		peers := l.Addr().(*net.TCPAddr).AddrPort()
		n := &Gateway{Name: fmt.Sprintf("g%02d", i), Domain: d, Peers: peers, Regions: regions, Log: zerolog.Nop()}
		n.follower = newFollower(platform, netip.AddrPort{}, peers, d, regions, zerolog.Nop())
		n.follower.drain, n.follower.name = 2*time.Second, n.Name
		all = append(all, n)
		b, err := json.Marshal(observer.Gateway{Name: n.Name, Domain: d, Address: peers})
		if err != nil {
			t.Fatal(err)
		}
		s.put(gatewayTable, n.Name, b)
		m := http.NewServeMux()
		m.Handle("GET /v1/tables/{name}", n.follower.handler())
		server := &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
		g.Go(func() { _ = server.Serve(l) })
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	var followers []*follower
	for _, n := range all {
		followers = append(followers, n.follower)
		g.Go(func() { _ = n.follower.run(ctx, false) })
		g.Go(func() { _ = n.restorer().run(ctx) })
		g.Go(func() { _ = n.announce(ctx) })
	}
	for i := range agents {
		f := newFollower(platform, netip.AddrPort{}, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), uint16(i+1)), string(rune('a'+i%3)), regions, zerolog.Nop())
		f.drain = 2 * time.Second
		followers = append(followers, f)
		g.Go(func() { _ = f.run(ctx, true) })
	}
	time.Sleep(3 * time.Second)
	for i := range 8 {
		s.put(gatewayTable, fmt.Sprintf("hold/%d", i), []byte("{}"))
	}
	s.put(gatewayTable, "digests/m/1", make([]byte, 3000))
	s.put(gatewayTable, "digests/m/2", make([]byte, 3000))
	return followers
}
