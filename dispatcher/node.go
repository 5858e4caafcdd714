package dispatcher

import (
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/lender"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Times of a node.
const (
	// reportMaxAge is the age up to which a report is used; reports arrive five times a
	// second.
	reportMaxAge = 1200 * time.Millisecond
	// silentReportMaxAge is the same for the load, the version and whether the endpoint is
	// about to get weights. An agent may be silent for two seconds and go on, and two
	// reports are due then. The load of the other gateways changes less in that time than
	// an assumption would be wrong, and a process loads only newer versions.
	silentReportMaxAge = 2400 * time.Millisecond
	// reportTimeout is the time without a report or a response after which an endpoint
	// whose instance has reported before is suspected to be lost or cut off; four reports
	// are due in it.
	reportTimeout = 900 * time.Millisecond
	// minSuspect and maxSuspect bound the time for which an endpoint that failed gets
	// requests only if there is no other. It doubles with each consecutive failure.
	minSuspect = 300 * time.Millisecond
	maxSuspect = 3 * time.Second
	// fullBackoff is how long an endpoint that refused a request as full gets no
	// requests; about the time in which one of its slots becomes free.
	fullBackoff = 60 * time.Millisecond
	// misdirectedBackoff is how long an endpoint at whose address another instance
	// answered gets no requests; the list is updated within two heartbeats.
	misdirectedBackoff = 2500 * time.Millisecond
	// coldRateWindow is the period over which requests to a cold endpoint are counted.
	// The part above one second covers differences in network latency.
	coldRateWindow = 1100 * time.Millisecond
)

const (
	// failureRateWeight is the weight of one outcome in the moving average of the
	// failure rate.
	failureRateWeight = 0.1
	// defaultSlots is the number of slots of an endpoint that declares none.
	defaultSlots = 8
)

// Report is a load report from the instance of an endpoint.
type Report struct {
	// Address identifies the endpoint.
	Address netip.AddrPort `json:"address"`
	// Started is the start time of the endpoint's process.
	Started time.Time `json:"started"`
	// Versions maps each completely loaded model to its version.
	Versions map[string]int64 `json:"versions"`
	// Closed is set while the endpoint is about to load weights or is loading them.
	Closed bool `json:"closed,omitempty"`
	// Load is the number of requests of all gateways at the endpoint.
	Load int `json:"load"`
	// Queued is the number of these that the endpoint hasn't begun.
	Queued int `json:"queued,omitempty"`
	// Leaving is set once the endpoint has said that it is about to end.
	Leaving bool `json:"leaving,omitempty"`
	// LinkDelay is how long bytes to the endpoint wait in the link of its instance now.
	LinkDelay recorder.Duration `json:"link-delay,omitempty"`
	// Lending is set while the agent lends the rate of a cold endpoint; it then holds the permits of
	// the receiving gateway.
	Lending *lender.Offer `json:"lending,omitempty"`
	// From is the address from which the report came; the zero value if that isn't known.
	From netip.AddrPort `json:"-"`
	// Waiting holds how many requests wait for the endpoint at other gateways than the receiving one,
	// by the place of their rank among those of the service, the most urgent first.
	Waiting []int `json:"waiting,omitempty"`
}

// node is an endpoint as this gateway sees it. The dispatcher's lock guards it.
type node struct {
	observer.Endpoint

	// listedAt is when this gateway first saw the entry of the process.
	listedAt time.Time
	// inFlight is the number of leases of this gateway.
	inFlight int
	// report is the last report; reportedAt is zero if there was none, and
	// inFlightAtReport the leases at that time.
	report     Report
	reportedAt time.Time
	// agent is the address from which the instance of the endpoint last sent a report.
	agent            netip.AddrPort
	inFlightAtReport int
	// unbegunAtReport is the number of those that hadn't begun, and leases holds the leases.
	unbegunAtReport int
	leases          []*Lease
	pace            pace
	// respondedAt is when the endpoint last responded to a request of this gateway.
	respondedAt time.Time

	begins beginDelays
	// incarnations is what is known of the processes at the location of the endpoint; nil before the
	// first update of the list.
	incarnations *incarnations
	// readySince is since when the list has named the process as ready without an outage of the
	// platform; the zero time if it doesn't.
	readySince time.Time

	// preferred reports whether this gateway is a sharer of the endpoint; ranked, whether
	// that has been determined.
	preferred, ranked bool

	// newestStart is the latest start of any process at the address by the list, and
	// reportedStart the start of a process that the list lacks, by a report.
	newestStart, reportedStart time.Time
	// confirmed reports whether the endpoint's process has reported since newestStart.
	confirmed bool

	// prefill is the estimated time that the engine takes to process those prompts of
	// this gateway that it hasn't finished yet.
	prefill time.Duration

	coldUntil time.Time
	// coldShare is the number of requests that this gateway may send in a
	// coldRateWindow while the endpoint is cold.
	coldShare int
	// avoidUntil is when an endpoint that refused a request may be asked again.
	avoidUntil time.Time
	// suspectUntil is the time until which an endpoint that failed gets requests
	// only where there is no other.
	suspectUntil time.Time
	// failures counts consecutive failures.
	failures int
	// place is that of this gateway among the sharers, or among all gateways if all prefer the endpoint.
	place int
	// idleSince is when a report first showed no request of any gateway, after one that showed some, and
	// busySince the reverse.
	idleSince, busySince time.Time
	// failedAt is when a request of this gateway last failed.
	failedAt time.Time
	// tryAt is when this gateway may try the endpoint after a failure that reports can't have shown.
	tryAt time.Time
	// failureRate is the moving average of the share of requests that failed.
	failureRate float64
	// coldSent holds the times of the last requests while the endpoint is cold, the
	// oldest first.
	coldSent []time.Time
	permits  permits
}

// limit is the number of requests that all gateways may have at the endpoint.
func (n *node) limit() int {
	if n.Slots > 0 {
		return n.Slots
	}
	return defaultSlots
}

// load estimates the number of requests of all gateways at the endpoint.
// Without a recent report it assumes that all gateways send as much as this one.
func (n *node) load(now time.Time, gateways int) int {
	if now.Sub(n.reportedAt) <= silentReportMaxAge {
		return max(n.inFlight, n.report.Load+n.inFlight-n.inFlightAtReport)
	}
	if len(n.Versions) == 0 {
		return n.inFlight
	}
	return n.inFlight * gateways
}

// version returns the version of a model that the endpoint serves; 0 for none. Without a
// recent report it is the newest that the list or the last report has, as either may lag.
func (n *node) version(model string, now time.Time) int64 {
	switch age := now.Sub(n.reportedAt); {
	case age <= reportMaxAge:
		return n.report.Versions[model]
	case age <= silentReportMaxAge:
		return max(n.report.Versions[model], n.Versions[model])
	}
	return n.Versions[model]
}

// isSuspect reports whether the endpoint failed recently, or its instance stopped
// reporting and it doesn't respond either. Missing reports reveal a cut link before a
// request is lost on it, but an agent may be silent beside a sound endpoint.
func (n *node) isSuspect(now time.Time) bool {
	return now.Before(n.suspectUntil) || !n.reportedAt.IsZero() && now.Sub(n.reportedAt) > reportTimeout && now.Sub(n.respondedAt) > reportTimeout
}

// isClosed reports whether the endpoint is about to load weights or is loading them.
func (n *node) isClosed(now time.Time) bool {
	return n.report.Closed && now.Sub(n.reportedAt) <= reportMaxAge
}

// isColdLimited reports whether the endpoint is cold and this gateway has used up
// its permits or, if it has none, its share of requests for the present coldRateWindow.
func (n *node) isColdLimited(now time.Time) bool {
	if now.After(n.coldUntil) {
		n.coldSent = n.coldSent[:0]
		return false
	}
	n.trimColdSent(now)
	if n.permits.isHolder(now) {
		return n.permits.left(now) == 0
	}
	return len(n.coldSent) >= n.coldShare
}

// trimColdSent drops the times of requests that are older than coldRateWindow.
func (n *node) trimColdSent(now time.Time) {
	for len(n.coldSent) > 0 && now.Sub(n.coldSent[0]) > coldRateWindow {
		n.coldSent = n.coldSent[1:]
	}
}

// recordFailure counts a failure and marks the endpoint as suspect, for a time that
// doubles with each consecutive failure.
func (n *node) recordFailure(now time.Time) {
	n.failureRate += (1 - n.failureRate) * failureRateWeight
	d := min(minSuspect<<min(n.failures, 8), maxSuspect)
	n.failures++
	n.suspectUntil = now.Add(d)
}

func (n *node) recordSuccess() {
	n.failures = 0
	n.suspectUntil = time.Time{}
	n.failureRate -= n.failureRate * failureRateWeight
}

// extendCold marks the endpoint as cold until the given time, unless it already is
// for longer.
func (n *node) extendCold(until time.Time) {
	if until.After(n.coldUntil) {
		n.coldUntil = until
	}
}

func (n *node) avoid(until time.Time) {
	if until.After(n.avoidUntil) {
		n.avoidUntil = until
	}
}
