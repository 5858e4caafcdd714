package distributor

// reason is a constant error that tells why a source was given up.
type reason string

func (r reason) Error() string { return string(r) }

const (
	errMiss        reason = "the source has not the chunk and is not fetching it"
	errStall       reason = "no byte arrived in time"
	errSlowSource  reason = "the source has been fetching the chunk for too long"
	errCycle       reason = "the source is waiting for this instance"
	errPlanChanged reason = "another source is ranked first by now"
	errCorrupt     reason = "the chunk is corrupted"
	errOrigin      reason = "the origin failed"
	errRejected    reason = "the store does not take the chunk"
)
