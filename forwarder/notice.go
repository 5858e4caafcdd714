package forwarder

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
)

// noticeLogInterval is the shortest time between two log lines about notices that can't be
// decoded.
const noticeLogInterval = time.Second

// notice passes what the endpoint says about itself in its response to the dispatcher. A
// response with status 421 is another instance's.
func (a *attempt) notice() {
	h, r := a.call.handler, a.response
	if h.DecodeNotice == nil || r.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	n, err := h.DecodeNotice(r.StatusCode, r.Header)
	if err != nil && h.noticeErrors.allow(time.Now()) {
		h.Log.Warn().Str("request", a.call.id).Str("endpoint", a.lease.Endpoint.ID).Err(err).Msg("notice-refused")
	}
	if n != (dispatcher.Notice{}) {
		h.Dispatcher.Notice(a.lease, n)
	}
}

// logLimiter allows one log line in each noticeLogInterval. The zero value is ready to use.
type logLimiter struct {
	// lastNanos is the time of the last line in nanoseconds.
	lastNanos atomic.Int64
}

func (l *logLimiter) allow(now time.Time) bool {
	last := l.lastNanos.Load()
	return now.UnixNano()-last >= int64(noticeLogInterval) && l.lastNanos.CompareAndSwap(last, now.UnixNano())
}
