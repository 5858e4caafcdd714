// Package receiver reads request bodies of callers that may send slowly or not at all.
package receiver

import (
	"io"
	"net/http"
	"time"
)

// Body returns the whole body of a request. It fails if the body is longer than limit
// bytes or isn't complete by the deadline: a caller that sends a byte now and then would
// otherwise hold the request for as long as it stays connected.
func Body(w http.ResponseWriter, q *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	c := http.NewResponseController(w)
	// SetReadDeadline fails for a writer without deadlines, as in tests, which has no
	// connection that could block.
	_ = c.SetReadDeadline(deadline)
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, limit))
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
	return b, err
}
