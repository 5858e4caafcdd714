package direct

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// If each gateway of a failure domain reads the endpoint list from the platform at the start, 31
// lists of 0.75 MB need 7.5 s on a link of 25 Mbit/s, more than the timeout of a read, so that none
// is complete. Only the readers may do so at once, and the others in turns.
func TestFirstReadersOfLargeFleet(t *testing.T) {
	const perDomain = 47
	turns := make(map[time.Duration]int)
	for self := range perDomain {
		f := newTestFollower(self, perDomain)
		delay, isLarge := f.startDelay()
		if !isLarge {
			t.Fatalf("gateway %d doesn't take the fleet for large", self)
		}
		turns[delay]++
		readers := f.readers()
		if isReader := slices.Contains(readers, f.self); isReader != (delay == 0) {
			t.Errorf("gateway %d: reader %t, delay %s", self, isReader, delay)
		}
		peers := f.startPeers()
		if len(peers) != perDomain-1 || slices.Contains(peers, f.self) {
			t.Errorf("gateway %d asks %d peers: %v", self, len(peers), peers)
		}
		if delay > 0 && !slices.Equal(peers[:len(readers)], readers) {
			t.Errorf("gateway %d asks %v first, want the readers %v", self, peers[:len(readers)], readers)
		}
	}
	for delay, n := range turns {
		if n > minReaders {
			t.Errorf("%d gateways read the platform after %s, want at most %d", n, delay, minReaders)
		}
	}
}

// Fleets of up to 65 gateways must start as before.
func TestStartOfSmallFleet(t *testing.T) {
	f := newTestFollower(0, 32)
	if _, isLarge := f.startDelay(); isLarge || f.largeStartDelay() != 0 || f.firstTimeout() != 0 {
		t.Errorf("64 gateways: large %t, delay of agents %s, timeout %s", isLarge, f.largeStartDelay(), f.firstTimeout())
	}
}

// The endpoint list must not wait for the gateway table for long: the store may be frozen.
func TestWaitForGateways(t *testing.T) {
	for _, signal := range []time.Duration{-time.Second, 300 * time.Millisecond, time.Hour} {
		t.Run(fmt.Sprint(signal), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var e event
				timer := time.AfterFunc(max(signal, 0), func() { e.signal(); e.signal() })
				defer timer.Stop()
				if signal < 0 {
					synctest.Wait()
				}
				began := time.Now()
				e.wait(t.Context(), maxGatewaysWait)
				if got, want := time.Since(began), min(max(signal, 0), maxGatewaysWait); got != want {
					t.Errorf("waited %s, want %s", got, want)
				}
			})
		})
	}
}
