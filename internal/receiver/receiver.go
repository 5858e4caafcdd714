// Package receiver reads bodies of others, who may send slowly, not at all or without end.
package receiver

import (
	"net/http"
	"time"
)

// Body returns the whole body of a request. It fails if the body is longer than limit
// bytes or isn't complete by the deadline: a caller that sends a byte now and then would
// otherwise hold the request for as long as it stays connected. The body stays reserved in
// buffers until their release.
func Body(w http.ResponseWriter, q *http.Request, limit int64, deadline time.Time, buffers *Share) ([]byte, error) {
	c := http.NewResponseController(w)
	// SetReadDeadline fails for a writer without deadlines, as in tests, which has no
	// connection that could block.
	_ = c.SetReadDeadline(deadline)
	b, err := buffers.Read(http.MaxBytesReader(w, q.Body, limit), limit)
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
	return b, err
}
