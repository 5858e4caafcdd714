package relayer

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
)

// refreshInterval is the time after which a gateway resends unchanged statuses to its
// peers. Load is reported with the endpoints' responses, so peers need this only to
// recover a status that was lost.
const refreshInterval = 30 * time.Second

// Endpoints tracks the status of the endpoints of a failure domain, from attached agents
// and from peers, and passes on summaries and demand from peers.
type Endpoints struct {
	// Update is called with each new status, Remove with each endpoint that is gone.
	Update func(*relayv1.EndpointStatus)
	Remove func(instance string)
	// Summaries is called with the summaries of another failure domain, the address of
	// the gateway that sent them and the number of the stream. Nil summaries mean that
	// the stream has ended. Two gateways may have two streams.
	Summaries func(stream uint64, domain, address string, s []*relayv1.Summary)
	// OwnSummaries returns the summaries of this failure domain.
	OwnSummaries func() []*relayv1.Summary
	// OwnDemand returns the demand to send to a peer: that of this gateway if the peer
	// is of the same failure domain (local), else that of the whole failure domain.
	OwnDemand func(local bool) divider.Demand
	// Demand is called with the demand that a peer sent. Nil means that its stream has ended.
	Demand func(stream uint64, peer *relayv1.Hello, d *relayv1.Demand)
	// Grace is the time for which the endpoints reported on a closed stream are kept, so
	// that their agents can attach to another gateway.
	Grace time.Duration

	mu sync.Mutex
	// own holds the latest status of each attached agent.
	own map[string]*relayv1.EndpointStatus
	// fromPeers holds the endpoints reported by peers, by instance, unless an attached
	// agent supersedes the report.
	fromPeers map[string]*peerReport
	// lastStream is the number given to the latest stream.
	lastStream uint64
	// statusChanged fires when the statuses sent to peers of the same failure domain may
	// have changed, summaryChanged when only the summaries sent to other failure domains
	// may have.
	statusChanged, summaryChanged Signal
}

// peerReport is the status of an endpoint as reported by peers.
type peerReport struct {
	// streams holds the streams on which the endpoint was reported.
	streams map[uint64]bool
	// status is the latest status reported.
	status *relayv1.EndpointStatus
	// contribution is what the endpoint contributes to the summaries, as of the last
	// change beyond isEquivalent.
	contribution contribution
}

// contribution holds the values of a status that enter the summaries for other failure domains.
type contribution struct {
	boot, serves, version string
	ready                 bool
	limit                 uint32
}

// isEquivalent reports whether the summaries need no update if o replaces s: nothing differs
// but the limit, and that by no more than limitDiffers allows.
func (s contribution) isEquivalent(o contribution) bool {
	limit := o.limit
	o.limit = s.limit
	return s == o && !limitDiffers(s.limit, limit)
}

// Report records the status of an attached agent.
func (e *Endpoints) Report(s *relayv1.EndpointStatus) {
	e.mu.Lock()
	if e.own == nil {
		e.own = make(map[string]*relayv1.EndpointStatus)
	}
	old := e.own[s.Instance]
	e.own[s.Instance] = s
	if c := e.fromPeers[s.Instance]; c != nil && !c.mayOutlast(s) {
		delete(e.fromPeers, s.Instance)
	}
	e.mu.Unlock()
	e.Update(s)
	if old == nil || old.BootId != s.BootId || !sameStatus(old, s) || limitDiffers(old.Limit, s.Limit) {
		e.statusChanged.Fire()
	}
}

// limitDiffers reports whether a limit changed by more than a quarter. Peers learn of
// smaller changes from the responses of the endpoint.
func limitDiffers(a, b uint32) bool { return 4*max(a, b) > 5*min(a, b) }

// mayOutlast reports whether the peer's report may stay valid after the agent that
// reported s has detached here: the agent has since attached to the peer, or it has
// restarted.
func (c *peerReport) mayOutlast(s *relayv1.EndpointStatus) bool {
	return c.status.BootId != s.BootId || c.status.Sequence > s.Sequence
}

// Detach removes the status of an agent whose stream ended. A gateway that was suspended
// may hear from a peer that the agent is attached there before it sees the end of the
// stream; the peer's report then takes effect.
func (e *Endpoints) Detach(instance, boot string) {
	e.mu.Lock()
	s := e.own[instance]
	if s == nil || s.BootId != boot {
		e.mu.Unlock()
		return
	}
	delete(e.own, instance)
	c := e.fromPeers[instance]
	e.mu.Unlock()
	e.Remove(instance)
	if c != nil && c.mayOutlast(s) {
		e.Update(c.status)
	}
	e.statusChanged.Fire()
}

