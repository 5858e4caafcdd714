package follower

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// beginningPart is one record of the beginning of an epoch in the configuration stream. Processes
// that don't know the format skip it as a record that can't be decoded.
type beginningPart struct {
	Format int    `json:"format"`
	Epoch  uint64 `json:"epoch"`
	// Basis is the revision that the writer had before the epoch.
	Basis uint64 `json:"basis"`
	// After is the offset of the last record that the writer has read. The beginning is valid
	// only directly behind it, as its State lacks the records in between otherwise.
	After uint64 `json:"after"`
	// Part is a part of the snapshot of the State in effect.
	Part Part `json:"part"`
}

// beginningPrefix is how every encoded beginningPart starts.
var beginningPrefix = []byte(`{"format":` + strconv.Itoa(recorder.Format) + `,"epoch":`)

func isBeginningPart(body []byte) bool { return bytes.HasPrefix(body, beginningPrefix) }

// beginning is the State with which an epoch begins.
type beginning struct {
	epoch, basis uint64
	state        *registrar.State
}

// beginningJoiner joins the parts of a beginning, which have consecutive offsets.
type beginningJoiner struct {
	first  beginningPart
	next   int
	joiner Joiner
}

// add adds the record at the offset and returns the beginning that it completes, or nil.
func (j *beginningJoiner) add(offset uint64, body []byte) *beginning {
	var p beginningPart
	ok := isBeginningPart(body) && recorder.DecodeStrict(body, &p) == nil && p.Format == recorder.Format && p.Part.Check() == nil
	if ok && p.Part.Index == 0 {
		*j = beginningJoiner{first: p}
	}
	f := &j.first
	if !ok || p.Part.Index != j.next || p.Epoch != f.Epoch || p.Basis != f.Basis || p.After != f.After ||
		p.Part.Digest != f.Part.Digest || offset != f.After+1+uint64(j.next) {
		*j = beginningJoiner{}
		return nil
	}
	j.next++
	s := j.joiner.addPart(&p.Part)
	if s == nil {
		return nil
	}
	*j = beginningJoiner{}
	return &beginning{epoch: p.Epoch, basis: p.Basis, state: s}
}

// splitBeginning returns the records of a beginning.
func splitBeginning(s *registrar.State, epoch, basis, after uint64) ([][]byte, error) {
	parts, err := splitParts(s)
	if err != nil {
		return nil, err
	}
	var out [][]byte
	for _, p := range parts {
		out = append(out, mustMarshal(beginningPart{Format: recorder.Format, Epoch: epoch, Basis: basis, After: after, Part: p}))
	}
	return out, nil
}

// mustMarshal encodes a value of this package, which can't fail.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
