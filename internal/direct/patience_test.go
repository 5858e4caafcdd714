package direct

import (
	"testing"
	"time"
)

// An instance must not ask elsewhere for chunks that come in time in a sound spread: the
// links fill with copies, and the spread never ends. The last chunk of a spread takes
// the time of two copies over the link.
func TestImpatienceEndsNoSpread(t *testing.T) {
	const mega = 1e6
	for _, c := range []struct {
		size int64
		mbps float64
	}{{96 * 24576, 7.3}, {96 * 24576, 100}, {64 << 20, 100}, {16 << 30, 10_000}} {
		a := &Agent{Link: c.mbps * mega}
		copies := time.Duration(2 * float64(c.size) * bitsPerByte / a.Link * float64(time.Second))
		if d := a.patience(c.size); d < copies || d < minPatience {
			t.Errorf("%d bytes over %g Mbit/s: patience %s; two copies take %s", c.size, c.mbps, d, copies)
		}
	}
}
