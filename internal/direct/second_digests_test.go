package direct

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path"
	"strconv"
	"testing"
)

// serveSecondDigests answers each request for digests with those whose bytes are the version,
// and sends a second copy of the last answer when the next request has arrived on the
// connection.
func serveSecondDigests(c net.Conn) {
	defer func() { _ = c.Close() }()
	var last []byte
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		v, _ := strconv.Atoi(path.Base(q.URL.Path))
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n%s", bytes.Repeat([]byte{byte(v)}, 64))
		if _, err := c.Write(append(last, answer...)); err != nil {
			return
		}
		last = answer
	}
}

// Guards against the digests of another version: answers of peers don't name theirs, and no
// piece of the origin would match them.
func TestSecondAnswerWithDigests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveSecondDigests(c)
		}
	}()
	a := &Agent{follower: &follower{client: &http.Client{Transport: &http.Transport{}}}}
	peer := netip.MustParseAddrPort(l.Addr().String())
	for v := byte(1); v < 6; v++ {
		d, err := a.requestDigests(t.Context(), peer, int64(v))
		if err != nil {
			t.Errorf("version %d: %v", v, err)
			continue
		}
		for i := range d {
			if d[i] != [32]byte(bytes.Repeat([]byte{v}, 32)) {
				t.Errorf("digest %d of version %d is %x", i, v, d[i][:4])
			}
		}
	}
}
