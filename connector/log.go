package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// The streams of the log that this system uses.
const (
	ConfigurationStream = "configuration"
	SnapshotStream      = "snapshots"
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
	Next    uint64  `json:"next"`
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
}

// NewLog returns a client of the log at the base URL.
func NewLog(base string, client *http.Client) *Log {
	c := apiClient{base: base, client: client}
	return &Log{
		Append: func(ctx context.Context, stream string, bodies [][]byte) (uint64, error) {
			in := struct {
				Records [][]byte `json:"records"`
			}{bodies}
			var out struct {
				First uint64 `json:"first-offset"`
			}
			path := "/v1/streams/" + url.PathEscape(stream) + "/records"
			err := c.callJSON(ctx, "append to "+stream, http.MethodPost, path, in, &out)
			return out.First, err
		},
		Read: func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
			var b Batch
			path := fmt.Sprintf("/v1/streams/%s/records?from=%d&max=%d&wait-ms=%d",
				url.PathEscape(stream), from, limit, wait.Milliseconds())
			err := c.callJSON(ctx, "read "+stream, http.MethodGet, path, nil, &b)
			return b, err
		},
	}
}
