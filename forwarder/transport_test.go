package forwarder

import (
	"context"
	"net"
	"net/netip"
	"testing"
)

// Idle connections must not exhaust the file descriptors that callers and the store
// need, even if they are few per endpoint but there are many endpoints.
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
		// The endpoints differ only in their ports; putIdle doesn't check that the
		// connection leads to the address.
		a := to
		if i%endpoints > 0 {
			a = netip.AddrPortFrom(to.Addr(), uint16(i%endpoints))
		}
		p.putIdle(a, c, "")
	}
	if n := p.Kept(); n != maxIdleTotal {
		t.Errorf("%d idle connections are kept; the limit is %d", n, maxIdleTotal)
	}
	for _, c := range open {
		_ = c.Close()
	}
	for p.takeIdle(to) != nil {
		t.Error("takeIdle returned a closed connection")
	}
	if n := p.Kept(); n >= maxIdleTotal {
		t.Errorf("%d idle connections are counted after the closed ones were removed", n)
	}
}
