package follower

import (
	"bytes"
	"context"

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
	// Offset is the revision of the State. In the first epoch of the log it is also its offset in
	// the configuration stream.
	Offset uint64 `json:"offset"`
	// Digest is the digest of the whole snapshot. It identifies the snapshot, so
	// parts of equal snapshots from several gateways can be combined.
	Digest recorder.Digest `json:"digest"`
	Index  int             `json:"index"`
	Count  int             `json:"count"`
	Body   []byte          `json:"body"`
	// LogOffset is the offset of the State in the configuration stream if Epoch isn't 0. Epoch,
	// Basis and Begun are those of the last beginning of an epoch before it: its epoch, its basis
	// and its revision.
	LogOffset uint64 `json:"log-offset,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Basis     uint64 `json:"basis,omitempty"`
	Begun     uint64 `json:"begun,omitempty"`
}

// logOffset returns the offset of the State in the configuration stream.
func (p *Part) logOffset() uint64 {
	if p.Epoch == 0 {
		return p.Offset
	}
	return p.LogOffset
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
	case p.Epoch != 0 && (p.LogOffset == 0 || p.LogOffset > p.Offset || p.Begun > p.Offset):
		return errors.Newf("field log-offset: %d with begun %d doesn't precede offset %d", p.LogOffset, p.Begun, p.Offset)
	case len(p.Body) > partBytes:
		return errors.Newf("field body: %d bytes; at most %d are allowed", len(p.Body), partBytes)
	}
	return nil
}

// Split returns the records that carry a snapshot of the State.
func Split(s *registrar.State) ([][]byte, error) {
	parts, err := splitParts(s)
	if err != nil {
		return nil, err
	}
	var out [][]byte
	for _, p := range parts {
		out = append(out, mustMarshal(p))
	}
	return out, nil
}

// splitParts returns the parts of a snapshot of the State.
func splitParts(s *registrar.State) ([]Part, error) {
	b, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	d := recorder.DigestOf(b)
	n := (len(b)-1)/partBytes + 1
	var out []Part
	for i := range n {
		p := Part{Format: recorder.Format, Offset: s.Offset, Digest: d, Index: i, Count: n}
		p.Body = b[i*partBytes : min((i+1)*partBytes, len(b))]
		out = append(out, p)
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
	s, _ := j.add(body)
	return s
}

// add also returns the last part of a snapshot that is complete.
func (j *Joiner) add(body []byte) (*registrar.State, *Part) {
	var p Part
	if recorder.DecodeStrict(body, &p) != nil || p.Check() != nil {
		return nil, nil
	}
	return j.addPart(&p), &p
}

func (j *Joiner) addPart(p *Part) *registrar.State {
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
	// part is a part of the newest snapshot.
	part *Part
	// epoch is that of the offsets that were read; 0 if it isn't known.
	epoch uint64
}

// isUsable reports whether the place in the log of a snapshot, of which p is a part, is known. Processes
// of the previous version name no epoch and take the revision for the offset, which it is only in the first epoch.
// Revisions of later epochs are above revisionsOfFirstEpoch.
func (n *SnapshotReader) isUsable(p *Part) bool {
	return p.Epoch != 0 || n.epoch <= firstEpoch || p.Offset < revisionsOfFirstEpoch
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
		if b.Epoch > n.epoch && n.epoch != 0 {
			// Snapshots that were read may be lost, and their offsets given out again.
			*n = SnapshotReader{next: 1, epoch: b.Epoch}
			continue
		}
		n.epoch = max(n.epoch, b.Epoch)
		for _, v := range b.Entries {
			if s, p := n.parts.add(v.Body); s != nil && n.isUsable(p) && (n.newest == nil || s.Offset > n.newest.Offset) {
				n.newest, n.part = s, p
			}
		}
		if len(b.Entries) == 0 {
			return n.newest, nil
		}
		n.next = b.Next
	}
}
