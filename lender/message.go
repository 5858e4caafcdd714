package lender

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Validity is the time after the time stamp of a demand for which the permits that answer it may be
// used: 0.1 s between two demands, 0.2 s until the next report, and 0.1 s for the link and the use.
const Validity = 400 * time.Millisecond

// maxStated is the largest number of requests that a demand may state. A gateway's queue holds
// at most 512.
const maxStated = 1024

// Demand is a gateway's message to the agent of a cold endpoint.
type Demand struct {
	Gateway string `json:"gateway"`
	// Started is the start of the endpoint's process.
	Started time.Time `json:"started"`
	// Waiting is the number of requests that wait or were refused within the last second, and
	// Arrivals that of all that arrived in it, for this endpoint.
	Waiting  int `json:"waiting"`
	Arrivals int `json:"arrivals"`
	// Holds reports whether the gateway uses permits in place of its fixed share.
	Holds bool `json:"holds,omitempty"`
	// List is the digest of the gateways that the gateway knows.
	List uint32 `json:"list"`
	// Sent is the time in microseconds on a clock of the gateway. A message without it asks for no
	// permits and isn't for the lender.
	Sent int64 `json:"sent"`
	// Ranks holds the waiting requests by the place of their rank, the most urgent first, where they
	// differ in rank. It doesn't concern permits.
	Ranks []int `json:"ranks,omitempty"`
}

// ListDigest returns the digest of the sorted names of the known gateways. Processes with the same
// list agree on the gateways that may use a fixed share.
func ListDigest(names []string) uint32 {
	h := xxhash.New()
	for _, n := range names {
		_, _ = h.WriteString(n + "\n")
	}
	return uint32(h.Sum64())
}

// weight is the weight of the demand in the division of permits.
func (d Demand) weight() int { return d.Waiting + d.Arrivals }

// most is the number of permits that the gateway can use within their validity.
func (d Demand) most() int {
	return d.Waiting + (d.Arrivals*int(Validity/time.Millisecond)+999)/1000
}

// Offer is the part of a load report that concerns permits. An empty one tells the gateway that
// the agent lends.
type Offer struct {
	// Permits is the number of requests that the gateway may send, and Serial increases with each
	// offer that has any.
	Permits int   `json:"permits,omitempty"`
	Serial  int64 `json:"serial,omitempty"`
	// Sent is the time stamp of the demand that the offer answers.
	Sent int64 `json:"sent,omitempty"`
}
