package forwarder

import (
	"testing"
	"time"
)

// A gateway that was paused must read what has arrived meanwhile before it takes its endpoints
// for silent: it would ask others for all its requests at once.
func TestPausedGatewayReadsFirst(t *testing.T) {
	c := &call{attempts: attempts{changed: make(chan struct{}, 1)}}
	a := &attempt{call: c}
	a.silence = time.AfterFunc(time.Hour, a.onSilence)
	defer a.silence.Stop()
	c.attempts.running = []*attempt{a}
	a.expect(time.Now().Add(-2 * time.Second))
	time.Sleep(maxTimerDelay / 2)
	if got, _ := c.attempts.take(); got != nil {
		t.Error("the endpoint counts as silent as soon as the process goes on")
	}
	a.expect(time.Now().Add(-2 * time.Second))
	got, ended := c.attempts.take()
	for until := time.Now().Add(10 * maxTimerDelay); got == nil && time.Now().Before(until); got, ended = c.attempts.take() {
		time.Sleep(time.Millisecond)
	}
	if got != a || ended {
		t.Error("the endpoint doesn't count as silent later either")
	}
}
