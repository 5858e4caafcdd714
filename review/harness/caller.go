//go:build review

package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Answer is what a caller saw.
type Answer struct {
	ID string
	// Sent is when the last byte of the request was sent, Ended the end of the answer or of the
	// connection.
	Sent, Ended time.Time
	// Status is 0 if the connection ended without an answer.
	Status int
	Body   string
	// Err is set if the answer isn't whole.
	Err error
}

// IsWhole reports whether the caller got a whole success.
func (a Answer) IsWhole() bool { return a.Status == http.StatusOK && a.Err == nil }

// Caller is a client of one gateway.
type Caller struct {
	Front  netip.AddrPort
	Record *Record
}

// Host is the host of all routes.
const Host = "hulo84.example"

// Ask opens a connection, waits for the given time before it sends the request, which is below the
// limit headerTimeoutMs, and reads the answer.
func (c *Caller) Ask(method, path, id string, deadline, hold time.Duration) Answer {
	a := Answer{ID: id}
	conn, err := net.DialTimeout("tcp4", c.Front.String(), time.Second)
	if err != nil {
		a.Err = err
		a.Ended = time.Now()
		c.Record.Printf("client: no connection for %s: %v", id, brief(err))
		return a
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nEelgrassdrift-Request-Id: %s\r\nEelgrassdrift-Deadline-Ms: %d\r\n",
		method, path, Host, id, deadline.Milliseconds())
	head += "Authorization: Bearer key1\r\nEelgrassdrift-Model: m0\r\nEelgrassdrift-Token-Count: 900,360\r\nEelgrassdrift-Prompt-Prefix: 5c1e07a2:40,91bd3f06:860\r\n"
	if method == http.MethodPost {
		head += "Content-Length: 4\r\n"
	}
	if hold > 0 {
		c.Record.Printf("client: has a connection for %s", id)
		time.Sleep(hold)
	}
	head += "\r\n"
	if method == http.MethodPost {
		head += "body"
	}
	_, err = io.WriteString(conn, head)
	a.Sent = time.Now()
	c.Record.Printf("client: %s is sent", id)
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(deadline + time.Second))
		err = a.read(conn, method)
	}
	a.Err, a.Ended = err, time.Now()
	how := "whole"
	if err != nil {
		how = "not whole: " + brief(err)
	}
	c.Record.Printf("client: %s ends after %d ms with status %d, %s, %d events", id, a.Ended.Sub(a.Sent).Milliseconds(), a.Status, how,
		strings.Count(a.Body, "data:"))
	return a
}

func (a *Answer) read(conn net.Conn, method string) error {
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	a.Status = r.StatusCode
	b, err := io.ReadAll(r.Body)
	a.Body = string(b)
	return err
}

// brief returns the text of an error without its addresses.
func brief(err error) string {
	s := err.Error()
	if i := strings.LastIndex(s, ": "); i >= 0 {
		return s[i+2:]
	}
	return s
}
