package relayer

import (
	"net/netip"
	"testing"
)

// Guards against an agent that tries the gateway that it has just lost again, because its
// list of gateways changed in the meantime. It would be out of service for another timeout.
func TestLostGatewayIsNotTheNext(t *testing.T) {
	a, b, c := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")
	var r rotation
	if _, ok := r.next(nil); ok {
		t.Error("got an address from an empty list")
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
			t.Errorf("attempt %d: got %s, want %s", i, got, s.want)
		}
	}
}
