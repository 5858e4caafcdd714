package main

import (
	"context"
	"io"
	"net"
	"net/netip"
)

// countedLink serves a TCP relay to the target and returns its address. The
// traffic counts bytes from the client as in and bytes to it as out.
func countedLink(ctx context.Context, target netip.AddrPort, t *traffic) (netip.AddrPort, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	counted := &countingListener{l, t}
	go func() {
		for {
			in, err := counted.Accept()
			if err != nil {
				return
			}
			go pass(ctx, in, target)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// pass copies both ways until one side ends.
func pass(ctx context.Context, in net.Conn, target netip.AddrPort) {
	defer in.Close()
	var d net.Dialer
	out, err := d.DialContext(ctx, "tcp", target.String())
	if err != nil {
		return
	}
	defer out.Close()
	stop := context.AfterFunc(ctx, func() { _, _ = in.Close(), out.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	send := func(to io.Writer, from io.Reader) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go send(out, in)
	go send(in, out)
	<-done
}
