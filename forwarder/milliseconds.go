package forwarder

import "time"

// maxColdTime bounds the time for which an endpoint may announce to be cold.
const maxColdTime = time.Hour

// milliseconds returns a time that a header gives in milliseconds, but at most the given one.
func milliseconds(ms int64, most time.Duration) time.Duration {
	if ms > most.Milliseconds() {
		return most
	}
	return time.Duration(ms) * time.Millisecond
}
