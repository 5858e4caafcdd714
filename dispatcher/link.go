package dispatcher

import "time"

// slowLink is the delay in the link of an instance from which its endpoint is the last
// resort. A request in the link still arrives after its caller has left, and must not do so
// more than half a second later.
const slowLink = 500 * time.Millisecond

// linkDelay returns how long a request waits in the link of the endpoint's instance; 0 if
// that isn't known.
func (n *node) linkDelay(now time.Time) time.Duration {
	if now.Sub(n.reportedAt) > reportMaxAge {
		return 0
	}
	return max(0, time.Duration(n.report.LinkDelay))
}
