package streamer

import (
	"io"

	"github.com/cockroachdb/errors"
)

// Copy writes every frame of r to w. It returns nil after a verified end. After
// an error with any fault other than Unwritable the stream can be resumed by
// copying a new Reader with From set to r.Position() to the same Writer. If it
// cannot be resumed, the caller ends it with w.Fail.
func Copy(w *Writer, r *Reader) error {
	for {
		f, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := w.Frame(f); err != nil {
			return err
		}
	}
}
