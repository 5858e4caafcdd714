package forwarder

import "testing"

// Callers vary the deadline of their first requests by some 15 in 100. Half of these were
// taken for repeated requests, which get a slot after all others under overload.
func TestCallerRetry(t *testing.T) {
	f := &Handler{}
	for _, ms := range []int64{5999, 5100, 5400, 5800, 5110, 5999} {
		if f.isCallerRetry("r", ms) {
			t.Errorf("a first request with a deadline of %d ms is taken for a repeated one", ms)
		}
	}
	for _, ms := range []int64{5000, 4200, 3000} {
		if !f.isCallerRetry("r", ms) {
			t.Errorf("a request with a deadline of %d ms is taken for a first one", ms)
		}
	}
	if f.isCallerRetry("other", 1500) {
		t.Error("the deadlines of two routes are compared")
	}
}
