package relayer

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
)

// refreshInterval is the time after which a gateway repeats an unchanged status
// to its peers. Load is reported by answers, so peers need it only to find out
// about a status that was lost.
const refreshInterval = 30 * time.Second

// Endpoints holds the status of the endpoints of a failure domain, of the
// attached agents and of those attached to peers, and the summaries of other
// failure domains.
type Endpoints struct {
	// Update takes each status, Remove each endpoint that has gone.
	Update func(*relayv1.EndpointStatus)
	Remove func(instance string)
	// Summaries takes the summaries of another failure domain, the address of
	// the gateway that sent them and the number of the stream; nil summaries end
	// those of the stream. Two gateways may have two streams.
	Summaries func(stream uint64, domain, address string, s []*relayv1.Summary)
	// OwnSummaries returns the summaries of this failure domain.
	OwnSummaries func() []*relayv1.Summary
	// OwnDemand returns the demand to tell a peer: of this gateway for one of the
	// same failure domain, of the whole failure domain for another one.
	OwnDemand func(local bool) divider.Demand
	// Demand takes the demand that a peer told; nil means that its stream ended.
	Demand func(stream uint64, peer *relayv1.Hello, d *relayv1.Demand)
	// Grace is the time for which endpoints of a lost peer are kept, so that
	// their agents can attach to another gateway.
	Grace time.Duration

	mu sync.Mutex
	// own holds the latest status of the attached agents.
	own map[string]*relayv1.EndpointStatus
	// carried holds the endpoints that are not attached here.
	carried map[string]*carried
	streams uint64
	// changed fires when what peers of this failure domain are told may have
	// changed, learned when only the sums for other failure domains may have.
	changed, learned Signal
}

// carried is an endpoint that peers reported.
type carried struct {
	// streams are those that reported it.
	streams map[uint64]bool
	// status is what was reported last.
	status *relayv1.EndpointStatus
	// share is its share of the sums as reported last.
	share share
}

// share is what a status contributes to the sums for other failure domains.
type share struct {
	boot, serves, version string
	ready                 bool
	limit                 uint32
}

// isNear reports whether sums need not be made anew for the other share.
func (s share) isNear(o share) bool {
	limit := o.limit
	o.limit = s.limit
	return s == o && !differs(s.limit, limit)
}

// Report takes the status of an attached agent.
func (e *Endpoints) Report(s *relayv1.EndpointStatus) {
	e.mu.Lock()
	if e.own == nil {
		e.own = make(map[string]*relayv1.EndpointStatus)
	}
	old := e.own[s.Instance]
	e.own[s.Instance] = s
	if c := e.carried[s.Instance]; c != nil && !c.outlasts(s) {
		delete(e.carried, s.Instance)
	}
	e.mu.Unlock()
	e.Update(s)
	if old == nil || old.BootId != s.BootId || !sameStatus(old, s) || differs(old.Limit, s.Limit) {
		e.changed.Fire()
	}
}

// differs reports whether a limit changed by more than a quarter. Smaller
// changes reach the peers with the answers of the endpoint.
func differs(a, b uint32) bool { return 4*max(a, b) > 5*min(a, b) }

// outlasts reports whether a peer may know the endpoint longer than an attached agent
// that reported s: the agent has attached to the peer since, or it has restarted.
func (c *carried) outlasts(s *relayv1.EndpointStatus) bool {
	return c.status.BootId != s.BootId || c.status.Sequence > s.Sequence
}

// Detach ends the status of an agent whose stream ended. A gateway that was frozen
// hears from a peer that the agent is attached there before it sees that end.
func (e *Endpoints) Detach(instance, boot string) {
	e.mu.Lock()
	s := e.own[instance]
	if s == nil || s.BootId != boot {
		e.mu.Unlock()
		return
	}
	delete(e.own, instance)
	c := e.carried[instance]
	e.mu.Unlock()
	e.Remove(instance)
	if c != nil && c.outlasts(s) {
		e.Update(c.status)
	}
	e.changed.Fire()
}

