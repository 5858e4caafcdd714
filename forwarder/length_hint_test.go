package forwarder

import (
	"net/http"
	"strconv"
	"testing"
)

// A malformed hint must not be taken for a length, nor be changed on its way to the endpoint.
func TestLengthHint(t *testing.T) {
	n := Headers{LengthHint: "X-Hint"}
	for _, c := range []struct {
		values []string
		want   int
	}{
		{nil, 0},
		{[]string{""}, 0},
		{[]string{"0"}, 0},
		{[]string{"1"}, 1},
		{[]string{"147"}, 147},
		{[]string{"0147"}, 147},
		{[]string{"-1"}, 0},
		{[]string{"+147"}, 0},
		{[]string{"147.5"}, 0},
		{[]string{"147 tokens"}, 0},
		{[]string{"0x20"}, 0},
		{[]string{"1_000"}, 0},
		{[]string{"147,200"}, 0},
		{[]string{"NaN"}, 0},
		{[]string{"147", "200"}, 0},
		{[]string{"4294967296"}, maxTokens},
		{[]string{"99999999999999999999999"}, 0},
	} {
		h := http.Header{}
		if c.values != nil {
			h["X-Hint"] = c.values
		}
		if got := n.lengthHint(h); got != c.want {
			t.Errorf("%q: %d, want %d", c.values, got, c.want)
		}
		out := n.outgoing(h, "account")["X-Hint"]
		if len(out) != len(c.values) || len(out) > 0 && out[0] != c.values[0] {
			t.Errorf("%q was forwarded as %q", c.values, out)
		}
	}
	if got := (&Headers{}).lengthHint(http.Header{"": {strconv.Itoa(5)}}); got != 0 {
		t.Errorf("a platform without hints: %d, want 0", got)
	}
}
