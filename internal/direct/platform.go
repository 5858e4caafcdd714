package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Platform adapts the gateway and the agent to a platform.
type Platform struct {
	// Tables returns the tables of the store at the address.
	Tables func(store netip.AddrPort, c *http.Client) Tables
	// DecodeOperator decodes operator records.
	DecodeOperator func(key string, value []byte) (*observer.Decision, error)
	// Outline returns an operator record without the parts that only gateways need.
	Outline func(key string, value []byte) []byte
	// EndpointDecoder returns a decoder of entries of the endpoint list, given the region of
	// each failure domain.
	EndpointDecoder func(regions map[string]string) func(key string, value []byte) (*observer.Endpoint, error)
	// DecodeGateway decodes gateway records.
	DecodeGateway func(value []byte) (*observer.Gateway, error)
	Headers       forwarder.Headers
	// DecodeNotice decodes what a response says about the requests that its endpoint wants.
	DecodeNotice func(status int, h http.Header) (dispatcher.Notice, error)
	// AskProcess asks the process at the address for its state.
	AskProcess func(ctx context.Context, a netip.AddrPort, c *http.Client) (connector.ProcessState, error)
	// ReadyPath is the URL path of the load balancer's readiness check.
	ReadyPath string
	// Replica returns a client of the engine at the address.
	Replica func(a netip.AddrPort, c *http.Client) *connector.Replica
	// Pieces returns a client of the origin at the address.
	Pieces func(a netip.AddrPort, c *http.Client) *connector.Pieces
}

// Tables holds the tables that all gateways and agents follow.
type Tables struct {
	// Operators holds the decisions of operators, Endpoints the endpoint list, and
	// Gateways the records that gateways write of themselves.
	Operators, Endpoints, Gateways *connector.Table
}

// Timeouts and TCP keep-alive of connections to peers and to the platform.
const (
	dialTimeout       = 700 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	idleTimeout       = 20 * time.Second
)

const (
	keepAliveCount      = 2
	maxIdleConnsPerHost = 4
)

// originIdleTimeout is how long an idle connection to the origin is kept. The origin
// accepts only a few dozen connections from all agents together, so an agent that has
// its pieces must not keep any open.
const originIdleTimeout = 150 * time.Millisecond

// newOriginClient returns a client that opens few connections and closes idle ones early.
func newOriginClient() *http.Client {
	c := newClient()
	t := c.Transport.(*http.Transport)
	t.IdleConnTimeout, t.MaxIdleConnsPerHost, t.MaxConnsPerHost = originIdleTimeout, maxOriginReads, maxOriginReads
	return c
}

// newClient returns a client with TCP keep-alive, which detects dead connections. It
// has no timeout; callers set a deadline for each request.
func newClient() *http.Client {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: header.MaxResponseBytes,
	}}
}
