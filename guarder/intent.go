package guarder

import (
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	// format is the version of the intent format that this package writes.
	format = 1
	// maxIntentBytes bounds the size of an encoded intent.
	maxIntentBytes = 4 << 10
	maxBootIDBytes = 128
)

// processRef identifies the process that appended an intent.
type processRef struct {
	Instance recorder.Name
	Address  netip.AddrPort
	BootID   string
}

// intent is one record of the stream.
type intent struct {
	Format int `json:"format"`
	// Key and Request are the digests of the call's key and request.
	Key      recorder.Digest `json:"key"`
	Request  recorder.Digest `json:"request"`
	Instance recorder.Name   `json:"instance"`
	Address  netip.AddrPort  `json:"address"`
	BootID   string          `json:"boot-id"`
	// Operation is never zero. The same operation may appear twice when the
	// response to its first append was lost; only its first record counts.
	Operation recorder.OperationID `json:"operation"`
	// Replaces is the offset of the intent that this one replaces, or 0.
	Replaces uint64 `json:"over,omitempty"`
}

func (i *intent) processRef() processRef { return processRef{i.Instance, i.Address, i.BootID} }

func (i *intent) check() error {
	switch {
	case i.Format != format:
		return errors.Newf("field format: %d is not %d", i.Format, format)
	case i.Key.IsZero():
		return errors.New("field key: a digest is needed")
	case i.Request.IsZero():
		return errors.New("field request: a digest is needed")
	case !i.Address.IsValid():
		return errors.New("field address: an IP address and port are needed")
	case len(i.BootID) < 1 || len(i.BootID) > maxBootIDBytes:
		return errors.Newf("field boot-id: %d bytes; 1 to %d are allowed", len(i.BootID), maxBootIDBytes)
	case i.Operation == uuid.Nil:
		return errors.New("field operation: an operation id is needed")
	}
	return errors.Wrap(i.Instance.Check(), "field instance")
}

// decodeIntent decodes a record. The error for a newer format, which may be longer, is of
// kind Refused, and for any other invalid record of kind Invalid.
func decodeIntent(b []byte) (intent, error) {
	const op = "decode intent"
	fail := func(err error) (intent, error) {
		return intent{}, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	var i intent
	err := errors.Newf("%d bytes; at most %d are allowed", len(b), maxIntentBytes)
	if len(b) <= maxIntentBytes {
		err = recorder.DecodeStrict(b, &i)
	}
	if err == nil {
		err = i.check()
	}
	if err == nil {
		return i, nil
	}
	var f struct {
		Format int `json:"format"`
	}
	if json.Unmarshal(b, &f) == nil && f.Format > format {
		return intent{}, &Error{Op: op, Kind: classifier.Refused, Err: errors.Wrapf(recorder.ErrNewerFormat, "format %d", f.Format)}
	}
	return fail(err)
}
