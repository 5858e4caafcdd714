package forwarder

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// A dial that timed out doesn't show that the endpoint is lost: a SYN may be lost, and a process
// that was paused takes a connection that was made meanwhile for one that is late. Such an
// endpoint is passed over while another one may serve the request. If none may, for example
// because the other one refused it for a pause, it is dialed once more instead of refusing a
// request that it can serve.

// noteDial records whether an attempt that failed shows nothing but a dial that timed out.
func (c *call) noteDial(a *attempt, v attemptResult) {
	id := a.lease.Endpoint.ID
	var n net.Error
	if !a.sent && errors.As(v.err, &n) && n.Timeout() && id != c.dialedAgain {
		c.unreached = append(c.unreached, id)
	}
}

// readmitUnreached lets an endpoint that was not reached be dialed once more if no other one may
// take the next attempt, while the caller waits for another dial. There is one such dial for each
// call: a gateway that is cut off from all endpoints would delay its refusals by one for each of them.
func (c *call) readmitUnreached() {
	if len(c.unreached) == 0 || c.dialedAgain != "" || c.handler.Dispatcher.Available(c.dispatcherRequest()) == nil || !c.hasTimeToDial() {
		return
	}
	// The last one that was not reached is the one whose dial began last.
	c.dialedAgain = c.unreached[len(c.unreached)-1]
	// The dispatcher may still hold the slice in a request that waits.
	c.triedEndpoints = slices.DeleteFunc(slices.Clone(c.triedEndpoints), func(id string) bool { return id == c.dialedAgain })
}

// hasTimeToDial reports whether the caller is still there after a dial that times out.
func (c *call) hasTimeToDial() bool {
	end := time.Now().Add(dialTimeout)
	first := c.firstBy()
	return end.Before(c.deadline) && (first.IsZero() || end.Before(first))
}
