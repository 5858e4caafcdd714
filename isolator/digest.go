package isolator

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Digest identifies a suspect.
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

// maxPartBytes is the length of the longest id of a part.
const maxPartBytes = 64

// Suspect is what requests have in common: their whole content, or one part of their prompts.
type Suspect struct {
	Digest Digest `json:"digest"`
	// Part is the id of the part, or the first 64 bytes of it; empty for a content.
	Part string `json:"part,omitempty"`
}

// NewPart returns the suspect for a part of prompts. The beginning of a long id names it.
func NewPart(id string) Suspect {
	return Suspect{Digest: DigestOf([]byte("part"), []byte(id)), Part: strings.ToValidUTF8(id[:min(len(id), maxPartBytes)], "")}
}

// check returns an error of kind Invalid if the id of the part is too long.
func (s *Suspect) check(op string) error {
	if len(s.Part) > maxPartBytes {
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("field part: %d bytes", len(s.Part))}
	}
	return nil
}
