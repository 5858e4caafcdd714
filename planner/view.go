package planner

import (
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Endpoint is the status of a live endpoint of a model, in any failure domain. An
// instance whose status the gateway doesn't know is passed as not ready; otherwise a
// gateway that knows only half of the endpoints would consider a step done. An
// endpoint that is leaving is not passed.
type Endpoint struct {
	Instance      recorder.Name
	FailureDomain recorder.Name
	Model         recorder.Name
	// Version is the version that the endpoint serves; empty for none.
	Version recorder.Name
	// Ready reports whether the endpoint accepts new requests.
	Ready bool
	// Applied is the offset of the configuration that the endpoint has applied; 0
	// if it is not known.
	Applied uint64
}
