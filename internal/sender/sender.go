// Package sender writes responses to callers that may read slowly or not at all.
package sender

import (
	"cmp"
	"net/http"
	"time"
)

// partBytes is the number of bytes that a caller has to accept within Timeout.
const partBytes = 32 << 10

// DefaultTimeout is the Timeout of a Writer that sets none.
const DefaultTimeout = 5 * time.Second

// Writer writes a response in parts. It fails if the caller doesn't accept a part in time,
// as a caller that stops reading would otherwise hold the request's resources for as long
// as it stays connected. A caller that reads slowly gets its whole response.
type Writer struct {
	http.ResponseWriter
	// Timeout is how long the caller may take to accept a part; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Unwrap returns the underlying writer for http.ResponseController.
func (s *Writer) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// Write implements io.Writer.
func (s *Writer) Write(b []byte) (int, error) {
	n := 0
	for {
		s.extendDeadline()
		k, err := s.ResponseWriter.Write(b[n:min(n+partBytes, len(b))])
		if n += k; err != nil || n >= len(b) {
			return n, err
		}
	}
}

// FlushError sends buffered data. http.ResponseController calls it.
func (s *Writer) FlushError() error {
	s.extendDeadline()
	return http.NewResponseController(s.ResponseWriter).Flush()
}

// extendDeadline ignores the error of a writer without deadlines, as in tests, because it
// has no connection that could block.
func (s *Writer) extendDeadline() {
	_ = http.NewResponseController(s.ResponseWriter).SetWriteDeadline(time.Now().Add(cmp.Or(s.Timeout, DefaultTimeout)))
}
