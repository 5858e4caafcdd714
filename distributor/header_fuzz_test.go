package distributor

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Guards against headers of a peer that name instances without end, or that are passed on
// changed.
func FuzzPeerHeaders(f *testing.F) {
	f.Add("3", "a,b,c")
	f.Add("9223372036854775807", "a,,b")
	f.Add("-1", "A")
	f.Fuzz(func(t *testing.T, count, names string) {
		c := parseWaitChain(names)
		seen, l := parseHolders(count, names)
		if len(c) > maxChainLen || len(l) > namedHolders || seen < 0 {
			t.Fatalf("chain %v, %d holders, %v", c, seen, l)
		}
		for _, n := range append(slices.Clone(c), l...) {
			if err := n.Check(); err != nil {
				t.Fatal(err)
			}
		}
		if again := parseWaitChain(c.String()); !slices.Equal(again, c) {
			t.Fatalf("chain %v is passed on as %v", c, again)
		}
		n, again := parseHolders(strconv.Itoa(seen), formatNames(l))
		if n != seen || !slices.Equal(again, l) {
			t.Fatalf("%d holders %v are passed on as %d %v", seen, l, n, again)
		}
	})
}

// Guards against a chunk request that names holders to an instance that has seen as many, so
// that it is sent on in circles, and against one that is held longer than it may wait.
func FuzzChunkRequest(f *testing.F) {
	b := []byte("chunk")
	m, err := recorder.NewManifest(bytes.NewReader(b), recorder.MinChunkSize, func(recorder.Digest, []byte) error { return nil })
	if err != nil {
		f.Fatal(err)
	}
	manifest, id, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(recorder.DigestOf(b).String(), "0", "0", "a", "r")
	f.Add(recorder.DigestOf(b).String(), "5", "9223372036854775807", "", "")
	f.Add("x", "-1", "-1", "\x00", "q")
	f.Fuzz(func(t *testing.T, digest, wait, seen, instance, region string) {
		s := new(Store)
		d := recorder.DigestOf(b)
		if _, err := s.Keep(id, manifest); err != nil {
			t.Fatal(err)
		}
		if err := s.Put(d, b); err != nil {
			t.Fatal(err)
		}
		h := &Handler{Store: s, Self: Member{Region: "r", FailureDomain: "d"}, SendParallel: 1, MaxWait: time.Millisecond}
		h.setUp()
		h.holders.add(d, "holder")
		h.regionSlots <- struct{}{}
		v := url.Values{"wait-ms": {wait}, "seen-holders": {seen}}
		q := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/v1/chunks/x?"+v.Encode(), http.NoBody)
		q.URL.Path = "/v1/chunks/" + digest
		q.Header = http.Header{headerInstance: {instance}, headerRegion: {region}}
		w := httptest.NewRecorder()
		begun := time.Now()
		h.ServeHTTP(w, q)
		if took := time.Since(begun); took > 5*time.Second {
			t.Fatalf("the request took %s", took)
		}
		switch w.Code {
		case http.StatusOK:
			if recorder.DigestOf(w.Body.Bytes()).String() != digest && digest == d.String() {
				t.Fatalf("got %q", w.Body)
			}
		case http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable, http.StatusMovedPermanently, http.StatusTemporaryRedirect:
		default:
			t.Fatalf("status %d", w.Code)
		}
		if n, err := strconv.Atoi(seen); err == nil && n > 0 && w.Header().Get(headerHolders) != "" {
			t.Fatalf("one holder is named to an instance that has seen %d", n)
		}
	})
}
