package forwarder

import (
	"context"
	"net"
	"net/netip"
	"testing"
)

// Idle connections to many endpoints must not use up the descriptors that callers and
// the store need, though each endpoint has only a few.
func TestIdleConnectionsToManyEndpoints(t *testing.T) {
	const endpoints, each = 60, 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	var p Transport
	to := l.Addr().(*net.TCPAddr).AddrPort()
	var open []*connection
	for range endpoints * each {
		c, err := p.open(context.Background(), to, true)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	for i, c := range open {
		// The endpoints differ in their ports only, which the transport doesn't ask.
		a := to
		if i%endpoints > 0 {
			a = netip.AddrPortFrom(to.Addr(), uint16(i%endpoints))
		}
		p.putIdle(a, c, "")
	}
	if n := p.Kept(); n != maxIdleTotal {
		t.Errorf("%d idle connections are kept; the bound is %d", n, maxIdleTotal)
	}
	for _, c := range open {
		_ = c.Close()
	}
	for p.takeIdle(to) != nil {
		t.Error("a closed connection was given out")
	}
	if n := p.Kept(); n >= maxIdleTotal {
		t.Errorf("%d idle connections are counted after some were taken", n)
	}
}
