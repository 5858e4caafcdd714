package forwarder_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/rawserver"
)

// Guards against responses with a status or a framing that HTTP doesn't allow, which reached the
// caller as if they were the answer: once a status 000. The script is as in TestHeads.
func TestInvalidResponses(t *testing.T) {
	datadriven.RunTest(t, "testdata/invalid-responses", func(t *testing.T, d *datadriven.TestData) string {
		var answers []rawAnswer
		for line := range strings.Lines(d.Input) {
			_, text, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
			answers = append(answers, parseRawAnswer(strings.ReplaceAll(text, "ID|", "|X-Id: id-1|X-Signature: s-1|")))
		}
		e, client := newRawEndpoint(t, answers), newPlainClient(t)
		var out strings.Builder
		for n, line := range strings.Split(strings.TrimSuffix(d.Input, "\n"), "\n") {
			f := strings.Fields(strings.ReplaceAll(line, ":", " "))
			fmt.Fprintln(&out, e.ask(client, f[0], f[1], n))
		}
		return out.String()
	})
}

// Guards against invalid responses that aren't counted, and valid ones that are.
func TestInvalidResponsesAreCounted(t *testing.T) {
	for response, want := range map[string]int64{
		"HTTP/1.1 000 x\r\n\r\n": 1, "HTTP/1.1 -01 x\r\n\r\n": 1, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n": 1,
		"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n": 0,
	} {
		s, err := rawserver.New(response)
		if err != nil {
			t.Fatal(err)
		}
		h := handlerOf(stateOf(s.Address()))
		h.Transport = &forwarder.Transport{Dial: dialUnlimited}
		front := httptest.NewServer(h)
		q, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/once/x", strings.NewReader("body"))
		q.Host = "h"
		q.Header.Set("Authorization", "Bearer key")
		q.Header.Set(headers.RequestID, "id-1")
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		front.Close()
		if n := h.InvalidResponses(); n != want {
			t.Errorf("%q: counted %d, want %d; the caller got %d", response, n, want, r.StatusCode)
		}
		_ = s.Close()
	}
}
