package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// Guards against a response without a length or chunks that was cut off by the end of its process and
// looks whole: another process has started at the address, or nothing shows that it still runs.
func TestResponseEndsWithConnection(t *testing.T) {
	const stream = answerHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
	now := time.Now()
	state := func(started time.Time) connector.ProcessState { return connector.ProcessState{Started: started} }
	for _, c := range []struct {
		name string
		// states are the answers of the process to the questions; each nil one is none.
		states  []connector.ProcessState
		errs    []error
		isWhole bool
	}{
		{name: "same", states: []connector.ProcessState{state(time.Time{})}, isWhole: true},
		{name: "before-connection", states: []connector.ProcessState{state(now.Add(-time.Hour))}, isWhole: true},
		{name: "started-again", states: []connector.ProcessState{state(now.Add(time.Second))}},
		{name: "refused", errs: []error{unix.ECONNREFUSED}},
		{name: "silent", errs: []error{context.DeadlineExceeded}},
		{name: "silent-for-a-moment", errs: []error{context.DeadlineExceeded, nil}, states: []connector.ProcessState{{}, {}}, isWhole: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newRawEndpoint(t, []rawAnswer{{bytes: answerHead + "\r\nhello"}, {bytes: stream}})
			asked := make(map[string]int)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				h := handlerOf(stateOf(netip.MustParseAddrPort(e.Addr().String())))
				h.Transport = &forwarder.Transport{Dial: dialUnlimited}
				h.AskProcess = func(context.Context, netip.AddrPort) (connector.ProcessState, error) {
					n := asked[q.Header.Get(caseHeader)]
					asked[q.Header.Get(caseHeader)]++
					var v connector.ProcessState
					var err error
					if len(c.errs) > 0 {
						err = c.errs[min(n, len(c.errs)-1)]
					}
					if len(c.states) > 0 {
						v = c.states[min(n, len(c.states)-1)]
					}
					return v, errors.Wrap(err, "ask")
				}
				h.ServeHTTP(w, q)
			}))
			t.Cleanup(s.Close)
			e.front = s.URL
			for n, route := range []string{"once", "once"} {
				got := e.ask(newPlainClient(t), route, http.MethodPost, n)
				if isWhole := !isKnownBroken(got); isWhole != c.isWhole {
					t.Errorf("answer %d: the caller got %s, want whole %t", n, got, c.isWhole)
				}
			}
		})
	}
}
