package direct

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// Platform is what the programs need of the platform.
type Platform struct {
	// Tables returns the tables of the store at an address.
	Tables func(store netip.AddrPort, c *http.Client) Tables
	// Operator decodes operator records.
	Operator func(key string, value []byte) (*observer.Decision, error)
	// Outline returns an operator record without what only gateways need of it.
	Outline func(key string, value []byte) []byte
	// Endpoint returns a decoder of entries, given the region of each failure
	// domain.
	Endpoint func(regions map[string]string) func(key string, value []byte) (*observer.Endpoint, error)
	// Gateway decodes the records that gateways write of themselves.
	Gateway func(value []byte) (*observer.Gateway, error)
	Headers forwarder.Headers
	// ReadyPath is where the balancer asks for readiness.
	ReadyPath string
	Replica   func(a netip.AddrPort, c *http.Client) *connector.Replica
	Pieces    func(a netip.AddrPort, c *http.Client) *connector.Pieces
}

// Tables are the tables that all programs follow.
type Tables struct {
	// Operators holds the decisions of operators, Endpoints the list, and
	// Gateways what gateways write of themselves.
	Operators, Endpoints, Gateways *connector.Table
}

// Times of connections between the programs and to the platform.
const (
	dialTimeout   = 700 * time.Millisecond
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	idleTimeout   = 20 * time.Second
)

const (
	probeCount = 2
	idlePeers  = 4
)

// originIdle is how long a connection to the origin is kept without a read. The
// origin takes a few dozen connections for all agents, so one that has what it
// needs must not hold any.
const originIdle = 150 * time.Millisecond

// newOriginClient returns a client that gives its connections back soon.
func newOriginClient() *http.Client {
	c := newClient()
	t := c.Transport.(*http.Transport)
	t.IdleConnTimeout, t.MaxIdleConnsPerHost, t.MaxConnsPerHost = originIdle, originReads, originReads
	return c
}

// newClient returns a client whose connections are probed, so that one that went
// silent is found. Each call has a deadline of its own.
func newClient() *http.Client {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: idlePeers, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}}
}
