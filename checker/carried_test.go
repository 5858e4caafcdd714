package checker_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/checker"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Guards against a finding about a host or path that a server of package net/http does accept, and
// against a character that it never accepts without a finding. Wildcards and fragments are accepted
// and are findings nevertheless.
func TestCarriedCharacters(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	isAccepted := func(host, path string) bool {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, host); err != nil {
			t.Fatal(err)
		}
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		return r.StatusCode == http.StatusOK
	}
	hasFinding := func(host, prefix string, rule checker.Rule) bool {
		d := &checker.Document{
			Configuration: &resolver.Configuration{Routes: []resolver.Route{{Host: host, Prefix: prefix, Timeout: 1, Attempts: 1}}},
			Locate:        func(resolver.Place) checker.Position { return checker.Position{} },
		}
		return slices.ContainsFunc(new(checker.Checker).Check(d, nil), func(f checker.Finding) bool { return f.Rule == rule })
	}
	for b := range 0x80 {
		// A line break ends the header or the request line.
		if b == '\n' || b == '\r' {
			continue
		}
		// What follows a colon is a port, which is no part of the host that is matched.
		if b == ':' {
			continue
		}
		host, prefix := "a"+string(rune(b))+"b", "/a"+string(rune(b))+"b/"
		if got, want := hasFinding(host, "/", checker.UnmatchedHost), b == '*' || !isAccepted(host, "/"); got != want {
			t.Errorf("host %q: finding %t, want %t", host, got, want)
		}
		if got, want := hasFinding("h", prefix, checker.UnmatchedPrefix), strings.ContainsRune("?#", rune(b)) || !isAccepted("h", prefix); got != want {
			t.Errorf("prefix %q: finding %t, want %t", prefix, got, want)
		}
	}
}
