package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// maxReplyBytes limits the body of a platform response other than weights.
const maxReplyBytes = 96 << 20

// apiClient sends requests to one platform service.
type apiClient struct {
	base   string
	client *http.Client
}

// send sends one request. The caller closes the response body. A transport
// failure is of kind Unavailable if no connection was made, else OutcomeUnknown.
func (c apiClient) send(ctx context.Context, op, method, path string, body []byte, names http.Header) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: errors.WithStack(err)}
	}
	for k, v := range names {
		q.Header[k] = v
	}
	r, err := header.Do(c.client, q)
	if err != nil {
		return nil, &Error{Op: op, Kind: TransportKind(err), Err: err}
	}
	if r.StatusCode < http.StatusMultipleChoices {
		return r, nil
	}
	defer func() { _ = r.Body.Close() }()
	return nil, statusError(op, r)
}

// TransportKind classifies a transport error: Unavailable if the request was never
// sent, OutcomeUnknown if the response may have been lost.
func TransportKind(err error) classifier.Kind {
	if IsDialError(err) {
		return classifier.Unavailable
	}
	return classifier.OutcomeUnknown
}

// IsDialError reports whether no connection was made, so that the server
// received no part of the request.
func IsDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

func statusError(op string, r *http.Response) error {
	e := &Error{Op: op, Kind: statusKind(r.StatusCode)}
	if v := r.Header.Get(header.RetryAfter); v != "" {
		// A server that sends no usable time is asked again as if it had sent none.
		e.RetryAfter, _ = ParseRetryAfter(v)
	}
	b, _ := io.ReadAll(io.LimitReader(r.Body, 4<<10))
	var v struct {
		Error string `json:"error"`
		First uint64 `json:"first"`
		Epoch uint64 `json:"epoch"`
	}
	if json.Unmarshal(b, &v) != nil || v.Error == "" {
		v.Error = http.StatusText(r.StatusCode)
	}
	e.First, e.Epoch = v.First, v.Epoch
	e.Err = errors.Newf("status %d: %s", r.StatusCode, v.Error)
	return e
}

func statusKind(status int) classifier.Kind {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return classifier.Invalid
	case http.StatusNotFound, http.StatusGone:
		return classifier.NotFound
	case http.StatusConflict:
		return classifier.Refused
	case http.StatusTooManyRequests:
		return classifier.Exhausted
	case http.StatusServiceUnavailable:
		return classifier.Unavailable
	default:
		return classifier.OutcomeUnknown
	}
}

// callJSON sends a request with the JSON encoding of in, or with an empty body if
// in is nil, and decodes the response into out, or discards it if out is nil.
func (c apiClient) callJSON(ctx context.Context, op, method, path string, in, out any) error {
	var b []byte
	if in != nil {
		var err error
		if b, err = json.Marshal(in); err != nil {
			return &Error{Op: op, Kind: classifier.Internal, Err: errors.WithStack(err)}
		}
	}
	r, err := c.send(ctx, op, method, path, b, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if out == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxReplyBytes))
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxReplyBytes)).Decode(out); err != nil {
		return &Error{Op: op, Kind: classifier.OutcomeUnknown, Err: errors.Wrap(err, "decode reply")}
	}
	return nil
}
