package router

import (
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Endpoint is the status of one endpoint as its agent reported it.
type Endpoint struct {
	Instance      recorder.Name
	FailureDomain recorder.Name
	Region        recorder.Name
	// Serves is "model/NAME" or "service/NAME".
	Serves string
	// Address is where the agent takes requests.
	Address netip.AddrPort
	// BootID identifies the agent's process.
	BootID string
	// Sequence increases with every status of the same boot id.
	Sequence uint64
	State    State
	// Version is the version of the model that the endpoint serves.
	Version recorder.Name
	// Limit is the number of requests that the agent takes at once.
	Limit int
	// InFlight is the number of requests of all gateways at the agent.
	InFlight int
	// Applied is the offset of the last configuration record that the agent applied.
	Applied uint64
	// ChunksVerified and ChunksTotal count the chunks of the version being fetched.
	ChunksVerified, ChunksTotal int
	// Message is the text of the last refusal or failure as its source gave it.
	Message string
	// Seen is when this gateway received the status.
	Seen time.Time
}

// Summary describes the endpoints that serve the same version.
type Summary struct {
	Serves  string
	Version recorder.Name
	// Ready is the number of ready endpoints.
	Ready int
	// Limit and InFlight are the sums over the ready endpoints.
	Limit, InFlight int
}
