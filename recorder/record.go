package recorder

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Format is the version of the record format that this package writes.
const Format = 1

// MaxRecord is the largest encoded record in bytes that the log accepts.
const MaxRecord = 256 << 10

// maxChanges limits the changes of one record.
const maxChanges = 512

// ErrNewerFormat is returned for a record that was written by a newer program. A
// reader stops there and reports the error instead of skipping the record.
var ErrNewerFormat = errors.New("record has a newer format than this program reads")

// OperationID identifies one operation, so that a repeated submission is detected.
type OperationID = uuid.UUID

// Record is the content of one append to the configuration stream.
type Record struct {
	// Format is the version of the record format; at least 1.
	Format int `json:"format"`
	// Operation is never zero.
	Operation OperationID `json:"operation"`
	// Author is the operator or instance that made the decision.
	Author Name `json:"author"`
	// At is the time by the author's clock. It is informational: no decision uses it.
	At time.Time `json:"at"`
	// Changes are applied atomically and in order; at least one.
	Changes []Change `json:"changes"`
}

// Encode returns the wire form of the record. The error is of kind Invalid.
func (r *Record) Encode() ([]byte, error) {
	const op = "encode record"
	if err := r.Check(); err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return nil, &Error{Op: op, Kind: classifier.Internal, Err: err}
	}
	if len(b) > MaxRecord {
		return nil, invalid(op, "%d bytes; at most %d are allowed", len(b), MaxRecord)
	}
	return b, nil
}

// Check returns an error for the first invalid field.
func (r *Record) Check() error {
	if r.Format != Format {
		return errors.Newf("field format: %d is not %d", r.Format, Format)
	}
	if r.Operation == uuid.Nil {
		return errors.New("field operation: an operation id is needed")
	}
	if err := r.Author.Check(); err != nil {
		return errors.Wrap(err, "field author")
	}
	if len(r.Changes) < 1 || len(r.Changes) > maxChanges {
		return errors.Newf("field changes: %d changes; 1 to %d are allowed", len(r.Changes), maxChanges)
	}
	for i := range r.Changes {
		if err := r.Changes[i].Check(); err != nil {
			return errors.Wrapf(err, "change %d", i+1)
		}
	}
	return nil
}

// Decode decodes and checks a record. For a record of a newer format the error
// wraps ErrNewerFormat.
func Decode(b []byte) (Record, error) {
	const op = "decode record"
	if len(b) > MaxRecord {
		return Record{}, invalid(op, "%d bytes; at most %d are allowed", len(b), MaxRecord)
	}
	var f struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(b, &f); err != nil {
		return Record{}, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	if f.Format > Format {
		return Record{}, &Error{Op: op, Kind: classifier.Refused, Err: errors.Wrapf(ErrNewerFormat, "format %d", f.Format)}
	}
	var r Record
	if err := DecodeStrict(b, &r); err != nil {
		return Record{}, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	if err := r.Check(); err != nil {
		return Record{}, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	return r, nil
}

// DecodeStrict decodes one JSON value into v and rejects unknown fields and
// data after the value.
func DecodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.WithStack(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the value")
	}
	return nil
}
