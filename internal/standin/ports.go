package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// The range of ports lies below the one from which the system takes ports of
// outgoing connections, so that no such connection takes a port found here.
const (
	lowPort  = 12_000
	highPort = 32_000
)

// Ports finds free loopback ports and gives out none twice, so that ports of
// processes that do not listen yet are not found again. The zero value is ready;
// it begins at a random port. All methods may be called concurrently.
type Ports struct {
	mu sync.Mutex
	// begun tells that start is set.
	begun bool
	// start is the place in the range at which the search begins, and looked the
	// number of ports looked at since.
	start, looked int
}

// FreePorts returns n different loopback ports on which nothing listens. Another
// process may take a port before the caller listens on it.
func FreePorts(ctx context.Context, n int) ([]uint16, error) { return new(Ports).Free(ctx, n) }

// Free returns n further ports on which nothing listens. Another process may
// take a port before the caller listens on it.
func (s *Ports) Free(ctx context.Context, n int) ([]uint16, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		s.begun, s.start = true, rand.IntN(highPort-lowPort)
	}
	var c net.ListenConfig
	var out []uint16
	for ; s.looked < highPort-lowPort && len(out) < n; s.looked++ {
		p := uint16(lowPort + (s.start+s.looked)%(highPort-lowPort))
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), p)
		l, err := c.Listen(ctx, "tcp", a.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, p)
	}
	if len(out) < n {
		return nil, &Error{Op: "find free ports", Kind: classifier.Unavailable, Err: errors.Newf("%d of %d found", len(out), n)}
	}
	return out, nil
}
