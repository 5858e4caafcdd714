package dispatcher

import (
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Times of a node.
const (
	// reportAge is how long a report of an endpoint's load is used; reports come
	// five times a second.
	reportAge = 1200 * time.Millisecond
	// silentAfter is the time without a report after which an endpoint whose
	// instance has reported before is taken for lost or cut off; four reports.
	silentAfter = 900 * time.Millisecond
	// minSuspect and maxSuspect bound the time for which an endpoint that failed is
	// the last resort. It doubles with each failure in a row.
	minSuspect = 300 * time.Millisecond
	maxSuspect = 3 * time.Second
	// refusedAvoid is how long an endpoint that refused a request as full is
	// left alone; about the time in which one of its slots becomes free.
	refusedAvoid = 60 * time.Millisecond
	// misdirectedAvoid is how long an endpoint whose address another instance
	// has is left alone; the list follows within two heartbeats.
	misdirectedAvoid = 2500 * time.Millisecond
	// coldSecond is the span in which requests to a cold endpoint are counted. The
	// part above a second covers the differences of their travel times.
	coldSecond = 1100 * time.Millisecond
)

const (
	// faultWeight is the weight of one outcome in the mean share of failures.
	faultWeight = 0.1
	// plainSlots is the number of slots of an endpoint that names none.
	plainSlots = 8
)

// Report is what the instance of an endpoint tells of its load.
type Report struct {
	// Address identifies the endpoint.
	Address netip.AddrPort `json:"address"`
	// Started is the start of the endpoint's process.
	Started time.Time `json:"started"`
	// Versions holds the version of each model that is loaded whole.
	Versions map[string]int64 `json:"versions"`
	// Closed tells that the endpoint is about to load or is loading.
	Closed bool `json:"closed,omitempty"`
	// Load is the number of requests of all gateways at the endpoint.
	Load int `json:"load"`
}

// node is an endpoint as this gateway sees it. The dispatcher's lock guards it.
type node struct {
	observer.Endpoint

	// inFlight is the number of leases of this gateway.
	inFlight int
	// report is the last report; reportedAt is zero where there was none, and
	// inFlightThen the leases at that time.
	report       Report
	reportedAt   time.Time
	inFlightThen int

	// reading is the time that the engine takes to read the prompts of this
	// gateway that it hasn't answered yet.
	reading time.Duration

	coldUntil time.Time
	// avoidUntil is when an endpoint that refused a request may be asked again.
	avoidUntil time.Time
	// suspectUntil is the time until which an endpoint that failed gets requests
	// only where there is no other.
	suspectUntil time.Time
	// failures counts the failures in a row.
	failures int
	// faults is the moving mean share of requests that failed.
	faults float64
	// sent holds the times of the last requests while the endpoint is cold, the
	// oldest first.
	sent []time.Time
}

// limit is the number of requests that all gateways may have at the endpoint.
func (n *node) limit() int {
	if n.Slots > 0 {
		return n.Slots
	}
	return plainSlots
}

// load estimates the number of requests of all gateways at the endpoint.
// Without a fresh report all gateways are taken to send as much as this one.
func (n *node) load(now time.Time, gateways int) int {
	if now.Sub(n.reportedAt) <= reportAge {
		return max(n.inFlight, n.report.Load+n.inFlight-n.inFlightThen)
	}
	if len(n.Versions) == 0 {
		return n.inFlight
	}
	return n.inFlight * gateways
}

// version returns the version of a model that the endpoint serves; 0 for none.
func (n *node) version(model string, now time.Time) int64 {
	if now.Sub(n.reportedAt) <= reportAge {
		return n.report.Versions[model]
	}
	return n.Versions[model]
}

// isSuspect reports whether the endpoint failed lately, or its instance went silent.
// A cut link shows there before a request is lost on it.
func (n *node) isSuspect(now time.Time) bool {
	return now.Before(n.suspectUntil) || !n.reportedAt.IsZero() && now.Sub(n.reportedAt) > silentAfter
}

// closed reports whether the endpoint is about to load.
func (n *node) closed(now time.Time) bool {
	return n.report.Closed && now.Sub(n.reportedAt) <= reportAge
}

// coldFull reports whether a cold endpoint has had its share of this second.
func (n *node) coldFull(now time.Time, share int) bool {
	if now.After(n.coldUntil) {
		n.sent = n.sent[:0]
		return false
	}
	for len(n.sent) > 0 && now.Sub(n.sent[0]) > coldSecond {
		n.sent = n.sent[1:]
	}
	return len(n.sent) >= share
}

// failed notes a failure and makes the endpoint the last resort for a while.
func (n *node) failed(now time.Time) {
	n.faults += (1 - n.faults) * faultWeight
	d := min(minSuspect<<min(n.failures, 8), maxSuspect)
	n.failures++
	n.suspectUntil = now.Add(d)
}

func (n *node) succeeded() {
	n.failures = 0
	n.suspectUntil = time.Time{}
	n.faults -= n.faults * faultWeight
}

// cool notes that the endpoint stays cold.
func (n *node) cool(until time.Time) {
	if until.After(n.coldUntil) {
		n.coldUntil = until
	}
}

func (n *node) avoid(until time.Time) {
	if until.After(n.avoidUntil) {
		n.avoidUntil = until
	}
}
