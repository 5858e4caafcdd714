package forwarder_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// An engine must learn the urgency of each attempt where the requests to its service differ in
// rank, also from a caller that sends an urgency of its own, and get none where they don't.
func TestUrgency(t *testing.T) {
	one, four, eight := 1, 4, 8
	for _, c := range []struct {
		name, route string
		ranks       [3]int // of the routes any, once and resume
		account     *int
		others      int // accounts with the ranks 0 and up
		steps       []string
		want        []string
	}{
		{name: "one rank", route: "any", ranks: [3]int{2, 2, 2}, steps: []string{"ok"}, want: []string{""}},
		{name: "most urgent", route: "once", ranks: [3]int{2, 0, 7}, steps: []string{"ok"}, want: []string{"1"}},
		{name: "least urgent", route: "resume", ranks: [3]int{2, 0, 7}, steps: []string{"ok"}, want: []string{"5"}},
		{name: "second attempt", route: "any", ranks: [3]int{2, 0, 7}, steps: []string{"refuse", "ok"}, want: []string{"3", "3"}},
		{name: "resumed", route: "resume", ranks: [3]int{2, 0, 7}, steps: []string{"cut 2", "stream 2"}, want: []string{"5", "4"}},
		{name: "account's rank", route: "any", ranks: [3]int{2, 0, 7}, account: new(int), steps: []string{"ok"}, want: []string{"3"}},
		{name: "fifth of nine ranks", route: "any", ranks: [3]int{2, 2, 2}, account: &four, others: 9, steps: []string{"ok"}, want: []string{"5"}},
		{name: "second of nine ranks", route: "any", ranks: [3]int{2, 2, 2}, account: &one, others: 9, steps: []string{"ok"}, want: []string{"1"}},
		{name: "last of nine ranks", route: "any", ranks: [3]int{2, 2, 2}, account: &eight, others: 9, steps: []string{"ok"}, want: []string{"9"}},
		{name: "account's rank, routes of one", route: "any", ranks: [3]int{2, 2, 2}, account: new(int), steps: []string{"ok"}, want: []string{""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, all := newHandler(t, 2)
			table := configuration()
			for i, r := range c.ranks {
				table.Routes[i].Rank = r
			}
			table.Accounts[0].Rank = c.account
			for i := range c.others {
				rank := i
				table.Accounts = append(table.Accounts, resolver.Account{Name: strconv.Itoa(rank), Keys: []string{strconv.Itoa(rank)}, Rank: &rank})
			}
			ranked := resolver.New(table)
			f.Table = func() *resolver.Table { return ranked }
			s := &script{steps: c.steps}
			for _, b := range all {
				b.script = s
			}
			q := newRequest(t.Context(), serve(t, f), c.route, "id-1")
			q.Header.Set(headers.Urgency, "0")
			if a := receive(q); !strings.HasPrefix(a, "200 ") {
				t.Fatalf("answer %q", a)
			}
			var got []string
			for _, b := range all {
				for _, seen := range b.seen {
					_, u, _ := strings.Cut(seen, " urgency=")
					got = append(got, u)
				}
			}
			// The endpoints' requests aren't in the order of arrival; a resumed one has the smaller
			// value.
			slices.Sort(got)
			slices.Reverse(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("urgency %q, want %q", got, c.want)
			}
		})
	}
}
