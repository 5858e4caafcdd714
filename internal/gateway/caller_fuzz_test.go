package gateway

import (
	"bufio"
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// Guards against a request that ends its handler, runs twice, or is refused as "not-run" after
// an endpoint got it. The input is the request as its caller or another gateway writes it.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /booking/deposits HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}"), false)
	f.Add([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 13\r\n\r\n{\"model\":\"m\"}"), false)
	f.Add([]byte("POST /booking/deposits HTTP/1.1\r\nHost: h\r\nEelgrass-Deadline-Ms: -9223372036854775808\r\nEelgrass-Resume-From: -1\r\n\r\n"), true)
	f.Add([]byte("GET http://other/booking/x?%zz HTTP/1.1\r\nHost: h\r\nEelgrass-Priority: 99999999999999999999\r\n\r\n"), true)
	f.Add([]byte("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"), false)
	e := &scriptedEndpoints{}
	g := newTestGateway(f, e)
	callers := g.callerRoutes()
	f.Fuzz(func(t *testing.T, b []byte, peer bool) {
		q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		h := callers
		if peer {
			h = http.HandlerFunc(g.servePeer)
		}
		q.Header.Set("Authorization", "Bearer "+testKey)
		e.mu.Lock()
		e.script, e.seen, e.ran = nil, nil, 0
		e.mu.Unlock()
		w := httptest.NewRecorder()
		func() {
			defer func() {
				if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // It is what a handler panics with.
					panic(v)
				}
			}()
			h.ServeHTTP(w, q)
		}()
		e.mu.Lock()
		defer e.mu.Unlock()
		if notRun := strings.Contains(w.Body.String(), `"outcome":"`+header.NotRun+`"`); e.ran > 1 || notRun && e.ran > 0 {
			t.Fatalf("ran %d times, status %d, %s", e.ran, w.Code, w.Body)
		}
	})
}
