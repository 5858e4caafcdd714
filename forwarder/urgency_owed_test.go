package forwarder

import "testing"

// An engine must read an attempt that is owed its slot among the most urgent ones: otherwise it
// waits there behind all others instead of in the queue. Where ranks don't differ there is no
// urgency.
func TestUrgencyOfOwed(t *testing.T) {
	ranks := []int{0, 1001, 2002}
	if got := urgency(ranks, 2002, true, false); got != "1" {
		t.Errorf("urgency %q of an attempt that is owed its slot, want 1", got)
	}
	if got := urgency(ranks, 2002, false, false); got != "5" {
		t.Errorf("urgency %q of another attempt, want 5", got)
	}
	if got := urgency(ranks[:1], 0, true, false); got != "" {
		t.Errorf("urgency %q with one rank, want none", got)
	}
}
