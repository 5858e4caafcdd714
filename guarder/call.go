package guarder

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 255

// Call identifies one guarded call.
type Call struct {
	// Account is the client account of the caller. Equal keys of different
	// accounts are distinct, so that no account reads the answers of another.
	Account recorder.Name
	// Key is the caller's idempotency key; 1 to 255 printable ASCII characters.
	Key string
	// Request is the digest of what identifies the request: its method, path and
	// body.
	Request recorder.Digest
}

// Check returns an error for the first invalid field.
func (c *Call) Check() error {
	if len(c.Key) < 1 || len(c.Key) > maxKeyBytes {
		return errors.Newf("idempotency key has %d characters; 1 to %d are allowed", len(c.Key), maxKeyBytes)
	}
	for i := range len(c.Key) {
		if c.Key[i] < 0x20 || c.Key[i] > 0x7e {
			return errors.Newf("idempotency key: character %d is not printable ASCII", i+1)
		}
	}
	if c.Request.IsZero() {
		return errors.New("the digest of the request is missing")
	}
	return nil
}

// Digest returns the digest under which the key appears in the log.
func (c *Call) Digest() recorder.Digest {
	return recorder.DigestOf([]byte(string(c.Account) + "\n" + c.Key))
}

// keyTime returns the timestamp in a UUIDv7 key, and reports whether the key is
// one.
func (c *Call) keyTime() (time.Time, bool) {
	u, err := uuid.Parse(c.Key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	return time.Unix(u.Time().UnixTime()), true
}

// Answer is the response of a plain service to a guarded call.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// sizeBytes returns the sizeBytes of the body and header in bytes.
func (a *Answer) sizeBytes() int {
	n := len(a.Body)
	for k, vs := range a.Header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

// Result is the outcome of a guarded call without an error.
type Result struct {
	// Answer is the answer of the single run; it is zero while Running is set.
	Answer Answer
	// First is set if this invocation of Do ran the call.
	First bool
	// Winner is the address of the agent that runs or ran the call.
	Winner netip.AddrPort
	// Running is set while the first run is not finished.
	Running bool
}
