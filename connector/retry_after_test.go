package connector_test

import (
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// A conversion of a number beyond the range of a duration gives different results on
// different processors, and a negative or endless pause would end or last for ever.
func TestParseRetryAfter(t *testing.T) {
	for _, c := range []struct {
		v    string
		want time.Duration
		ok   bool
	}{
		{"0", 0, true},
		{"0.25", 250 * time.Millisecond, true},
		{"3", 3 * time.Second, true},
		{"1e300", time.Minute, true},
		{"1e999", time.Minute, true},
		{"+Inf", time.Minute, true},
		{"86400", time.Minute, true},
		{"-1", 0, false},
		{"-Inf", 0, false},
		{"-1e999", 0, false},
		{"NaN", 0, false},
		{"", 0, false},
		{"soon", 0, false},
		{"1 2", 0, false},
		{"Fri, 05 Dec 2026 03:00:00 GMT", 0, false},
	} {
		got, err := connector.ParseRetryAfter(c.v)
		if got != c.want || (err == nil) != c.ok {
			t.Errorf("%q: got %s, %v, want %s", c.v, got, err, c.want)
		}
	}
}
