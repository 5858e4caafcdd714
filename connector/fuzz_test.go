package connector_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// Guards against a pause of an endpoint or the platform that is negative or endless.
func FuzzParseRetryAfter(f *testing.F) {
	f.Add("0.5")
	f.Add("-0")
	f.Add("1e400")
	f.Add("0x1p-2")
	f.Fuzz(func(t *testing.T, s string) {
		d, err := connector.ParseRetryAfter(s)
		if d < 0 || d > connector.MaxRetryAfter || err != nil && d != 0 {
			t.Fatalf("%q: %s, %v", s, d, err)
		}
	})
}

// reply answers each request in the same way.
type reply struct {
	status int
	after  string
	body   []byte
}

func (r reply) RoundTrip(q *http.Request) (*http.Response, error) {
	h := http.Header{"Retry-After": {r.after}}
	return &http.Response{StatusCode: r.status, Header: h, Body: io.NopCloser(bytes.NewReader(r.body)), Request: q}, nil
}

// Guards against replies of the platform and of engines that are refused with an error whose
// kind callers don't know, or accepted with values that they don't have when they are read
// again.
func FuzzReplies(f *testing.F) {
	f.Add(200, "", []byte(`{"first":1,"next":3,"records":[{"offset":2,"at":"2026-01-02T03:04:05Z","body":"YQ=="}]}`))
	f.Add(200, "", []byte(`{"boot-id":"b","model":"m","version":"v1","digest":"d","fencing":18446744073709551615,"loading":true}`))
	f.Add(200, "", []byte(`{"boot-id":"b","in-flight":-1,"queued":9223372036854775807,"at":"9999-12-31T23:59:59Z"}`))
	f.Add(200, "", []byte(`{"version":1,"instances":[{"name":"a","address":"x"},{"name":"b","address":"10.0.0.1:1"}]}`))
	f.Add(429, "1e9", []byte(`{"error":"slow down","first":7}`))
	f.Add(410, "-1", []byte(`[`))
	f.Fuzz(func(t *testing.T, status int, after string, body []byte) {
		if status < 200 || status > 999 || status/100 == 3 {
			return
		}
		c := &http.Client{Transport: reply{status, after, body}}
		check := func(v any, err error) {
			var e *connector.Error
			switch {
			case err != nil && !errors.As(err, &e):
				t.Fatalf("refused with %T: %v", err, err)
			case err != nil && (e.RetryAfter < 0 || e.RetryAfter > connector.MaxRetryAfter):
				t.Fatalf("wait of %s", e.RetryAfter)
			case err != nil:
				return
			case status >= http.StatusMultipleChoices:
				t.Fatalf("status %d was accepted", status)
			}
			b, err := json.Marshal(v)
			if err != nil {
				t.Fatalf("%+v was accepted: %v", v, err)
			}
			again := reflect.New(reflect.TypeOf(v))
			if err := json.Unmarshal(b, again.Interface()); err != nil {
				t.Fatal(err)
			}
			if x, _ := json.Marshal(again.Elem().Interface()); !bytes.Equal(x, b) {
				t.Fatalf("changed after encoding and decoding:\n%s\n%s", b, x)
			}
		}
		ctx := context.Background()
		batch, err := connector.NewLog("http://log", c).Read(ctx, "s", 1, 1, 0)
		check(batch, err)
		state, err := connector.NewEngine("http://engine", c).State(ctx)
		check(state, err)
		report, err := connector.NewEngine("http://engine", c).Report(ctx)
		check(report, err)
		list, err := connector.NewInstances("http://list", c).Poll(ctx, 0, 0)
		check(list, err)
	})
}
