package distributor_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// secondAnswerPeer serves chunks. On each connection it sends a second copy of the last answer
// when the next request has arrived.
type secondAnswerPeer struct {
	net.Listener
	weights *weights
	again   atomic.Int32
}

func (p *secondAnswerPeer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var last []byte
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		d, _ := recorder.ParseDigest(q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:])
		b := p.weights.blobs[d]
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
		if len(last) > 0 {
			p.again.Add(1)
		}
		if _, err := c.Write(append(last, answer...)); err != nil {
			return
		}
		last = answer
	}
}

// Guards against weights with a chunk in the place of another one: answers of peers don't name
// their request, and the second copy of one has the length of the next.
func TestSecondAnswerOfPeer(t *testing.T) {
	RegisterTestingT(t)
	w := newWeights("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	p := &secondAnswerPeer{Listener: l, weights: w}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	self := distributor.Member{Instance: "self", FailureDomain: "d", Region: "r"}
	peer := distributor.Member{Instance: "peer", FailureDomain: "d", Region: "r", Address: l.Addr().(*net.TCPAddr).AddrPort()}
	store := new(distributor.Store)
	w.fill(store, 0)
	f := &distributor.Fetcher{
		Self: self, OriginRegion: "r", Store: store, Client: distributor.NewClient(nil), MaxBackoff: 10 * time.Millisecond,
		Members: func() []distributor.Member { return []distributor.Member{self, peer} },
		Origin: &connector.Origin{Fetch: func(_ context.Context, d recorder.Digest) (io.ReadCloser, int64, error) {
			return io.NopCloser(bytes.NewReader(w.blobs[d])), int64(len(w.blobs[d])), nil
		}},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = f.Fetch(ctx, w.version, nil)
	Expect(err).NotTo(HaveOccurred())
	for i, d := range w.manifest.Chunks {
		b, ok := store.Get(d)
		if !ok || !bytes.Equal(b, w.blobs[d]) {
			t.Errorf("chunk %d is held: %t, as %.8q", i, ok, b)
		}
	}
	if p.again.Load() == 0 {
		t.Error("no answer was sent again")
	}
}
