package follower

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// partBytes is the size of a part's body. Encoded in base64 and wrapped, a part
// stays below the log's largest record of 256 KiB.
const partBytes = 160 << 10

// maxParts bounds the parts of a snapshot.
const maxParts = 1024

// Part is one record of the snapshot stream.
type Part struct {
	Format int `json:"format"`
	// Offset is the offset of the State in the configuration stream.
	Offset uint64 `json:"offset"`
	// Digest is the digest of the whole snapshot. It identifies the snapshot, so
	// parts of equal snapshots from several gateways can be combined.
	Digest recorder.Digest `json:"digest"`
	Index  int             `json:"index"`
	Count  int             `json:"count"`
	Body   []byte          `json:"body"`
}

// Check returns an error for the first invalid field.
func (p *Part) Check() error {
	switch {
	case p.Format != recorder.Format:
		return errors.Newf("field format: %d is not %d", p.Format, recorder.Format)
	case p.Count < 1 || p.Count > maxParts:
		return errors.Newf("field count: %d is not in 1 to %d", p.Count, maxParts)
	case p.Index < 0 || p.Index >= p.Count:
		return errors.Newf("field index: %d is not below %d", p.Index, p.Count)
	case len(p.Body) > partBytes:
		return errors.Newf("field body: %d bytes; at most %d are allowed", len(p.Body), partBytes)
	}
	return nil
}

// Split returns the records that carry a snapshot of the State.
func Split(s *registrar.State) ([][]byte, error) {
	b, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	d := recorder.DigestOf(b)
	n := (len(b)-1)/partBytes + 1
	var out [][]byte
	for i := range n {
		p := Part{Format: recorder.Format, Offset: s.Offset, Digest: d, Index: i, Count: n}
		p.Body = b[i*partBytes : min((i+1)*partBytes, len(b))]
		e, err := json.Marshal(p)
		if err != nil {
			return nil, &Error{Op: "write snapshot", Kind: classifier.Internal, Err: err}
		}
		out = append(out, e)
	}
	return out, nil
}

// Joiner reassembles snapshots from their parts. The zero value is ready.
type Joiner struct {
	parts map[recorder.Digest][][]byte
}

// Add adds a record of the snapshot stream and returns the State once all parts
// of a snapshot are there. A record that is not a valid part is ignored.
func (j *Joiner) Add(body []byte) *registrar.State {
	var p Part
	if recorder.DecodeStrict(body, &p) != nil || p.Check() != nil {
		return nil
	}
	if j.parts == nil {
		j.parts = make(map[recorder.Digest][][]byte)
	}
	v := j.parts[p.Digest]
	if v == nil {
		v = make([][]byte, p.Count)
		j.parts[p.Digest] = v
	}
	if len(v) != p.Count {
		return nil
	}
	v[p.Index] = p.Body
	for _, b := range v {
		if b == nil {
			return nil
		}
	}
	delete(j.parts, p.Digest)
	whole := bytes.Join(v, nil)
	if recorder.DigestOf(whole) != p.Digest {
		return nil
	}
	s, err := registrar.Restore(whole)
	if err != nil || s.Offset != p.Offset {
		return nil
	}
	return s
}

// Newest returns the newest complete snapshot of the log, or nil.
func Newest(ctx context.Context, l *connector.Log) (*registrar.State, error) {
	return new(SnapshotReader).Newest(ctx, l)
}

// SnapshotReader reads the snapshot stream of one log repeatedly. Each call
// continues after the last record read, so its cost depends on what was written
// since and not on how much the log retains. The zero value is ready; it is not
// safe for concurrent use.
type SnapshotReader struct {
	next   uint64
	parts  Joiner
	newest *registrar.State
}

// Newest returns the newest complete snapshot up to now, or nil. After an error
// the next call continues where this one ended.
func (n *SnapshotReader) Newest(ctx context.Context, l *connector.Log) (*registrar.State, error) {
	n.next = max(n.next, 1)
	for {
		b, err := l.Read(ctx, connector.SnapshotStream, n.next, readLimit, 0)
		var e *connector.Error
		if errors.As(err, &e) && e.Kind == classifier.NotFound && e.First > n.next {
			n.next = e.First
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, v := range b.Entries {
			if s := n.parts.Add(v.Body); s != nil && (n.newest == nil || s.Offset > n.newest.Offset) {
				n.newest = s
			}
		}
		if len(b.Entries) == 0 {
			return n.newest, nil
		}
		n.next = b.Next
	}
}
