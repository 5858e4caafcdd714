package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// The streams of the log that this system uses.
const (
	ConfigurationStream = "configuration"
	SnapshotStream      = "snapshots"
	// EpochStream holds records of how long the log has been in its epoch.
	EpochStream = "epochs"
)

// IntentStream returns the name of the stream of a service's intents.
func IntentStream(service string) string { return "intents." + service }

// Entry is one record of the log.
type Entry struct {
	// Offset rises by one from record to record of a stream; the first is 1.
	Offset uint64 `json:"offset"`
	// At is the log's time of the append.
	At   time.Time `json:"at"`
	Body []byte    `json:"body"`
}

// Batch is the result of a read.
type Batch struct {
	// First is the oldest offset that the log still has.
	First uint64 `json:"first"`
	// Next is the offset to read from next; it is one above the newest record
	// when the batch reaches the end.
	Next uint64 `json:"next"`
	// Epoch is 1 in a log that never returned from an older copy and increases each time it does,
	// after which offsets of lower epochs mean nothing; 0 if it isn't known.
	Epoch   uint64  `json:"epoch,omitempty"`
	Entries []Entry `json:"records"`
}

// Log is a client of the platform's append-only log.
type Log struct {
	// Append atomically appends records to a stream and returns the offset of
	// the first. After an error of kind OutcomeUnknown they may or may not have
	// been appended.
	Append func(ctx context.Context, stream string, bodies [][]byte) (uint64, error)
	// Read returns records starting at the offset. It waits up to wait for the
	// first. If the offset is below the oldest, the error is an *Error of kind
	// NotFound with First set.
	Read func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
	// Unconfirmed is called by Read of NewLog with the first response of an epoch that is too far above
	// the known one, 0 if none is, to be trusted without a second response. It may be nil.
	Unconfirmed func(epoch, known uint64)

	epochs epochChecker
}

// NewLog returns a client of the log at the base URL.
func NewLog(base string, client *http.Client) *Log {
	c := apiClient{base: base, client: client}
	l := new(Log)
	l.Append = func(ctx context.Context, stream string, bodies [][]byte) (uint64, error) {
		in := struct {
			Records [][]byte `json:"records"`
		}{bodies}
		var out struct {
			First uint64 `json:"first-offset"`
		}
		path := "/v1/streams/" + url.PathEscape(stream) + "/records"
		err := c.callJSON(ctx, "append to "+stream, http.MethodPost, path, in, &out)
		return out.First, err
	}
	l.Read = func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
		var b Batch
		if l.epochs.isPending() {
			// The response that confirms the epoch must not wait for a record.
			wait = 0
		}
		path := fmt.Sprintf("/v1/streams/%s/records?from=%d&max=%d&wait-ms=%d",
			url.PathEscape(stream), from, limit, wait.Milliseconds())
		op := "read " + stream
		began := time.Now()
		err := c.callJSON(ctx, op, http.MethodGet, path, nil, &b)
		epoch := b.Epoch
		var e *Error
		if errors.As(err, &e) {
			epoch = e.Epoch
		}
		if e := l.checkEpoch(op, epoch, began); e != nil {
			return Batch{}, e
		}
		if err != nil {
			return Batch{}, err
		}
		return b, nil
	}
	return l
}