// snapshot returns the attached agents' status.
func (e *Endpoints) snapshot() map[string]*relayv1.EndpointStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := make(map[string]*relayv1.EndpointStatus, len(e.own))
	for k, v := range e.own {
		m[k] = v
	}
	return m
}

// open returns the number of a new stream to a peer.
func (e *Endpoints) open() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams++
	return e.streams
}

// learn takes a status that a peer passed on. The report of an attached agent
// goes before it. Peers repeat each status, so only one that changes the sums
// wakes the streams to other failure domains.
func (e *Endpoints) learn(stream uint64, s *relayv1.EndpointStatus) {
	e.mu.Lock()
	if e.carried == nil {
		e.carried = make(map[string]*carried)
	}
	c, known := e.carried[s.Instance]
	if !known {
		c = &carried{streams: make(map[uint64]bool)}
		e.carried[s.Instance] = c
	}
	c.streams[stream] = true
	n := share{s.BootId, s.Serves, s.Version, s.State == relayv1.EndpointState_ENDPOINT_STATE_READY, s.Limit}
	changed := !known || !c.share.isNear(n)
	if changed {
		c.share = n
	}
	c.status = s
	o := e.own[s.Instance]
	attached := o != nil
	if attached && !c.outlasts(o) {
		delete(e.carried, s.Instance)
	}
	e.mu.Unlock()
	if attached {
		return
	}
	e.Update(s)
	if changed {
		e.learned.Fire()
	}
}

// detached ends an endpoint whose agent left a peer.
func (e *Endpoints) detached(stream uint64, instance string) {
	e.mu.Lock()
	gone := e.drop(stream, instance) && e.own[instance] == nil
	e.mu.Unlock()
	if gone {
		e.Remove(instance)
		e.learned.Fire()
	}
}

// drop takes a stream from the carriers of an endpoint and reports whether it
// was the last one. The caller holds the lock.
func (e *Endpoints) drop(stream uint64, instance string) bool {
	c := e.carried[instance]
	if c == nil || !c.streams[stream] {
		return false
	}
	delete(c.streams, stream)
	if len(c.streams) > 0 {
		return false
	}
	delete(e.carried, instance)
	return true
}

// IsReportedByPeer reports whether a live peer still vouches for an endpoint.
func (e *Endpoints) IsReportedByPeer(instance string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.carried[instance] != nil
}

// lost ends the endpoints of a stream that ended, after the grace.
func (e *Endpoints) lost(stream uint64) {
	time.AfterFunc(e.Grace, func() {
		e.mu.Lock()
		var gone []string
		for i := range e.carried {
			if e.drop(stream, i) && e.own[i] == nil {
				gone = append(gone, i)
			}
		}
		e.mu.Unlock()
		for _, i := range gone {
			e.Remove(i)
		}
		if len(gone) > 0 {
			e.learned.Fire()
		}
	})
}

func (e *Endpoints) summaries() []*relayv1.Summary { return e.OwnSummaries() }

// view is what one peer has been told.
type view struct {
	sent map[string]*relayv1.EndpointStatus
	at   time.Time
}

// diff returns the messages that bring a peer up to date.
func (v *view) diff(now time.Time, own map[string]*relayv1.EndpointStatus) []*relayv1.ExchangeMessage {
	if v.sent == nil || now.Sub(v.at) >= refreshInterval {
		v.sent, v.at = make(map[string]*relayv1.EndpointStatus), now
	}
	var out []*relayv1.ExchangeMessage
	for i, s := range own {
		old := v.sent[i]
		if old != nil && old.BootId == s.BootId && sameStatus(old, s) && !differs(old.Limit, s.Limit) {
			continue
		}
		v.sent[i] = s
		out = append(out, &relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Status{Status: proto.Clone(s).(*relayv1.EndpointStatus)}})
	}
	for i := range v.sent {
		if own[i] == nil {
			delete(v.sent, i)
			out = append(out, &relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Detached{Detached: i}})
		}
	}
	return out
}
