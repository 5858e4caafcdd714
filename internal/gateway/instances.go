package gateway

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/relayer"
)

const (
	// listWait is the long-poll timeout: the platform holds a poll this long when
	// there are no changes.
	listWait = 10 * time.Second
	// listRetry is the delay after a failed poll.
	listRetry = time.Second
)

// instances is the platform's list as last polled. It may be stale: an
// instance that it does not name may be alive, and one that it names may be gone.
type instances struct {
	client *connector.Instances

	mu      sync.Mutex
	version uint64
	byName  map[recorder.Name]*connector.Instance
	// present is built from byName on first use after a change; nil until then.
	present *sortedInstances
}

// sortedInstances is an immutable instance list sorted by name. Timers, streams and
// records read it far more often than an instance changes, and sorting 12,000
// instances takes milliseconds.
type sortedInstances struct {
	all, gateways []*connector.Instance
	// peers are the gateways in the form that the relay reads twice a second.
	peers []relayer.Peer
	// live counts the live gateways by failure domain. The account limits are
	// divided by these counts 20 times a second.
	live map[recorder.Name]int
	// agents holds the agents by the model or service that they serve.
	agents map[string][]*connector.Instance
	// members caches the *relayv1.Members messages built from agents, by the
	// model or service served.
	members sync.Map
	// relay caches the message built from gateways. It is read for each attached
	// agent at every record and every 2 s.
	relay atomic.Pointer[relayv1.Gateways]
}

// apply applies the response of a poll, which is either a full list or the changes.
func (l *instances) apply(n connector.InstanceList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.Full || l.byName == nil {
		l.byName = make(map[recorder.Name]*connector.Instance, len(n.Instances))
	}
	l.version, l.present = n.Version, nil
	for _, i := range n.Instances {
		if i.State == connector.InstanceGone {
			delete(l.byName, i.Name)
			continue
		}
		l.byName[i.Name] = internStrings(i)
	}
}

// internStrings returns a copy of an instance with its repeated strings interned.
// Decoding allocates separate strings for each of 12,000 instances.
func internStrings(i connector.Instance) *connector.Instance {
	i.FailureDomain, i.Region, i.Serves = intern(i.FailureDomain), intern(i.Region), intern(i.Serves)
	i.Kind, i.State = intern(i.Kind), intern(i.State)
	return &i
}

func intern[T ~string](v T) T { return unique.Make(v).Value() }

// list returns the current list; callers must not modify it.
func (l *instances) list() *sortedInstances {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.present != nil {
		return l.present
	}
	v := &sortedInstances{all: make([]*connector.Instance, 0, len(l.byName)), agents: make(map[string][]*connector.Instance), live: make(map[recorder.Name]int)}
	for _, n := range slices.Sorted(maps.Keys(l.byName)) {
		i := l.byName[n]
		v.all = append(v.all, i)
		switch i.Kind {
		case connector.GatewayInstance:
			v.gateways = append(v.gateways, i)
			if i.State == connector.InstanceLive {
				v.live[i.FailureDomain]++
			}
			v.peers = append(v.peers, relayer.Peer{
				Instance: string(i.Name), FailureDomain: string(i.FailureDomain), Address: i.Address,
			})
		case connector.AgentInstance:
			v.agents[i.Serves] = append(v.agents[i.Serves], i)
		}
	}
	l.present = v
	return v
}

// pollInstances long-polls the platform's instance list.
func (g *Gateway) pollInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		g.list.mu.Lock()
		since := g.list.version
		g.list.mu.Unlock()
		c, stop := context.WithTimeout(ctx, listWait+5*time.Second)
		n, err := g.list.client.Poll(c, since, listWait)
		stop()
		if err != nil {
			g.Log.Debug().Err(err).Msg("instance list not read")
			select {
			case <-time.After(listRetry):
			case <-ctx.Done():
			}
			continue
		}
		if n.Version != since || n.Full {
			for _, err := range n.Refused {
				g.Log.Warn().Str("failure", fmt.Sprintf("%.200s", err.Error())).Msg("instance entry refused")
			}
			g.list.apply(n)
			g.membersChanged.Fire()
		}
	}
	return ctx.Err()
}

// membersFor returns the listed agents that serve the given model or service. The
// message is shared by all streams and cached until the list changes.
func (g *Gateway) membersFor(serves string) *relayv1.Members {
	l := g.list.list()
	if m, ok := l.members.Load(serves); ok {
		return m.(*relayv1.Members)
	}
	out := &relayv1.Members{}
	for _, i := range l.agents[serves] {
		out.Members = append(out.Members, &relayv1.Member{
			Instance: string(i.Name), FailureDomain: string(i.FailureDomain), Region: string(i.Region),
			Address: i.Address.String(), Serves: serves, Leaving: i.State == connector.InstanceLeaving,
		})
	}
	m, _ := l.members.LoadOrStore(serves, out)
	return m.(*relayv1.Members)
}

// peerGateways returns the gateways of the platform's list and of the settings.
func (g *Gateway) peerGateways() []relayer.Peer {
	listed := g.list.list().peers
	out := listed[:len(listed):len(listed)]
	for _, a := range g.Known {
		if !slices.ContainsFunc(listed, func(p relayer.Peer) bool { return p.Address == a }) {
			out = append(out, relayer.Peer{Address: a})
		}
	}
	return out
}

// maxOthers is the maximum number of gateways of other failure domains that agents
// receive as fallback. The failure domains of one region may fail together.
const maxOthers = 8

// relayGateways returns the relay addresses of the gateways of this failure domain
// and of up to maxOthers gateways of others. The message is shared by all streams
// and cached until the list changes.
func (g *Gateway) relayGateways() *relayv1.Gateways {
	l := g.list.list()
	if m := l.relay.Load(); m != nil {
		return m
	}
	l.relay.CompareAndSwap(nil, g.makeRelayGateways(l.gateways))
	return l.relay.Load()
}

// makeRelayGateways builds the message of relayGateways. Gateways of other failure
// domains in the same region come before those of other regions.
func (g *Gateway) makeRelayGateways(gateways []*connector.Instance) *relayv1.Gateways {
	out := &relayv1.Gateways{}
	var others []*connector.Instance
	for _, i := range gateways {
		switch {
		case i.State != connector.InstanceLive:
		case i.FailureDomain == g.FailureDomain:
			out.Addresses = append(out.Addresses, i.Address.String())
		default:
			others = append(others, i)
		}
	}
	distance := func(i *connector.Instance) int {
		if i.Region == g.Region {
			return 0
		}
		return 1
	}
	rank := func(i *connector.Instance) uint64 { return xxhash.Sum64String(string(g.FailureDomain + " " + i.Name)) }
	slices.SortFunc(others, func(a, b *connector.Instance) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(rank(a), rank(b)))
	})
	for _, i := range others[:min(len(others), maxOthers)] {
		out.Others = append(out.Others, i.Address.String())
	}
	return out
}

// gatewayCount returns the number of live gateways of the list, at least 1, and
// this gateway's rank among them.
func (g *Gateway) gatewayCount() (count, rank int) {
	for _, i := range g.list.list().gateways {
		if i.State != connector.InstanceLive {
			continue
		}
		count++
		if i.Name < g.Instance {
			rank++
		}
	}
	return max(count, 1), rank
}
