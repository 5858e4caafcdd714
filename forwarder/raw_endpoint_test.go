package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// caseHeader names the answer of a rawEndpoint that the request asks for.
const caseHeader = "X-Case"

// rawAnswer is an answer as its endpoint writes it.
type rawAnswer struct {
	// bytes are written at once, and rest after pause.
	bytes, rest string
	pause       time.Duration
	// reset ends the connection with a reset; otherwise it is closed.
	reset bool
}

// rawEndpoint is an endpoint that gives each request the answer that it names. All requests
// have new handlers, as a handler avoids an endpoint that has failed.
type rawEndpoint struct {
	net.Listener
	// front is the URL at which a caller reaches the endpoint.
	front   string
	answers []rawAnswer
}

func newRawEndpoint(t *testing.T, answers []rawAnswer) *rawEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &rawEndpoint{Listener: l, answers: answers}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		h := handlerOf(stateOf(l.Addr().(*net.TCPAddr).AddrPort()))
		h.Transport = &forwarder.Transport{Dial: dialUnlimited}
		h.ServeHTTP(w, q)
	}))
	t.Cleanup(s.Close)
	e.front = s.URL
	return e
}

// dialUnlimited opens a connection without the limit of forwarder.Transport. A busy machine exceeds
// that limit, and the caller of a request that was never sent is told so.
func dialUnlimited(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", a.String())
}

// stateOf returns a state with the configuration of most tests and one endpoint.
func stateOf(a netip.AddrPort) *observer.State {
	s := &observer.State{
		Decode: func(string, []byte) (*observer.Decision, error) {
			return &observer.Decision{Configuration: configuration()}, nil
		},
		DecodeEndpoint: func(key string, _ []byte) (*observer.Endpoint, error) {
			return &observer.Endpoint{ID: key, Service: "s", Address: a, Domain: "a", Region: "r", Slots: 4}, nil
		},
		Now: time.Now, Log: zerolog.Nop(),
	}
	s.ApplyOperator([]connector.Item{{Key: "c", Value: []byte("x")}}, time.Time{})
	s.ApplyEndpoints([]connector.Item{{Key: "i0", Value: []byte("x")}}, true)
	return s
}

func (e *rawEndpoint) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	n, _ := strconv.Atoi(q.Header.Get(caseHeader))
	a := e.answers[n]
	_, _ = io.WriteString(c, a.bytes)
	if a.rest != "" {
		time.Sleep(a.pause)
		_, _ = io.WriteString(c, a.rest)
	}
	if a.reset {
		_ = c.SetLinger(0)
	}
}

// callerAnswer is what a caller has got.
type callerAnswer struct {
	status  int
	signed  bool
	refused bool
	body    string
	// broken reports whether the caller knows that the answer isn't complete.
	broken bool
}

func (a callerAnswer) String() string {
	if a.status == 0 {
		return "connection closed"
	}
	s := strconv.Itoa(a.status)
	if a.signed || a.status/100 == 2 {
		s += " " + strconv.Quote(a.body)
	} else {
		s += " own"
	}
	if !a.signed && a.status/100 == 2 {
		s += " UNSIGNED"
	}
	if a.broken {
		s += " BROKEN OFF"
	}
	return s
}

// ask sends a request for the answer with the number.
func (e *rawEndpoint) ask(client *http.Client, route, method string, answer int) callerAnswer {
	return e.askWith(client, route, method, answer, nil)
}

// askWith does the same with further headers.
func (e *rawEndpoint) askWith(client *http.Client, route, method string, answer int, more http.Header) callerAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, method, e.front+"/"+route+"/x", http.NoBody)
	if method == http.MethodPost {
		q, _ = http.NewRequestWithContext(ctx, method, e.front+"/"+route+"/x", strings.NewReader("body"))
	}
	q.Host = "h"
	maps.Copy(q.Header, more)
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set(headers.RequestID, "id-1")
	q.Header.Set(caseHeader, strconv.Itoa(answer))
	r, err := client.Do(q)
	if err != nil {
		return callerAnswer{}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	a := callerAnswer{status: r.StatusCode, signed: r.Header.Get(headers.Signature) != "", body: string(b), broken: err != nil}
	a.refused = r.Header.Get("Retry-After") != ""
	return a
}

// newPlainClient returns a client of callers that want bodies without any encoding.
func newPlainClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}
