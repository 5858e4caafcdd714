package observer_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// tableServer serves one table with a large and a small record, and counts the bytes of the
// responses.
func tableServer(t *testing.T, large []byte) (*httptest.Server, *int) {
	table := new(observer.Table)
	table.Apply(connector.Changes{Items: []connector.Item{
		{Key: "large", Value: large, Offset: 1}, {Key: "small", Value: []byte("v"), Offset: 2},
	}, Next: 3}, timekeeper.Now())
	h := &observer.Handler{Tables: map[string]*observer.Table{"operators": table}}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/tables/{name}", h)
	sent := new(int)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r := httptest.NewRecorder()
		mux.ServeHTTP(r, q)
		*sent += r.Body.Len()
		for k, v := range r.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(r.Code)
		_, _ = w.Write(r.Body.Bytes())
	}))
	t.Cleanup(s.Close)
	return s, sent
}

func peerReader(s *httptest.Server) *observer.PeerReader {
	return &observer.PeerReader{Table: "operators", Client: s.Client(), Now: time.Now, Peers: func() []netip.AddrPort {
		return []netip.AddrPort{netip.MustParseAddrPort(s.Listener.Addr().String())}
	}}
}

// manyRoutes returns a value like a configuration of many routes.
func manyRoutes() []byte {
	var b bytes.Buffer
	for n := range 1600 {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"host-%d.example","prefix":"/p%d/","timeout-ms":6000,"attempts":2},`, n, n%7, n*31)
	}
	return b.Bytes()
}

// Guards against a revision that fills the links of the readers: 24 gateways of a failure domain
// read it from two of them.
func TestLargeValuesAreSentPacked(t *testing.T) {
	large := manyRoutes()
	s, sent := tableServer(t, large)
	c, err := peerReader(s).Read(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]string)
	for _, i := range c.Items {
		if i.Packed != nil {
			t.Errorf("record %q is still packed", i.Key)
		}
		got[i.Key] = string(i.Value)
	}
	if got["large"] != string(large) || got["small"] != "v" {
		t.Errorf("got %d bytes and %q, want %d bytes and v", len(got["large"]), got["small"], len(large))
	}
	if *sent > len(large)/4 {
		t.Errorf("sent %d bytes for a value of %d", *sent, len(large))
	}
}

// Guards against a new process that sends packed values to one of an earlier version, which
// would take the record for deleted.
func TestUnaskedValuesAreNotPacked(t *testing.T) {
	s, _ := tableServer(t, manyRoutes())
	r, err := s.Client().Get(s.URL + "/v1/tables/operators?from=0&wait-ms=0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	var c connector.Changes
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	for _, i := range c.Items {
		if i.Packed != nil || i.Value == nil {
			t.Errorf("record %q has %d bytes packed, %d plain", i.Key, len(i.Packed), len(i.Value))
		}
	}
}

// Guards against a peer whose packed value is malformed or grows without end when unpacked: the
// read must fail, so that the next source is asked.
func TestMalformedPackedValues(t *testing.T) {
	endless := new(bytes.Buffer)
	w := gzip.NewWriter(endless)
	if _, err := io.Copy(w, io.LimitReader(strings.NewReader(strings.Repeat("a", 64<<20)), 64<<20)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		item connector.Item
	}{
		{"no gzip", connector.Item{Key: "k", Packed: []byte("plain"), Offset: 1}},
		{"cut", connector.Item{Key: "k", Packed: endless.Bytes()[:64], Offset: 1}},
		{"too long", connector.Item{Key: "k", Packed: endless.Bytes(), Offset: 1}},
		{"two values", connector.Item{Key: "k", Packed: endless.Bytes(), Value: []byte("v"), Offset: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(connector.Changes{Items: []connector.Item{c.item}, Next: 2})
			}))
			defer s.Close()
			if got, err := peerReader(s).Read(t.Context(), 0, 0); err == nil {
				t.Errorf("got %d records, want an error", len(got.Items))
			}
		})
	}
}

// Guards against reads that are given up though their response arrives: a gateway that then reads
// the same revision from the platform fills the link between regions.
func TestSlowReaderIsNotGivenUp(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 4<<10)
	table, err := json.Marshal(connector.Changes{Items: []connector.Item{{Key: "k", Value: large, Offset: 1}}, Next: 2})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The pauses are a twelfth of the time after which a read is given up, and all of them three
		// times as long as that.
		const parts = 40
		for n := range parts {
			_, _ = w.Write(table[n*len(table)/parts : (n+1)*len(table)/parts])
			_ = http.NewResponseController(w).Flush()
			time.Sleep(25 * time.Millisecond)
		}
	}))
	defer s.Close()
	r := &observer.SharedReader{
		MaxAge: 2 * time.Second, IsShared: func() bool { return true }, IsReader: func() bool { return false }, Readers: peerReader(s).Read,
	}
	r.Platform = platformMustNotBeRead(t)
	c, err := r.Read(t.Context(), 1, 0)
	if err != nil || c.Next != 2 {
		t.Errorf("next %d, error %v", c.Next, err)
	}
}

func platformMustNotBeRead(t *testing.T) func(context.Context, uint64, time.Duration) (connector.Changes, error) {
	return func(context.Context, uint64, time.Duration) (connector.Changes, error) {
		t.Error("the platform was read")
		return connector.Changes{}, nil
	}
}
