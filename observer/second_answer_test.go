package observer_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// serveSecondTables answers each request with what the handler says, and sends a second copy of
// the last answer when the next request has arrived on the connection.
func serveSecondTables(c net.Conn, h http.Handler) {
	defer func() { _ = c.Close() }()
	var last []byte
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		q.SetPathValue("name", path.Base(q.URL.Path))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, q)
		answer := fmt.Appendf(nil, "HTTP/1.1 %d Status\r\n", w.Code)
		for k := range w.Header() {
			answer = fmt.Appendf(answer, "%s: %s\r\n", k, w.Header().Get(k))
		}
		answer = fmt.Appendf(answer, "Content-Length: %d\r\n\r\n%s", w.Body.Len(), w.Body)
		if _, err := c.Write(append(last, answer...)); err != nil {
			return
		}
		last = answer
	}
}

// Guards against the records of another table: the tables are read over the same connections,
// and with the next offset of a longer one, records of this one would never be read.
func TestSecondAnswerWithTable(t *testing.T) {
	h := &observer.Handler{Tables: make(map[string]*observer.Table)}
	for i, name := range []string{"operators", "servers"} {
		h.Tables[name] = new(observer.Table)
		h.Tables[name].Apply(connector.Changes{Items: []connector.Item{{Key: name, Value: []byte("v"), Offset: 1}}, Next: uint64(2 + 7*i)}, timekeeper.Now())
	}
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
			go serveSecondTables(c, h)
		}
	}()
	client := &http.Client{Transport: &http.Transport{}}
	refused := 0
	for range 6 {
		for name, table := range h.Tables {
			r := &observer.PeerReader{Table: name, Client: client, Now: time.Now, Peers: func() []netip.AddrPort {
				return []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())}
			}}
			c, err := r.Read(t.Context(), 0, 0)
			if err != nil {
				refused++
				continue
			}
			if c.Next != table.Next() || len(c.Items) != 1 || c.Items[0].Key != name {
				t.Errorf("read of %s: %+v", name, c)
			}
		}
	}
	if refused == 0 || refused == 12 {
		t.Errorf("%d of 12 reads were refused", refused)
	}
}
