//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	status int
	signed bool
	// ended reports whether the answer came to its proper end: the last chunk, or its stated length.
	ended bool
	// version is that of the weights.
	version string
	header  http.Header
	body    string
	err     error
}

func (a answer) String() string {
	return fmt.Sprintf("request %s: status %d, signed %t, ended %t, %d bytes, %d events, error %v",
		a.id, a.status, a.signed, a.ended, len(a.body), strings.Count(a.body, "\n\n"), a.err)
}

// ask sends one request on a connection of its own and reads the answer.
func ask(front, method, path, id string, deadline time.Duration, headers map[string]string, body string) answer {
	a := answer{id: id}
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	q, err := http.NewRequestWithContext(context.Background(), method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	q.Host = "coop.example"
	q.Header.Set(requestID, id)
	q.Header.Set("Authorization", "Bearer key1")
	q.Header.Set("Eelgrassdrift-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range headers {
		q.Header.Set(k, v)
	}
	if a.err = q.Write(c); a.err != nil {
		return a
	}
	r, err := http.ReadResponse(bufio.NewReader(c), q)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = r.Body.Close() }()
	a.status, a.signed, a.header = r.StatusCode, r.Header.Get(signature) != "", r.Header
	a.version = r.Header.Get("Eelgrassdrift-Weight-Versions")
	b, err := io.ReadAll(r.Body)
	a.body, a.err = string(b), err
	a.ended = err == nil && (r.ContentLength >= 0 || len(r.TransferEncoding) > 0)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		a.ended = false
	}
	return a
}

// stream asks for a stream with a number of events.
func stream(front, path, id string, n int) answer {
	return ask(front, http.MethodPost, path, id, 6*time.Second, map[string]string{
		"Eelgrassdrift-Model": model, "Eelgrassdrift-Token-Count": fmt.Sprintf("800,%d", 6*n),
		"Eelgrassdrift-Prompt-Prefix": "5c1e07a2:40," + fmt.Sprintf("%x:760", len(id)+1),
	}, "prompt of "+id)
}

// isWholeStream reports whether the body holds the events 1 to n in order.
func isWholeStream(a answer, n int) bool {
	var want strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s-%d\n\n", i, a.id, i)
	}
	return a.body == want.String()
}
