package resolver_test

import (
	"slices"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Guards against a fault that is not reported, or reported at another place, because another one of
// the same entry comes before it, and against a Check that returns a later one.
func TestFaults(t *testing.T) {
	c := &resolver.Configuration{
		Routes: []resolver.Route{
			{Name: "ok", Host: "h", Prefix: "/", Timeout: 1, Attempts: 1, Targets: []resolver.Target{{Service: "s", Weight: 1}}},
			{Name: "empty"},
			{Name: "targets", Host: "h", Prefix: "/", Timeout: 1, Attempts: 1, Targets: []resolver.Target{{Service: "s", Weight: 1}, {Weight: 1}, {Service: "s", Weight: -1}}},
		},
		Services: []resolver.Service{{Name: "s"}, {}},
		Accounts: []resolver.Account{{}},
	}
	place := func(k resolver.EntryKind, index int, field string, element int) resolver.Place {
		return resolver.Place{Kind: k, Index: index, Field: field, Element: element}
	}
	want := []resolver.Place{
		place(resolver.RouteEntry, 1, "host", 0), place(resolver.RouteEntry, 1, "prefix", 0), place(resolver.RouteEntry, 1, "targets", 0),
		place(resolver.RouteEntry, 1, "timeout", 0), place(resolver.RouteEntry, 1, "attempts", 0),
		place(resolver.RouteEntry, 2, "targets", 2), place(resolver.RouteEntry, 2, "targets", 3),
		place(resolver.ServiceEntry, 1, "name", 0), place(resolver.AccountEntry, 0, "name", 0),
	}
	var got []resolver.Place
	for e := range c.Faults() {
		got = append(got, e.Place)
	}
	if !slices.Equal(got, want) {
		t.Errorf("faults at %+v, want %+v", got, want)
	}
	if err := c.Check(); err == nil || err.Error() != "check route empty: field host: empty" {
		t.Errorf("Check returned %v", err)
	}
	// The callers of Faults may stop at any fault.
	for _, p := range want {
		for e := range c.Faults() {
			if e.Place == p {
				break
			}
		}
	}
}
