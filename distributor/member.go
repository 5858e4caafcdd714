package distributor

import (
	"net/netip"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Member is an instance that fetches the same versions and serves its chunks.
type Member struct {
	Instance, FailureDomain, Region recorder.Name
	// Address is where the instance's Handler listens.
	Address netip.AddrPort
	// Leaving instances are not ranked, so nobody waits for them.
	Leaving bool
	// Empty instances lack a version that enough others have. They are not ranked
	// either, or chunks of which they are first would be fetched from afar again.
	Empty bool
}
