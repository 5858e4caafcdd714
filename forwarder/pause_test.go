package forwarder_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// A process that is paused between the choice of an endpoint and the first byte of the
// request must choose again: the endpoint may have left meanwhile, or its version may no
// longer be used.
func TestPauseBeforeSend(t *testing.T) {
	const pause = 4 * time.Second
	now := time.Now()
	state, all := newState(t, 2, func() time.Time { return now })
	s := &script{}
	for _, b := range all {
		b.script = s
	}
	f := handlerOf(state)
	var d net.Dialer
	dials := 0
	f.Transport = &forwarder.Transport{Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		if dials++; dials == 1 {
			now = now.Add(pause)
			for i, b := range all {
				if b.address() == a {
					state.ApplyEndpoints([]connector.Item{{Key: []string{"i0", "i1"}[i], Offset: 9}}, true)
				}
			}
			f.Dispatcher.Update()
		}
		return d.DialContext(ctx, "tcp", a.String())
	}}
	url := serve(t, f)
	if got := sendRequest(url, "once"); got != "200 hello" {
		t.Errorf("the caller got %q", got)
	}
	if got := summarizeRequests(all); got != "  sent 1 ran 1\n" || dials != 2 {
		t.Errorf("%d dials, endpoints got %q; want a second dial and one request", dials, got)
	}
}

// A lease must hold for a dial that takes its usual time, or requests would go from
// endpoint to endpoint over a slow network.
func TestSlowDialKeepsLease(t *testing.T) {
	f, all := newHandler(t, 1)
	all[0].script = &script{}
	var d net.Dialer
	dials := 0
	f.Transport = &forwarder.Transport{Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		dials++
		time.Sleep(500 * time.Millisecond)
		return d.DialContext(ctx, "tcp", a.String())
	}}
	f.Log = zerolog.Nop()
	if got := sendRequest(serve(t, f), "once"); got != "200 hello" || dials != 1 {
		t.Errorf("the caller got %q after %d dials", got, dials)
	}
}
