package direct

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Start of a process in a large fleet. Whole tables cross the links between regions only to the
// first gateways of each failure domain, and all other processes get them there.
const (
	// maxSmallFleet is the number of gateways up to which each process reads whole tables from
	// the platform at the start.
	maxSmallFleet = 65
	// maxGatewaysWait is how long the endpoint list waits for the first read of the gateway table,
	// which says whether the fleet is large. 93 records have 16 KB, so that the 100 processes of
	// a region read them over one link of 25 Mbit/s in 0.5 s.
	maxGatewaysWait = time.Second
	// largeStartDelay is how long an agent asks only gateways. Every gateway has to be ready
	// within 5 s.
	largeStartDelay = 6 * time.Second
	// startTurn is the time after which the next gateways of the failure domain read the platform
	// too, in case the first ones are paused or gone. Two lists of 0.75 MB take 0.5 s.
	startTurn = 1500 * time.Millisecond
	// largeFirstTimeout limits an entire first read, which only a pause ends before.
	largeFirstTimeout = 15 * time.Second
)

// event tells that something has happened at least once. The zero value is ready to use, and its
// methods may be called concurrently.
type event struct {
	make, close sync.Once
	happened    chan struct{}
}

func (e *event) channel() chan struct{} {
	e.make.Do(func() { e.happened = make(chan struct{}) })
	return e.happened
}

func (e *event) signal() { e.close.Do(func() { close(e.channel()) }) }

// wait waits for the event, for the given time or until ctx is done.
func (e *event) wait(ctx context.Context, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-e.channel():
	case <-t.C:
	case <-ctx.Done():
	}
}

// isLarge reports whether the process knows more than maxSmallFleet gateways.
func (f *follower) isLarge() bool { return len(f.state.GatewayNames()) > maxSmallFleet }

// largeStartDelay returns how long an agent asks only gateways in a large fleet; 0 in others.
func (f *follower) largeStartDelay() time.Duration {
	if f.isLarge() {
		return largeStartDelay
	}
	return 0
}

// firstTimeout is Follower.FirstTimeout.
func (f *follower) firstTimeout() time.Duration {
	if f.isLarge() {
		return largeFirstTimeout
	}
	return 0
}

// shareFirst makes a gateway's follower read the whole table at the start from the first gateways
// of its failure domain.
func (f *follower) shareFirst(o *observer.Follower, r *observer.SharedReader) {
	peers := &observer.PeerReader{Table: o.Name, Client: f.client, Now: time.Now, Peers: f.startPeers, Epoch: o.Table.Epoch}
	others := &observer.PeerReader{Table: o.Name, Client: f.client, Now: time.Now, Peers: f.otherReaders, Epoch: o.Table.Epoch}
	r.First, r.FirstOthers, r.PlatformDelay = peers.Read, others.Read, f.startDelay
	o.Sources[0].LimitsSilence = true
}

// startOrder returns the gateways of this failure domain in the order in which they read the
// platform at the start, the readers first.
func (f *follower) startOrder() []netip.AddrPort {
	var near []rankedGateway
	for _, g := range f.state.Gateways(f.domain) {
		if g.Domain == f.domain {
			near = append(near, rankedGateway{address: g.Address, rank: xxhash.Sum64String(g.Name)})
		}
	}
	slices.SortFunc(near, rankedGateway.compare)
	l := make([]netip.AddrPort, len(near))
	for i, r := range near {
		l[i] = r.address
	}
	return l
}

// startPeers returns the peers that are asked for the whole table at the start: the readers in an
// order of this gateway's own, and then the others.
func (f *follower) startPeers() []netip.AddrPort {
	l := f.readers()
	for _, a := range f.startOrder() {
		if !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	return slices.DeleteFunc(l, func(a netip.AddrPort) bool { return a == f.self })
}

// startDelay returns how long this gateway waits at the start of a large fleet before it reads the
// platform: not at all at a reader.
func (f *follower) startDelay() (delay time.Duration, isLarge bool) {
	if !f.isLarge() {
		return 0, false
	}
	readers := len(f.readers())
	if readers == 0 {
		return 0, true
	}
	order := f.startOrder()
	n := slices.Index(order, f.self)
	if n < 0 {
		n = len(order)
	}
	return time.Duration(n/readers) * startTurn, true
}
