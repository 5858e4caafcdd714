// Package scripter runs the scripts that test the stand-ins' interfaces.
//
// A script is a datadriven file. Requests go to the handler without a network,
// inside a synctest bubble, so that waits take no real time and their order is
// fixed. The commands are:
//
//	http             send the request in the input and print the reply
//	start NAME       send the request in the input and go on
//	wait NAME        wait for the reply to a started request and print it
//	leave NAME       close the connection of a started request
//	sleep DURATION   let time pass
//
// The input of http and start is a line "METHOD PATH", lines "Header: value" and
// the body, which begins with the first line that is not a header. A connection
// closed without a whole reply is printed as "closed".
package scripter

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Run runs the script at path against a handler that is made inside the bubble.
func Run(t *testing.T, path string, open func() http.Handler) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &script{handler: open(), calls: map[string]*call{}}
		datadriven.RunTest(t, path, s.step)
	})
}

type script struct {
	handler http.Handler
	calls   map[string]*call
}

// call is a request that is under way.
type call struct {
	leave context.CancelFunc
	reply chan string
}

func (s *script) step(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	name := ""
	if len(d.CmdArgs) > 0 {
		name = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "http":
		return <-s.start(d.Input).reply
	case "start":
		s.calls[name] = s.start(d.Input)
		synctest.Wait()
		return ""
	case "wait":
		return <-s.calls[name].reply
	case "leave":
		s.calls[name].leave()
		return <-s.calls[name].reply
	case "sleep":
		v, err := time.ParseDuration(name)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(v)
		synctest.Wait()
		return ""
	}
	t.Fatalf("command %q is not known", d.Cmd)
	return ""
}

func (s *script) start(input string) *call {
	ctx, leave := context.WithCancel(context.Background())
	c := &call{leave, make(chan string, 1)}
	q := parse(input).WithContext(ctx)
	go func() { c.reply <- s.send(q) }()
	return c
}

// send calls the handler and prints its reply.
func (s *script) send(q *http.Request) (out string) {
	w := httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil {
			if err, ok := v.(error); !ok || err.Error() != http.ErrAbortHandler.Error() {
				panic(v)
			}
			out = strings.TrimLeft(strings.ReplaceAll(w.Body.String(), "\n\n", "\n")+"closed\n", "\n")
		}
	}()
	s.handler.ServeHTTP(w, q)
	var b strings.Builder
	fmt.Fprintln(&b, w.Code)
	for _, h := range []string{"Retry-After", "Content-Length", "Eelgrass-Version", "Eelgrass-Boot-Id"} {
		if v := w.Header().Get(h); v != "" {
			fmt.Fprintf(&b, "%s: %s\n", h, v)
		}
	}
	if v := strings.TrimSpace(w.Body.String()); v != "" {
		// An empty line would end the expected output of a datadriven test.
		fmt.Fprintln(&b, strings.ReplaceAll(v, "\n\n", "\n"))
	}
	return b.String()
}

func parse(input string) *http.Request {
	lines := strings.Split(input, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	header := regexp.MustCompile(`^([A-Z][A-Za-z-]+): (.*)$`)
	h, i := http.Header{}, 1
	for ; i < len(lines); i++ {
		m := header.FindStringSubmatch(lines[i])
		if m == nil {
			break
		}
		h.Set(m[1], m[2])
	}
	q := httptest.NewRequest(method, path, bytes.NewBufferString(strings.Join(lines[i:], "\n")))
	q.Header = h
	return q
}
