package forwarder_test

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// slowLog takes the given time to write each of the first lines that tell of an attempt beside
// which another one is under way. The gateway decides nothing meanwhile.
type slowLog struct {
	delay time.Duration
	lines atomic.Int32
}

func (l *slowLog) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(`"reason":"other-attempt"`)) && l.lines.Add(1) <= 2 {
		time.Sleep(l.delay)
	}
	return len(b), nil
}

// A request must not be sent more often than its route allows, also if an endpoint is silent when
// the gateway learns that another one has broken off.
func TestSilentAttemptsCount(t *testing.T) {
	const attempts, timeout = 5, 1200 * time.Millisecond
	f, all := newHandlerWithTimeout(t, attempts+2, 12*time.Second)
	r := &f.Table().Configuration.Routes[0]
	r.Attempts = attempts
	f.Budget = forwarder.Budget{Share: 10, Burst: func() float64 { return 10 }}
	f.Log = zerolog.New(&slowLog{delay: timeout})
	// The log is written from 3.5 to 4.5 and from 5 to 6 timeouts after the first request. The
	// fourth endpoint falls silent at 4 and the second one breaks off at 4.25, and the fifth and
	// the fourth do so at 5.5 and 5.75.
	ends := []float64{3.5, 4.25, 5, 5.75, 6.25, 6.25, 6.25}
	start, n := time.Now(), atomic.Int32{}
	s := &script{}
	for range ends {
		s.steps = append(s.steps, "hold")
	}
	for _, b := range all {
		b.script = s
		b.onHold = func(net.Conn) {
			time.Sleep(time.Until(start.Add(time.Duration(ends[n.Add(1)-1] * float64(timeout)))))
		}
	}
	if got := sendRequest(serve(t, f), r.Name); got != "502 own" {
		t.Errorf("the caller got %q", got)
	}
	if got := n.Load(); got != attempts {
		t.Errorf("%d attempts, where the route allows %d", got, attempts)
	}
}
