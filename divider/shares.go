package divider

import "github.com/eelgrassdrift/eelgrassdrift/recorder"

// baseShare is the fraction of an account's mean demand per gateway that is added to
// the demand of each gateway. It leaves capacity for callers that switch to another
// gateway, and costs about a tenth of the limit when one gateway has all callers.
const baseShare = 0.1

// idleDemand, in requests per second, is added to the demand of each gateway, so that
// an account without demand is divided equally.
const idleDemand = 0.01

// Shares returns the fraction of each account's limit, in (0, 1], that a gateway
// with the demand own enforces. others is the demand of all other gateways, in
// any grouping, and gateways the number of all gateways, including this one.
// The fraction for accounts that are not in the result is EqualShare(gateways).
func Shares(own Demand, others []Demand, gateways int) map[recorder.Name]float64 {
	total := make(Demand)
	for _, d := range append([]Demand{own}, others...) {
		for a, r := range d {
			total[a] += r
		}
	}
	n := float64(max(gateways, 1))
	out := make(map[recorder.Name]float64, len(total))
	for a, t := range total {
		b := baseShare*t/n + idleDemand
		out[a] = min((own[a]+b)/(t+n*b), 1)
	}
	return out
}

// EqualShare returns the fraction of a limit that each gateway gets if it is divided
// equally.
func EqualShare(gateways int) float64 { return 1 / float64(max(gateways, 1)) }

// Changed reports whether the demand of an account was added or removed, or differs
// by more than a fifth and by more than 0.1 requests per second, so that it has to be
// sent to other gateways.
func Changed(a, b Demand) bool {
	if len(a) != len(b) {
		return true
	}
	for k, x := range a {
		y, ok := b[k]
		if !ok || 5*max(x, y) > 6*min(x, y) && max(x, y)-min(x, y) > 0.1 {
			return true
		}
	}
	return false
}
