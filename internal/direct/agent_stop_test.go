package direct

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// testChunkSize is twice what a sender sends at once.
const testChunkSize = 64 << 10

// keepChunks keeps a manifest of two chunks in the agent's store, which has the first of them.
func keepChunks(t *testing.T, a *Agent) (first, second recorder.Digest) {
	t.Helper()
	data := bytes.Repeat([]byte{1}, testChunkSize)
	m, err := recorder.NewManifest(bytes.NewReader(append(data, bytes.Repeat([]byte{2}, testChunkSize)...)),
		testChunkSize, func(recorder.Digest, []byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	b, d, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.chunks.Keep(d, b); err != nil {
		t.Fatal(err)
	}
	if err := a.chunks.Put(m.Chunks[0], data); err != nil {
		t.Fatal(err)
	}
	return m.Chunks[0], m.Chunks[1]
}

// A chunk that an agent sends when its planned stop begins must arrive whole, and a peer that
// waits for one must get an answer: both were cut, and the peer asked again elsewhere.
func TestStopOfAgentAnswersPeers(t *testing.T) {
	p := &Platform{
		Tables:          func(netip.AddrPort, *http.Client) Tables { return Tables{} },
		EndpointDecoder: noEndpoints,
		Replica:         func(netip.AddrPort, *http.Client) *connector.Replica { return &connector.Replica{} },
	}
	// The second half of a chunk takes 0.6 s.
	a := &Agent{
		Peers: netip.MustParseAddrPort("127.0.0.1:0"), Platform: p, Log: zerolog.Nop(),
		Link: testChunkSize / 2 * bitsPerByte / linkShare / 0.6,
	}
	if err := a.build(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.reports.Socket.Close() }()
	first, second := keepChunks(t, a)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	e, ctx := errgroup.WithContext(ctx)
	d, err := a.servePeers(ctx, e)
	if err != nil {
		t.Fatal(err)
	}
	get := func(d0 recorder.Digest, got chan<- string) {
		r, err := http.Get("http://" + d.Listener.Addr().String() + "/v1/chunks/" + d0.String() + "?wait-ms=9000")
		if err != nil {
			got <- "no answer"
			return
		}
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		got <- fmt.Sprintf("%d, whole: %t", r.StatusCode, err == nil && (r.StatusCode != http.StatusOK || len(b) == testChunkSize))
	}
	sent, waiting := make(chan string, 1), make(chan string, 1)
	go get(first, sent)
	go get(second, waiting)
	time.Sleep(250 * time.Millisecond)
	stop()
	if got := <-sent; got != "200, whole: true" {
		t.Errorf("the peer that is sent a chunk got %q", got)
	}
	if got := <-waiting; got != "404, whole: true" {
		t.Errorf("the peer that waits got %q", got)
	}
	if err := e.Wait(); err != nil {
		t.Error(err)
	}
}
