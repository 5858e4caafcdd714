package isolator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Digest names the content of a request. Requests with the same content have the same digest.
type Digest [16]byte

// DigestOf returns the digest of the parts of a request.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		n := len(p)
		for i := range size {
			size[i] = byte(n >> (8 * i))
		}
		_, _ = h.Write(size[:])
		_, _ = h.Write(p)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a digest. It returns an error of kind Invalid for any other text.
func (d *Digest) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(d)) {
		return &Error{Op: "decode digest", Kind: classifier.Invalid, Err: errors.Newf("%d characters", len(b))}
	}
	if _, err := hex.Decode(d[:], b); err != nil {
		return &Error{Op: "decode digest", Kind: classifier.Invalid, Err: err}
	}
	return nil
}

const (
	// maxMessageEndings is the number of endings in one message, which fits into one datagram that
	// isn't fragmented.
	maxMessageEndings = 8
	// maxAge is the age of the oldest ending that is sent.
	maxAge = time.Hour
	// maxProcessBytes is the length of the longest name of a process.
	maxProcessBytes = 80
)

// Ending says that a process ended while it had a request.
type Ending struct {
	Digest Digest `json:"digest"`
	// Process names the process of the endpoint; it has at most 80 bytes and isn't empty.
	Process string `json:"process"`
	// Began is how long ago the request was sent to the process, Ended how long ago the process
	// ended. Neither is negative or above an hour, and Began isn't below Ended.
	Began time.Duration `json:"began"`
	Ended time.Duration `json:"ended"`
	// Served reports whether the request was served elsewhere since, so that the ending doesn't
	// count.
	Served bool `json:"served,omitempty"`
}

// Message holds endings for other gateways.
type Message struct {
	// Endings holds 1 to 8 endings.
	Endings []Ending `json:"endings"`
}

// UnmarshalJSON decodes a message. It returns an error of kind Invalid if the message holds no
// endings or too many, or one without a process or with times that can't be.
func (m *Message) UnmarshalJSON(b []byte) error {
	const op = "decode message"
	type plain Message
	var v plain
	if err := json.Unmarshal(b, &v); err != nil {
		return &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	if n := len(v.Endings); n == 0 || n > maxMessageEndings {
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("%d endings", n)}
	}
	for _, e := range v.Endings {
		if e.Ended < 0 || e.Began < e.Ended || e.Began > maxAge {
			return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("began %s and ended %s ago", e.Began, e.Ended)}
		}
		if e.Process == "" || len(e.Process) > maxProcessBytes {
			return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("field process: %d bytes", len(e.Process))}
		}
	}
	*m = Message(v)
	return nil
}