// snapshot returns a copy of the map of the attached agents' statuses.
func (e *Endpoints) snapshot() map[string]*relayv1.EndpointStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := make(map[string]*relayv1.EndpointStatus, len(e.own))
	for k, v := range e.own {
		m[k] = v
	}
	return m
}

// newStream allocates a number for a new stream to a peer.
func (e *Endpoints) newStream() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastStream++
	return e.lastStream
}

// reportFromPeer records a status that a peer forwarded. The status reported by an
// attached agent takes precedence. Peers resend each status, so only one that changes
// the summaries wakes the streams to other failure domains.
func (e *Endpoints) reportFromPeer(stream uint64, s *relayv1.EndpointStatus) {
	e.mu.Lock()
	if e.fromPeers == nil {
		e.fromPeers = make(map[string]*peerReport)
	}
	c, known := e.fromPeers[s.Instance]
	if !known {
		c = &peerReport{streams: make(map[uint64]bool)}
		e.fromPeers[s.Instance] = c
	}
	c.streams[stream] = true
	n := contribution{s.BootId, s.Serves, s.Version, s.State == relayv1.EndpointState_ENDPOINT_STATE_READY, s.Limit}
	changed := !known || !c.contribution.isEquivalent(n)
	if changed {
		c.contribution = n
	}
	c.status = s
	o := e.own[s.Instance]
	attached := o != nil
	if attached && !c.mayOutlast(o) {
		delete(e.fromPeers, s.Instance)
	}
	e.mu.Unlock()
	if attached {
		return
	}
	e.Update(s)
	if changed {
		e.summaryChanged.Fire()
	}
}

// detachFromPeer records that an agent has detached from the peer on a stream.
func (e *Endpoints) detachFromPeer(stream uint64, instance string) {
	e.mu.Lock()
	gone := e.removeStream(stream, instance) && e.own[instance] == nil
	e.mu.Unlock()
	if gone {
		e.Remove(instance)
		e.summaryChanged.Fire()
	}
}

// removeStream removes a stream from those on which an endpoint was reported, and
// reports whether it was the last one. The caller holds e.mu.
func (e *Endpoints) removeStream(stream uint64, instance string) bool {
	c := e.fromPeers[instance]
	if c == nil || !c.streams[stream] {
		return false
	}
	delete(c.streams, stream)
	if len(c.streams) > 0 {
		return false
	}
	delete(e.fromPeers, instance)
	return true
}

// IsReportedByPeer reports whether a report of the endpoint from a peer is held: it was
// not withdrawn, dropped after the end of its stream or superseded by an attached agent.
func (e *Endpoints) IsReportedByPeer(instance string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fromPeers[instance] != nil
}

// dropStream removes the endpoints reported only on a stream that ended, after Grace.
func (e *Endpoints) dropStream(stream uint64) {
	time.AfterFunc(e.Grace, func() {
		e.mu.Lock()
		var gone []string
		for i := range e.fromPeers {
			if e.removeStream(stream, i) && e.own[i] == nil {
				gone = append(gone, i)
			}
		}
		e.mu.Unlock()
		for _, i := range gone {
			e.Remove(i)
		}
		if len(gone) > 0 {
			e.summaryChanged.Fire()
		}
	})
}

func (e *Endpoints) summaries() []*relayv1.Summary { return e.OwnSummaries() }

// sentStatuses records the statuses that were sent to one peer.
type sentStatuses struct {
	sent    map[string]*relayv1.EndpointStatus
	resetAt time.Time
}

// diff returns the messages that bring the peer up to date. It resends all statuses
// after refreshInterval.
func (v *sentStatuses) diff(now time.Time, own map[string]*relayv1.EndpointStatus) []*relayv1.ExchangeMessage {
	if v.sent == nil || now.Sub(v.resetAt) >= refreshInterval {
		v.sent, v.resetAt = make(map[string]*relayv1.EndpointStatus), now
	}
	var out []*relayv1.ExchangeMessage
	for i, s := range own {
		old := v.sent[i]
		if old != nil && old.BootId == s.BootId && sameStatus(old, s) && !limitDiffers(old.Limit, s.Limit) {
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
