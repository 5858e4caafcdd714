package forwarder

import (
	"testing"
	"time"
)

// A request that waits for a slot must leave the engine the time that it usually takes.
// Under lasting overload half of the requests were late by the time of their wait.
func TestQueueTime(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct{ aim, firstToken, want time.Duration }{
		{500 * ms, 0, 250 * ms},
		{500 * ms, 150 * ms, 250 * ms},
		{500 * ms, 350 * ms, 150 * ms},
		{500 * ms, 800 * ms, 100 * ms},
		{150 * ms, 30 * ms, 100 * ms},
	} {
		if got := queueTime(c.aim, c.firstToken); got != c.want {
			t.Errorf("aim %s, first token after %s: %s, want %s", c.aim, c.firstToken, got, c.want)
		}
	}
}
