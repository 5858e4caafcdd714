//go:build review

package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link relays connections to a replica. While it is cut nothing passes in either direction: what was
// sent arrives after the cut, as over a path that loses packets for that time.
type link struct {
	address, to string

	mu       sync.Mutex
	listener net.Listener
	healed   chan struct{}
}

// newLink listens at the address.
func newLink(address, to string) (*link, error) {
	l := &link{address: address, to: to}
	return l, l.open()
}

func (l *link) open() error {
	n, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = n
	l.address = n.Addr().String()
	l.mu.Unlock()
	go l.accept(n)
	return nil
}

// shut stops listening, as the port of a process that has ended.
func (l *link) shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

// wait returns when the link isn't cut.
func (l *link) wait() {
	for {
		l.mu.Lock()
		h := l.healed
		l.mu.Unlock()
		if h == nil {
			return
		}
		<-h
	}
}

func (l *link) accept(n net.Listener) {
	for {
		c, err := n.Accept()
		if err != nil {
			return
		}
		go func() {
			l.wait()
			l.relay(c)
		}()
	}
}

func (l *link) relay(c net.Conn) {
	o, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		reset(c)
		return
	}
	var g sync.WaitGroup
	g.Add(2)
	go func() { defer g.Done(); l.copy(o, c) }()
	go func() { defer g.Done(); l.copy(c, o) }()
	g.Wait()
	_, _ = c.Close(), o.Close()
}

// copy relays one direction: the bytes, and its end as it was, by a reset or by a close.
func (l *link) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		l.wait()
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// reset closes a connection so that its other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
