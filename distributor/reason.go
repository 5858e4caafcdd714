package distributor

// reason is a constant error that says why a request to a source ended without
// the chunk.
type reason string

func (r reason) Error() string { return string(r) }

const (
	errMiss        reason = "the source neither has the chunk nor is fetching it"
	errStall       reason = "no byte arrived in time"
	errSlowSource  reason = "the source has been fetching the chunk for too long"
	errCycle       reason = "the source is waiting for this instance to fetch the chunk"
	errPlanChanged reason = "the member list changed and with it the ranking of the source"
	errCorrupt     reason = "the digest or length of the chunk is wrong"
	errOrigin      reason = "reading the chunk from the origin failed"
	errRejected    reason = "the store rejected the chunk"
)
