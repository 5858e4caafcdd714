package dispatcher_test

import (
	"testing"
	"time"
)

// A lease must not outlive the time of an older version: a slow dial or a short pause sends on it.
func TestLeaseEndsWithVersion(t *testing.T) {
	w := newHarness()
	w.d.Grace = 7200 * time.Millisecond
	w.run("endpoint e1 a 1")
	w.run("operator v version 2")
	w.run("sleep 6.8s")
	w.run("send 1")
	w.run("sleep 50ms")
	w.run("begun e1")
	w.run("done e1 served")
	w.run("sleep 300ms")
	if s := w.run("send 1"); s != "e1:1" {
		t.Fatalf("7.15 s after version 2 was named: %s, want e1:1", s)
	}
	l := w.leases["e1"][0]
	w.run("sleep 900ms")
	if s := w.run("send 1"); s != "refused-no-endpoint:1" {
		t.Fatalf("8.05 s after version 2 was named: %s, want it refused", s)
	}
	if !l.IsExpired() && !l.IsRevoked() {
		t.Error("8.05 s after version 2 was named, where 8 s are allowed, a request may still be sent on a lease for version 1")
	}
}

// A lease must not be used while the endpoint list is outdated after a short pause: the endpoint
// may have begun to drain long before.
func TestLeaseWaitsForList(t *testing.T) {
	w := newHarness()
	current := true
	w.d.IsCurrent = func() bool { return current }
	w.run("endpoint e1 a 1")
	w.run("send 1")
	l := w.leases["e1"][0]
	if l.IsRevoked() {
		t.Fatal("the lease is revoked without a pause")
	}
	current = false
	w.run("sleep 900ms")
	if !l.IsExpired() && !l.IsRevoked() {
		t.Error("after a pause of 0.9 s a request may be sent on the lease before the list is read")
	}
	current = true
	if l.IsRevoked() {
		t.Error("the lease is revoked though the list is current")
	}
}

// The silence of an endpoint that has served since must not count as a failure.
func TestSilentAfterServed(t *testing.T) {
	w := newHarness()
	w.run("endpoint e1 a 1")
	w.run("send 1")
	l := w.leases["e1"][0]
	w.run("done e1 served")
	l.Silent()
	if n := w.d.Status()[0].Avoided; n != 0 {
		t.Errorf("%d endpoints are avoided, want none", n)
	}
}
