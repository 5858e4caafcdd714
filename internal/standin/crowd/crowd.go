package crowd

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// headBytes is what a client of a large head sends quickly. It is just under the default
	// limit of net/http, above which a server answers and drops the head.
	headBytes = 1000 << 10
	// smallHeadBytes is just under the limit for headers, 16,384 bytes.
	smallHeadBytes = 16_000
	// shortLines is the number of lines in a head of many short ones.
	shortLines = 100_000
	// trickleInterval is the time between two bytes of a client that sends slowly.
	trickleInterval = 200 * time.Millisecond
	// redialInterval is the time before a client connects again.
	redialInterval = 20 * time.Millisecond
	dialTimeout    = 5 * time.Second
)

// Target is what a crowd calls.
type Target struct {
	Address string
	// Host, Path and Key make a request that the target serves.
	Host, Path, Key string
}

// client is one connection of a crowd. It ends with an error when the target closes it.
type client struct {
	net.Conn
	target Target
}

// kinds holds what a client of each kind sends.
var kinds = map[string]func(c *client) error{
	"endless-header": func(c *client) error { return c.flood(c.begin("GET")+"X-Long: ", "x") },
	"held-header":    func(c *client) error { return c.trickle(c.begin("GET") + "X-Long: " + strings.Repeat("x", headBytes)) },
	"short-lines":    func(c *client) error { return c.trickle(c.begin("GET") + lines(shortLines)) },
	"slow-lines":     func(c *client) error { return c.trickle(c.begin("GET") + lines(smallHeadBytes/7)) },
	"no-colon":       func(c *client) error { return c.trickle(c.begin("GET") + strings.Repeat("x", headBytes)) },
	"folded": func(c *client) error {
		return c.trickle(c.begin("GET") + "X-A: 1\r\n" + strings.Repeat(" x\r\n", headBytes/4))
	},
	"empty-lines":     func(c *client) error { return c.flood("", "\r\n") },
	"request-line":    func(c *client) error { return c.trickle("GET /" + strings.Repeat("x", headBytes)) },
	"chunk-extension": func(c *client) error { return c.flood(c.begin("POST")+"Transfer-Encoding: chunked\r\n\r\n1;a=", "x") },
	"trailers": func(c *client) error {
		return c.flood(c.begin("POST")+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: x\r\n")
	},
	"missing-body": func(c *client) error {
		return c.hold("POST /nowhere HTTP/1.1\r\nHost: none\r\nContent-Length: 1000\r\n\r\n")
	},
	"unfinished-body": func(c *client) error {
		return c.hold(c.begin("POST") + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("x", 30<<10))
	},
	"pipelined-unread": func(c *client) error { return c.flood("", "GET /nowhere HTTP/1.1\r\nHost: none\r\n\r\n") },
	"abandoned":        func(c *client) error { return c.hold("") },
	"handshake":        func(c *client) error { return c.hold("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03") },
	"http2-idle":       (*client).idleHTTP2,
	"http2-headers":    (*client).endlessHTTP2Headers,
	"http2-streams":    (*client).openHTTP2Streams,
	"http2-message":    (*client).unfinishedMessages,
}

// Kinds returns the names of all kinds of clients.
func Kinds() []string { return slices.Sorted(maps.Keys(kinds)) }

// Start starts clients of the given kinds in turn, which call the target until the returned
// function is called. It waits until they have ended.
func Start(t Target, clients int, kind ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	for i := range clients {
		g.Go(func() {
			for ctx.Err() == nil {
				call(ctx, t, kinds[kind[i%len(kind)]])
				time.Sleep(redialInterval)
			}
		})
	}
	return func() {
		cancel()
		g.Wait()
	}
}

// call makes one connection, which ends with ctx.
func call(ctx context.Context, t Target, do func(c *client) error) {
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = n.Close() })()
	defer func() { _ = n.Close() }()
	_ = do(&client{n, t}) // the target may close the connection at any time
}

// begin returns the first lines of a request that the target serves.
func (c *client) begin(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", method, c.target.Path, c.target.Host, c.target.Key)
}

// lines returns header lines with names that differ.
func lines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// flood sends begin and then part without end. Nothing is read.
func (c *client) flood(begin, part string) error {
	_, err := io.WriteString(c, begin)
	parts := strings.Repeat(part, 1+(16<<10)/len(part))
	for err == nil {
		_, err = io.WriteString(c, parts)
	}
	return err
}

// trickle sends begin quickly and then a byte now and then.
func (c *client) trickle(begin string) error {
	_, err := io.WriteString(c, begin)
	for err == nil {
		time.Sleep(trickleInterval)
		_, err = io.WriteString(c, "x")
	}
	return err
}

// hold sends begin and nothing more, and waits for the end of the connection.
func (c *client) hold(begin string) error {
	_, err := io.WriteString(c, begin)
	if err == nil {
		_, err = io.Copy(io.Discard, c)
	}
	return err
}
