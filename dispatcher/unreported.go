package dispatcher

import "time"

// firstReportTimeout is the time after which an endpoint is suspect that its instance has
// never reported, while other endpoints of the service are reported. An entry of another
// writer may look sound, and each request that is sent to it loses an attempt. After the start
// of a gateway all agents learn of it sooner than that.
const firstReportTimeout = 8 * time.Second

// isUnreported reports whether the endpoint has been listed for long without a report.
func (p *pool) isUnreported(n *node, now time.Time) bool {
	return n.reportedAt.IsZero() && now.Sub(n.listedAt) > firstReportTimeout && now.Sub(p.reportedAt) <= reportMaxAge
}
