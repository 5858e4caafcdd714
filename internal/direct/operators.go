package direct

import (
	"context"
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// ReadOperators returns the operator records that a gateway has, given its address for peers.
func ReadOperators(ctx context.Context, gateway netip.AddrPort) ([]connector.Item, error) {
	c := newClient()
	defer c.CloseIdleConnections()
	r := &observer.PeerReader{
		Table: operatorTable, Client: c, Peers: func() []netip.AddrPort { return []netip.AddrPort{gateway} }, Now: time.Now,
	}
	o, err := r.Read(ctx, 0, 0)
	return o.Items, err
}
