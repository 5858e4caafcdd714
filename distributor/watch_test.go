package distributor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a source that is never left: while the budget is used up no other source is
// asked at its first stall, and it then sends too little without being silent for long.
func TestWatchdogAsksAgainAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall = time.Second
		_, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		asked := 0
		w := newWatchdog(stall, stall, cancel, func(bool) bool {
			asked++
			return false
		})
		defer w.stop()
		for range 3 {
			time.Sleep(2 * stall)
			w.progress(minProgressBytes)
		}
		if asked != 3 {
			t.Errorf("the next source was asked %d times in 3 stalls, want 3", asked)
		}
	})
}
