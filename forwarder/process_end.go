package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
)

const (
	// askTimeout limits a question to a process, and askTime the questions about the end of one response.
	// A sound process may be silent for 2 s.
	askTimeout = 500 * time.Millisecond
	askTime    = 2500 * time.Millisecond
	// askRetryDelay is the pause after a question without an answer.
	askRetryDelay = 100 * time.Millisecond
)

// errProcessEnded ends an attempt whose response ended with the process of its endpoint, or whose
// process gives no sign that it still runs.
var errProcessEnded = errors.Wrap(io.ErrUnexpectedEOF, "the process has ended")

// isCutByEnd reports whether a response that was read to its end may have been cut off there: it
// has neither a length nor chunks, so it ends with its connection, and the process that sent it
// has ended or doesn't show that it still runs. Another one may have started at its address.
func (a *attempt) isCutByEnd() bool {
	r := a.response
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || a.call.method == http.MethodHead {
		return false
	}
	h, e := a.call.handler, &a.lease.Endpoint
	if h.AskProcess == nil {
		return h.hasEnded(e.Address)
	}
	// Half of the caller's time is left for another attempt.
	ctx, cancel := context.WithTimeout(a.ctx, min(askTime, time.Until(a.call.deadline)/2))
	defer cancel()
	for ctx.Err() == nil {
		s, err := a.askProcess(ctx)
		switch {
		case err == nil:
			return !a.isSameProcess(s)
		case errors.Is(err, unix.ECONNREFUSED):
			return true
		}
		_ = sleeper.Sleep(ctx, askRetryDelay)
	}
	return true
}

func (a *attempt) askProcess(ctx context.Context) (connector.ProcessState, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return a.call.handler.AskProcess(ctx, a.lease.Endpoint.Address)
}

// isSameProcess reports whether the process in the state is the one that sent the response. The list
// may not have known that one. A process that states no start counts as the same.
func (a *attempt) isSameProcess(s connector.ProcessState) bool {
	return s.Started.IsZero() || s.Started.Equal(a.lease.Endpoint.Started) || s.Started.Before(a.conn.madeAt.Add(-dispatcher.MaxStartSkew))
}
