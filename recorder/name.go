package recorder

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// maxNameBytes is the longest name in bytes. Names appear in HTTP headers and log
// lines, so they stay short.
const maxNameBytes = 63

// Name is the name of a declared object: 1 to 63 characters from a-z, 0-9, '-'
// and '.', starting and ending with a letter or digit.
type Name string

// Check returns an error if the name is not well formed.
func (n Name) Check() error {
	if len(n) == 0 || len(n) > maxNameBytes {
		return errors.Newf("name %q has %d characters; 1 to %d are allowed", string(n), len(n), maxNameBytes)
	}
	for i := 0; i < len(n); i++ {
		if !isNameByte(n[i], i == 0 || i == len(n)-1) {
			return errors.Newf("name %q: character %d is not allowed; use a-z, 0-9, '-' and '.'", string(n), i+1)
		}
	}
	return nil
}

func isNameByte(b byte, edge bool) bool {
	if b >= 'a' && b <= 'z' || b >= '0' && b <= '9' {
		return true
	}
	return !edge && (b == '-' || b == '.')
}

// Duration is a time.Duration that is encoded as text such as "30s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Newf("duration %s is not text such as \"30s\"", string(b))
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Newf("duration %q: use a form such as \"30s\"", s)
	}
	*d = Duration(v)
	return nil
}
