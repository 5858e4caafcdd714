package resolver_test

import (
	"slices"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// A service whose requests all have one priority must not be taken for one with several: the
// urgency of its attempts and the reserve for urgent ones would change deployments that use
// neither.
func TestRanks(t *testing.T) {
	zero, three := 0, 3
	route := func(rank int, public bool, services ...string) resolver.Route {
		r := resolver.Route{Rank: rank, Public: public}
		for _, s := range services {
			r.Targets = append(r.Targets, resolver.Target{Service: s, Weight: 1})
		}
		return r
	}
	keys := []string{"key"}
	idle := route(0, false, "s")
	idle.Targets[0].Weight = 0
	for _, c := range []struct {
		name     string
		routes   []resolver.Route
		accounts []resolver.Account
		want     []int
	}{
		{name: "no route", routes: []resolver.Route{route(0, false, "other")}},
		{name: "one rank", routes: []resolver.Route{route(2, false, "s"), route(2, true, "s"), route(0, false, "other")}, want: []int{2002}},
		{name: "ranks of routes", routes: []resolver.Route{route(2, false, "s"), route(0, false, "s", "other"), route(1, false, "s")}, want: []int{0, 1001, 2002}},
		{
			name: "accounts of one rank", routes: []resolver.Route{route(2, false, "s"), route(1, false, "s")},
			accounts: []resolver.Account{{Keys: keys, Rank: &three}}, want: []int{3001, 3002},
		},
		{
			name: "accounts precede routes", routes: []resolver.Route{route(2, false, "s"), route(1, false, "s")},
			accounts: []resolver.Account{{Keys: keys, Rank: &zero}, {Keys: keys, Rank: &three}}, want: []int{1, 2, 3001, 3002},
		},
		{
			name: "accounts and routes of one rank", routes: []resolver.Route{route(2, false, "s"), route(2, false, "s")},
			accounts: []resolver.Account{{Keys: keys, Rank: &three}, {Keys: keys, Rank: &three}}, want: []int{3002},
		},
		{
			name: "account without a rank", routes: []resolver.Route{route(2, false, "s")},
			accounts: []resolver.Account{{Keys: keys, Rank: &zero}, {Keys: keys}}, want: []int{2, 2002},
		},
		{
			name: "public route", routes: []resolver.Route{route(2, true, "s")},
			accounts: []resolver.Account{{Keys: keys, Rank: &zero}}, want: []int{2002},
		},
		{name: "target without weight", routes: []resolver.Route{route(2, false, "s"), idle}, want: []int{2002}},
		{
			name: "accounts without keys", routes: []resolver.Route{route(2, false, "s")},
			accounts: []resolver.Account{{Keys: keys, Rank: &three}, {Rank: &zero}, {}}, want: []int{3002},
		},
	} {
		if got := resolver.New(&resolver.Configuration{Routes: c.routes, Accounts: c.accounts}).Ranks("s"); !slices.Equal(got, c.want) {
			t.Errorf("%s: ranks %v, want %v", c.name, got, c.want)
		}
	}
}
