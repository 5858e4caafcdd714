package observer

import (
	"encoding/base64"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

const (
	// digestPrefix begins the keys of digest records in the gateway table.
	digestPrefix = "digests/"
	digestBytes  = 32
	// maxDigests bounds the pieces of a version.
	maxDigests = 4096
)

// Digests holds the SHA-256 digests of the pieces of a version. Agents that read them from
// the origin keep them in the gateway table, from which all agents have them when they
// start again, although the origin may be slow or unavailable then.
type Digests struct {
	Model   string
	Version int64
	// Pieces is not empty.
	Pieces [][digestBytes]byte
}

// digestRecord is the wire form of Digests. Pieces is the concatenation of the digests in
// base64.
type digestRecord struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	Pieces  string `json:"pieces"`
}

// DigestKey returns the key of the digests of a version.
func DigestKey(model string, version int64) string {
	return digestPrefix + model + "/" + strconv.FormatInt(version, 10)
}

// MarshalJSON implements json.Marshaler.
func (d Digests) MarshalJSON() ([]byte, error) {
	var b []byte
	for _, p := range d.Pieces {
		b = append(b, p[:]...)
	}
	return json.Marshal(digestRecord{d.Model, d.Version, base64.StdEncoding.EncodeToString(b)})
}

// UnmarshalJSON implements json.Unmarshaler. The error is of kind Invalid.
func (d *Digests) UnmarshalJSON(data []byte) error {
	invalid := func(err error) error { return &Error{Op: "decode digests", Kind: classifier.Invalid, Err: err} }
	var r digestRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return invalid(err)
	}
	b, err := base64.StdEncoding.DecodeString(r.Pieces)
	switch {
	case err != nil:
		return invalid(err)
	case r.Model == "" || r.Version <= 0:
		return invalid(errors.New("field model or version: missing"))
	case len(b) == 0 || len(b)%digestBytes != 0 || len(b) > maxDigests*digestBytes:
		return invalid(errors.Newf("field pieces: %d bytes", len(b)))
	}
	*d = Digests{Model: r.Model, Version: r.Version}
	for p := range slices.Chunk(b, digestBytes) {
		d.Pieces = append(d.Pieces, [digestBytes]byte(p))
	}
	return nil
}

// applyDigests applies a record of digests. The caller must hold s.mu.
func (s *State) applyDigests(i connector.Item) {
	if s.digests == nil {
		s.digests = make(map[string]*Digests)
	}
	d := new(Digests)
	if i.Value == nil {
		delete(s.digests, i.Key)
	} else if err := json.Unmarshal(i.Value, d); err != nil || DigestKey(d.Model, d.Version) != i.Key {
		s.Log.Warn().Str("key", i.Key).Str(zerolog.ErrorFieldName, brief(err)).Msg("digest-record-refused")
	} else {
		s.digests[i.Key] = d
	}
}

func isDigestKey(key string) bool { return strings.HasPrefix(key, digestPrefix) }

// Digests returns the digests of a version from the gateway table, or nil.
func (s *State) Digests(model string, version int64) *Digests {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digests[DigestKey(model, version)]
}

// SupersededDigests returns the keys of digests of the model that no instance needs any
// more: those of versions before the one that precedes the given one.
func (s *State) SupersededDigests(model string, version int64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []string
	for k, d := range s.digests {
		if d.Model == model && d.Version < version-1 {
			l = append(l, k)
		}
	}
	slices.Sort(l)
	return l
}
