package direct

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/isolator"
)

// Guards against a gateway that has no place yet and writes a hold before the first one, and
// against all gateways from the eighth place on that write it at the same moment.
func TestHoldsAreWrittenOneAfterTheOther(t *testing.T) {
	written := func(rank int) (at time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			i := &isolator.Isolator{Now: time.Now}
			for n := range isolator.DefaultMaxEndings {
				i.Add(isolator.Ending{Suspect: badPart, Process: fmt.Sprint("p", n)})
			}
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
			defer cancel()
			k := &holdKeeper{
				Isolator: i, Log: zerolog.Nop(), Rank: func() int { return rank }, Count: func() int { return 640 },
				Put: func(context.Context, string, []byte) error {
					at = time.Since(begun)
					cancel()
					return nil
				},
			}
			_ = k.run(ctx)
			if at == 0 {
				t.Errorf("place %d doesn't write", rank)
			}
		})
		return at
	}
	last := time.Duration(0)
	for _, rank := range []int{0, 1, 7, 8, 20, 64, 639} {
		at := written(rank)
		if at <= last {
			t.Errorf("place %d writes after %v, a place before it after %v", rank, at, last)
		}
		last = at
	}
	if last > 90*time.Second {
		t.Errorf("the last of 640 gateways writes after %v", last)
	}
	if at := written(-1); at <= last {
		t.Errorf("a gateway without a place writes after %v, the last one after %v", at, last)
	}
}
