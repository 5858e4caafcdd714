package link_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/link"
)

// open runs a link to a server that sends back what it receives.
func open(f link.Faults) (*link.Link, string) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	ready := make(chan netip.AddrPort, 1)
	l := &link.Link{
		Server: standin.Server{Ready: func(a netip.AddrPort) { ready <- a }},
		Target: netip.MustParseAddrPort(echo.Addr().String()), Start: f,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
		_ = echo.Close()
	})
	return l, (<-ready).String()
}

func dial(address string) net.Conn {
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

// echo sends b, ends its side and returns what comes back.
func echo(c net.Conn, b []byte) ([]byte, error) {
	go func() {
		_, _ = c.Write(b)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	return io.ReadAll(c)
}

var _ = Describe("Link", func() {
	text := bytes.Repeat([]byte("water "), 50_000)

	// Tests of failures rely on each of these faults being felt, and only that one.
	DescribeTable("passes bytes", func(f link.Faults, same bool, atLeast, below time.Duration) {
		_, a := open(f)
		start := time.Now()
		b, err := echo(dial(a), text)
		Expect(err).NotTo(HaveOccurred())
		Expect(b).To(HaveLen(len(text)))
		Expect(bytes.Equal(b, text)).To(Equal(same))
		Expect(time.Since(start)).To(BeNumerically(">=", atLeast))
		Expect(time.Since(start)).To(BeNumerically("<", below))
	},
		Entry("unchanged", link.Faults{}, true, time.Duration(0), 5*time.Second),
		Entry("at a rate", link.Faults{BytesPerSecond: 1 << 20}, true, 250*time.Millisecond, 5*time.Second),
		Entry("late", link.Faults{Delay: 100e6}, true, 200*time.Millisecond, 5*time.Second),
		Entry("corrupted", link.Faults{Corrupt: 0.001}, false, time.Duration(0), 5*time.Second),
	)

	It("stalls in one direction and goes on", func() {
		l, a := open(link.Faults{Stall: link.Backward})
		c := dial(a)
		_, err := c.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(l.Stats).Should(HaveField("Forward", int64(1)))
		Expect(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		l.SetFaults(link.Faults{})
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(c.Read(make([]byte, 1))).To(Equal(1))
	})

	// A cut that is seen as an end in order would look like an answer that is whole.
	It("cuts open connections and takes new ones", func() {
		l, a := open(link.Faults{})
		for range 300 {
			c := dial(a)
			_, err := c.Write([]byte("x"))
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Read(make([]byte, 1))).To(Equal(1))
			l.SetFaults(link.Faults{Cut: true})
			_, err = c.Read(make([]byte, 1))
			Expect(err).To(MatchError(ContainSubstring("reset")))
		}
		Expect(echo(dial(a), text)).To(Equal(text))
	})

	// A client that dials again at once would keep a connection through the cut.
	It("cuts and refuses connections that are made at the same time", func() {
		l, address := open(link.Faults{})
		for range 50 {
			l.SetFaults(link.Faults{})
			Eventually(func() error {
				c, err := net.Dial("tcp", address)
				if err == nil {
					_ = c.Close()
				}
				return err
			}).Should(Succeed())
			conns, quit := make(chan net.Conn, 10_000), make(chan struct{})
			go func() {
				defer close(conns)
				for {
					select {
					case <-quit:
						return
					default:
						if c, err := net.Dial("tcp", address); err == nil {
							conns <- c
						}
					}
				}
			}()
			time.Sleep(time.Millisecond)
			l.SetFaults(link.Faults{Cut: true, Refuse: true})
			time.Sleep(5 * time.Millisecond)
			close(quit)
			for c := range conns {
				_ = c.SetDeadline(time.Now().Add(time.Second))
				_, _ = c.Write([]byte("x"))
				n, err := c.Read(make([]byte, 1))
				Expect(n).To(BeZero())
				Expect(err).To(HaveOccurred())
				Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
				_ = c.Close()
			}
		}
	})

	It("refuses and opens the same port again", func() {
		l, a := open(link.Faults{})
		l.SetFaults(link.Faults{Refuse: true})
		try := func() error {
			c, err := net.Dial("tcp", a)
			if err == nil {
				_ = c.Close()
			}
			return err
		}
		Eventually(try).Should(MatchError(ContainSubstring("refused")))
		l.SetFaults(link.Faults{})
		Eventually(try).Should(Succeed())
	})

	DescribeTable("checks faults at the control address", func(body string, status int, reply string) {
		q := httptest.NewRequest(http.MethodPut, "/faults", strings.NewReader(body))
		w := httptest.NewRecorder()
		new(link.Link).ServeHTTP(w, q)
		Expect(w.Code).To(Equal(status))
		Expect(w.Body.String()).To(ContainSubstring(reply))
	},
		Entry("right", `{"bytes-per-second":2500000,"delay":"2ms","cut":true}`, 200, `{"bytes-per-second":2500000,"delay":"2ms"}`),
		Entry("unknown", `{"rate":1}`, 400, `unknown field`),
		Entry("wrong direction", `{"stall":"up"}`, 400, `field stall`),
		Entry("wrong share", `{"corrupt":1.5}`, 400, `field corrupt`),
	)
})
