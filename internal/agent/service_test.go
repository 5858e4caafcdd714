package agent

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/eelgrassdrift/eelgrassdrift/follower"
)

// listenWithoutBacklog returns the socket of a service that takes one connection and then
// lets further ones wait, as one does that is silent. The kernel drops their first packets.
func listenWithoutBacklog(t *testing.T) (socket, port int) {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(socket, 0); err != nil {
		t.Fatal(err)
	}
	a, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return socket, a.(*unix.SockaddrInet4).Port
}

// probeTime probes a service in service until it is out of it, and returns how long that took.
func probeTime(t *testing.T, port int) time.Duration {
	t.Helper()
	a := &Agent{Target: fmt.Sprintf("http://127.0.0.1:%d", port), replica: &follower.Replica{}}
	a.Log = zerolog.Nop()
	s := newService(a)
	s.up.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	began := time.Now()
	go func() { _ = s.probe(ctx) }()
	for s.up.Load() {
		if time.Since(began) > 5*time.Second {
			t.Fatal("in service after 5 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// A service that takes no connections for 2 s, but goes on after it, must stay in service: its
// endpoint would be left out, and calls that it works on would be canceled. One that refuses
// them is gone at once.
func TestSilentService(t *testing.T) {
	socket, port := listenWithoutBacklog(t)
	c, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if d := probeTime(t, port); d < 2*time.Second {
		t.Errorf("out of service after %v of silence", d)
	}
	if err := unix.Close(socket); err != nil {
		t.Fatal(err)
	}
	if d := probeTime(t, port); d > time.Second {
		t.Errorf("out of service %v after it refused connections", d)
	}
}
