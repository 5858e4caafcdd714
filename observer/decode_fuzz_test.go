package observer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Guards against digests of another version, or other ones than the record holds: no piece
// would ever match them.
func FuzzDigests(f *testing.F) {
	b, err := json.Marshal(observer.Digests{Model: "m", Version: 2, Pieces: make([][32]byte, 2)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"model":"m","version":2,"pieces":"YQ=="}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var d, again observer.Digests
		if err := d.UnmarshalJSON(b); err != nil {
			var e *observer.Error
			if !errors.As(err, &e) || e.Kind != classifier.Invalid {
				t.Fatalf("refused with %T: %v", err, err)
			}
			return
		}
		if d.Model == "" || d.Version <= 0 || len(d.Pieces) == 0 || 32*len(d.Pieces) > len(b) {
			t.Fatalf("accepted %+v", d)
		}
		x, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if err := again.UnmarshalJSON(x); err != nil || !reflect.DeepEqual(again, d) {
			t.Fatalf("digests changed after encoding and decoding: %v", err)
		}
	})
}

// reply answers each request with the same body.
type reply []byte

func (r reply) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(r))}, nil
}

// Guards against a table of a peer that is no table, and against one that this process passes
// on with other items than it got.
func FuzzPeerTable(f *testing.F) {
	f.Add([]byte(`{"items":[{"key":"a","value":"YQ==","offset":3},{"key":"b","offset":9}],"next":4,"full":true,"age":5,"written":7}`))
	f.Add([]byte(`{"items":[{"key":"a"},{"key":"a","offset":18446744073709551615}],"next":18446744073709551615}`))
	f.Add([]byte(`{"next":1,"age":9223372036854775807,"written":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := &observer.PeerReader{
			Table: "servers", Client: &http.Client{Transport: reply(b)}, Now: time.Now,
			Peers: func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")} },
		}
		c, err := r.Read(t.Context(), 0, 0)
		if err != nil {
			var e *observer.Error
			if !errors.As(err, &e) || e.Kind != classifier.Invalid {
				t.Fatalf("refused with %T: %v", err, err)
			}
			return
		}
		if c.Next == 0 || c.Age < 0 || c.Written < 0 {
			t.Fatalf("accepted %+v", c)
		}
		newest := make(map[string]connector.Item)
		for _, i := range c.Items {
			if o, ok := newest[i.Key]; !ok || i.Offset > o.Offset {
				newest[i.Key] = i
			}
		}
		var table observer.Table
		table.Apply(c, timekeeper.Now())
		s := table.Since(0)
		if s.Next != c.Next || s.Age < 0 || s.Written < 0 || len(s.Items) != len(newest) {
			t.Fatalf("got %+v, passed on %+v", c, s)
		}
		for _, i := range s.Items {
			if n := newest[i.Key]; n.Offset != i.Offset || !bytes.Equal(n.Value, i.Value) {
				t.Fatalf("got %+v, passed on %+v", n, i)
			}
		}
	})
}

// Guards against a request of a peer that is answered with less than it asks for, or that
// holds its handler after the peer has left.
func FuzzTableRequest(f *testing.F) {
	f.Add("0", "0")
	f.Add("3", "9223372036854775807")
	f.Add("18446744073709551615", "-1")
	f.Fuzz(func(t *testing.T, from, wait string) {
		var table observer.Table
		table.Apply(connector.Changes{Items: []connector.Item{{Key: "a", Value: []byte("v"), Offset: 3}}, Next: 4}, timekeeper.Now())
		h := &observer.Handler{Tables: map[string]*observer.Table{"servers": &table}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		v := url.Values{"from": {from}, "wait-ms": {wait}}
		q := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/tables/servers?"+v.Encode(), http.NoBody)
		q.SetPathValue("name", "servers")
		w := httptest.NewRecorder()
		begun := time.Now()
		h.ServeHTTP(w, q)
		if d := time.Since(begun); d > 5*time.Second {
			t.Fatalf("from %q, wait-ms %q took %s", from, wait, d)
		}
		if w.Code == http.StatusBadRequest {
			return
		}
		var c connector.Changes
		if err := json.Unmarshal(w.Body.Bytes(), &c); w.Code != http.StatusOK || err != nil || c.Next != 4 {
			t.Fatalf("from %q, wait-ms %q: status %d, %s", from, wait, w.Code, w.Body)
		}
		var n uint64 = math.MaxUint64
		if err := json.Unmarshal([]byte(from), &n); err == nil && n <= 3 && len(c.Items) != 1 {
			t.Fatalf("from %q: %s", from, w.Body)
		}
	})
}
