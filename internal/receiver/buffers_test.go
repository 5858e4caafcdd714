package receiver_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
)

// Guards against bodies that fill the memory of a process together although each of them keeps
// to its own limit, and against room that isn't given back after an error.
func TestShare(t *testing.T) {
	var all receiver.Buffers
	const size = 6 << 20
	body := bytes.Repeat([]byte("x"), size)
	var shares []*receiver.Share
	whole := 0
	for range 20 {
		s := &receiver.Share{Of: &all}
		shares = append(shares, s)
		switch b, err := s.Read(bytes.NewReader(body), size); {
		case err == nil && len(b) == size:
			whole++
		case !errors.Is(err, receiver.ErrNoBufferSpace):
			t.Fatalf("%d bytes, %v", len(b), err)
		}
	}
	if whole < 4 || whole*size > receiver.MaxBufferedBytes {
		t.Errorf("%d bodies were read", whole)
	}
	small := &receiver.Share{Of: &all}
	if b, err := small.Read(strings.NewReader("small"), size); string(b) != "small" || err != nil {
		t.Errorf("a small body beside large ones: %q, %v", b, err)
	}
	if _, err := small.Read(strings.NewReader("too long"), 3); !errors.Is(err, receiver.ErrTooLarge) {
		t.Errorf("a body above its limit: %v", err)
	}
	for _, s := range shares {
		s.Release()
		s.Release()
	}
	if n := all.Used(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}
