package distributor

import (
	"net/netip"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Member is an instance that fetches the same versions and serves their chunks to
// its peers.
type Member struct {
	Instance, FailureDomain, Region recorder.Name
	// Address is the address on which the instance's Handler listens.
	Address netip.AddrPort
	// Leaving marks an instance that is shutting down. It is not ranked, so no
	// other instance waits for it.
	Leaving bool
	// Empty marks an instance that lacks a version that enough others have. It is
	// not ranked either; otherwise the chunks for which it ranks first would be
	// fetched again from another group or the origin.
	Empty bool
}
