package relayer

import (
	"net/netip"
	"testing"
)

// An agent that asks the gateway that it has just lost again, because its list of
// gateways changed in the meantime, is out of service for another time-out.
func TestLostGatewayIsNotTheNext(t *testing.T) {
	a, b, c := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")
	var r rotation
	if _, ok := r.next(nil); ok {
		t.Error("an address of an empty list")
	}
	for i, s := range []struct {
		list []netip.AddrPort
		want netip.AddrPort
	}{
		{[]netip.AddrPort{a}, a},
		{[]netip.AddrPort{b, a}, b},
		{[]netip.AddrPort{c, b, a}, c},
		{[]netip.AddrPort{c, b}, b},
		{[]netip.AddrPort{c, b, a}, a},
		{[]netip.AddrPort{c, b, a}, c},
	} {
		if got, _ := r.next(s.list); got != s.want {
			t.Errorf("try %d: %s in place of %s", i, got, s.want)
		}
	}
}
