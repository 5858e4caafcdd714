package forwarder

import (
	"slices"
	"strconv"
)

// minUrgency is the largest value of the urgency header, which stands for the least urgent
// requests.
const minUrgency = 9

// lastPlace is the place with minUrgency.
const lastPlace = minUrgency / 2

// urgency returns the urgency of an attempt for a request with the rank, or "" if the requests
// to its service don't differ in rank; ranks holds those that they may have, in order. An
// attempt that resumes a stream precedes the first attempts of its rank, since its caller
// notices the pause. One that is owed its slot has the urgency of the most urgent rank. More than
// five ranks are spread over the five places, so that neighbours may share one: ranks combine two
// priorities, and nine of them are usual.
func urgency(ranks []int, rank int, owed, resumed bool) string {
	if len(ranks) < 2 {
		return ""
	}
	// The table has all ranks that requests may have. Another one gets the place where it
	// would be.
	i, _ := slices.BinarySearch(ranks, rank)
	if owed {
		i = 0
	}
	if last := len(ranks) - 1; last > lastPlace {
		i = i * lastPlace / last
	}
	u := min(2*i+1, minUrgency)
	if resumed {
		u--
	}
	return strconv.Itoa(u)
}
