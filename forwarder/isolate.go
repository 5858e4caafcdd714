package forwarder

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/isolator"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// endsEndpoints is the reason of the answer to a request that is held.
	endsEndpoints = "ends-endpoints"
	// endingCheckTimeout limits the check whether a process has ended. A port without a process
	// refuses a connection at once.
	endingCheckTimeout = 200 * time.Millisecond
)

// errHeld ends a call whose request has ended several endpoints.
var errHeld = &Error{Op: "send request", Kind: classifier.Refused, Err: errors.New("several endpoints ended while they had the request")}

// digest returns the digest of what reaches each endpoint that gets the request: all but the
// headers that change from one attempt of its caller to the next.
func (c *call) digest() isolator.Digest {
	if c.digestKnown {
		return c.contentDigest
	}
	n := &c.handler.Headers
	var names []string
	for k := range c.header {
		if k != n.RequestID && k != n.ResumeFrom && !slices.Contains(traceHeaders[:], k) {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	parts := [][]byte{[]byte(c.method), []byte(c.host), []byte(c.uri), c.body}
	for _, k := range names {
		parts = append(parts, []byte(k), []byte(strings.Join(c.header[k], "\n")))
	}
	c.contentDigest, c.digestKnown = isolator.DigestOf(parts...), true
	return c.contentDigest
}

// traceHeaders name one attempt of a caller.
var traceHeaders = [...]string{"Traceparent", "Tracestate", "X-Request-Id", "Date"}

// heldFor returns for how long the request must not be sent to an endpoint.
func (c *call) heldFor() time.Duration {
	i := c.handler.Isolator
	if i == nil || i.IsIdle() {
		return 0
	}
	return i.HeldFor(c.digest())
}

// noteEnding records that the process of the endpoint has ended, if that is why the attempt
// failed.
func (c *call) noteEnding(a *attempt, v attemptResult) {
	i := c.handler.Isolator
	if i == nil || !a.sent || v.err == nil || c.ctx.Err() != nil || !isBroken(v.err) {
		return
	}
	e := &a.lease.Endpoint
	if !c.handler.hasEnded(e.Address) {
		return
	}
	i.Add(isolator.Ending{Digest: c.digest(), Process: processName(e), Began: time.Since(a.sentAt)})
	c.handler.Log.Info().Str("request", c.id).Str("digest", c.digest().String()).Str("endpoint", e.ID).
		Strs("parts", sharedParts(c.header.Get(c.handler.Headers.PromptParts))).Bool("begun", a.begun).Dur("sent-ms", time.Since(a.sentAt)).Msg("endpoint-ended")
}

// noteServed records that an endpoint has served the request.
func (c *call) noteServed() {
	if i := c.handler.Isolator; i != nil && !i.IsIdle() {
		i.Served(c.digest())
	}
}

func processName(e *observer.Endpoint) string {
	return e.Address.String() + "/" + strconv.FormatInt(e.Started.UnixMilli(), 10)
}

// isBroken reports whether the other side ended the connection.
func isBroken(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, unix.ECONNRESET, unix.EPIPE)
}

// hasEnded reports whether no process listens at the address any more. An endpoint that only
// closed the connection, leaves or can't be reached doesn't refuse a new one. Calls at the same
// time share one check.
func (f *Handler) hasEnded(a netip.AddrPort) bool {
	v, _, _ := f.endingChecks.Do(a.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), endingCheckTimeout)
		defer cancel()
		dial := f.Transport.Dial
		if dial == nil {
			dial = dialTCP
		}
		c, err := dial(ctx, a)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, unix.ECONNREFUSED), nil
	})
	return v.(bool)
}
