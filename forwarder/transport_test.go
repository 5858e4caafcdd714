package forwarder

import (
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// longestSilence is the stated time after which callers give up a stream without events.
	// A connection must outlast a shorter silence.
	longestSilence = 2 * time.Second
	// latestNotice leaves a second of the longest time-out of a route to answer a request
	// whose endpoint is dead.
	latestNotice = 5 * time.Second
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

// An endpoint that reads nothing for a while must not lose a request whose body doesn't fit
// in its buffers: its kernel answers, but with a window of zero.
func TestEndpointStopsReading(t *testing.T) {
	const length = 8 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	read := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		time.Sleep(longestSilence)
		n, _ := io.CopyN(io.Discard, c, length)
		read <- n
		_ = c.Close()
	}()
	var p Transport
	c, err := p.open(t.Context(), l.Addr().(*net.TCPAddr).AddrPort(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer c.abort()
	start := time.Now()
	if n, err := c.Write(make([]byte, length)); err != nil {
		t.Errorf("write of %d of %d bytes after %v: %v", n, length, time.Since(start), err)
	}
	if n := <-read; n != length {
		t.Errorf("the endpoint read %d of %d bytes", n, length)
	}
}

// A path that loses all packets for longestSilence must keep its connections, and one that
// stays silent must end them in time for a response.
func TestConnectionOutlastsSilence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := dialTCP(t.Context(), l.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	unacknowledged := time.Duration(socketOption(t, c, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	// The kernel waits twice as long before each further retransmission and sends none
	// when the time is over, so one of them must fall between the two. It sends the first
	// one after 0.2 s to three round trips.
	for first := 200 * time.Millisecond; first <= 1500*time.Millisecond; first += time.Millisecond {
		sent, wait := first, first
		for sent < longestSilence {
			wait *= 2
			sent += wait
		}
		if sent >= unacknowledged {
			t.Fatalf("with a first retransmission after %v, none comes between %v and %v", first, longestSilence, unacknowledged)
		}
	}
	idle := time.Duration(socketOption(t, c, unix.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(socketOption(t, c, unix.TCP_KEEPINTVL)) * time.Second
	probed := idle + time.Duration(socketOption(t, c, unix.TCP_KEEPCNT))*interval
	// The kernel compares the time since the last segment when a probe is due.
	ended := idle + interval
	for ended < unacknowledged {
		ended += interval
	}
	// A silence may begin right before the first probe, and end right after one.
	if atLeast := idle + longestSilence + interval; ended <= atLeast || probed <= atLeast {
		t.Errorf("a silent connection ends after %v or %v; it must last for more than %v", ended, probed, atLeast)
	}
	if ended > latestNotice || probed > latestNotice {
		t.Errorf("a dead endpoint is noticed after %v or %v; the most is %v", ended, probed, latestNotice)
	}
}

// socketOption returns the value of an option of TCP.
func socketOption(t *testing.T, c net.Conn, option int) int {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	v := 0
	var e error
	if err := raw.Control(func(fd uintptr) { v, e = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }); err != nil || e != nil {
		t.Fatalf("option %d: %v, %v", option, err, e)
	}
	return v
}
