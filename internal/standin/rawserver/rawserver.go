// Package rawserver is a stand-in for servers that send responses which HTTP doesn't allow.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
)

// Invalid returns responses that HTTP doesn't allow, by a name. They have the given header lines,
// each with a line end.
func Invalid(headers string) map[string]string {
	end := headers + "Content-Length: 2\r\n\r\n{}"
	m := map[string]string{
		"continue without end": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
		"two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + end,
		"204 with body":        "HTTP/1.1 204 No Content\r\n" + end,
		"204 with chunks":      "HTTP/1.1 204 No Content\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"304 with chunks":      "HTTP/1.1 304 Not Modified\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	}
	for _, line := range []string{
		"HTTP/1.1 000 Failed", "HTTP/1.1 000", "HTTP/1.1 099 x", "HTTP/1.1 100 Continue", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 -01 x", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 ",
		"200 OK", "HTTP/1 200 OK", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "ICY 200 OK",
	} {
		m[line] = line + "\r\n" + end
	}
	return m
}

// Server answers each request with the same bytes and keeps its connections open.
type Server struct {
	net.Listener
	// Response is written for each request.
	Response string
	// Requests counts the requests.
	Requests atomic.Int64
}

// New returns a server on the loopback address, which serves until it is closed.
func New(response string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Listener: l, Response: response}
	go s.run()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() netip.AddrPort { return s.Addr().(*net.TCPAddr).AddrPort() }

func (s *Server) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		s.Requests.Add(1)
		if _, err := io.WriteString(c, s.Response); err != nil {
			return
		}
	}
}
