package loader

import (
	"slices"
	"strings"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// turns is the number of groups that load one after the other.
	turns = 3
	// secondTurn and lastTurn are the parts of the time to the deadline of a
	// version at which the turns after the first begin. What is left after the
	// last is for the requests that run and for the load itself.
	secondTurn = 0.5
	lastTurn   = 0.64
	// lateStep is the pause between the turns where the time at which the version
	// was named isn't known.
	lateStep = time.Second
)

// turn returns the group of an endpoint among those of its service. The endpoints
// of a failure domain are spread over the groups.
func turn(list map[string]*observer.Endpoint, e *observer.Endpoint) int {
	var same []*observer.Endpoint
	for _, o := range list {
		if o.Service == e.Service {
			same = append(same, o)
		}
	}
	slices.SortFunc(same, func(a, b *observer.Endpoint) int {
		if c := strings.Compare(a.Domain, b.Domain); c != 0 {
			return c
		}
		return a.Address.Compare(b.Address)
	})
	return max(0, slices.Index(same, e)) % turns
}

// turnStart returns when a group may load a version that is due within the given
// time after it was learned of.
func turnStart(group int, learned, now time.Time, within time.Duration) time.Time {
	if learned.IsZero() {
		return now.Add(time.Duration(group) * lateStep)
	}
	switch group {
	case 0:
		return now
	case 1:
		return learned.Add(time.Duration(float64(within) * secondTurn))
	default:
		return learned.Add(time.Duration(float64(within) * lastTurn))
	}
}
