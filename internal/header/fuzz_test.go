package header

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Guards against a deadline of a caller that is beyond the limit, and against numbers that
// are read as other ones.
func FuzzNumbers(f *testing.F) {
	f.Add("1500", int64(4000))
	f.Add("9223372036854775807", int64(1))
	f.Add("-9223372036854775808", int64(3600000))
	f.Fuzz(func(t *testing.T, v string, limitMS int64) {
		limit := time.Duration(limitMS%(24*3600*1000)) * time.Millisecond
		if limit < 0 {
			limit = -limit
		}
		h := http.Header{DeadlineMS: {v}}
		if d := Remaining(h, limit); d > limit || d < -limit {
			t.Fatalf("%q: %s, limit %s", v, d, limit)
		}
		n := Int(h, DeadlineMS, -7)
		if m, err := strconv.Atoi(v); n != -7 && (err != nil || m != n) {
			t.Fatalf("%q is read as %d", v, n)
		}
		SetRetryAfter(h, time.Duration(n))
		if s := Int(h, RetryAfter, 0); s < 1 {
			t.Fatalf("Retry-After %d of %d ns", s, n)
		}
	})
}
