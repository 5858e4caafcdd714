package resolver

import "slices"

// rankSpan is the number of priorities of routes that are told apart among requests of equal
// first priority.
const rankSpan = 1000

// combinedRank returns the rank of a request from its first priority, which is that of its
// account or else of its route, and from the priority of its route. Requests of accounts with
// equal priorities would otherwise be alike, whatever their routes say.
func combinedRank(first, route int) int {
	return first*rankSpan + min(max(route, 0), rankSpan-1)
}

// Ranks returns the ranks that requests to the service may have, the most urgent first. It
// is empty if no route has the service as a target. The result must not be modified.
func (t *Table) Ranks(service string) []int { return t.ranks[service] }

// serviceRanks returns the ranks that requests to each service may have. Targets without weight and
// accounts without keys have no requests, and must not make a service count as one with several
// ranks.
func serviceRanks(c *Configuration) map[string][]int {
	accounts, inherit := accountRanks(c)
	ranks := make(map[string][]int)
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, g := range r.Targets {
			if g.Weight == 0 {
				continue
			}
			l := ranks[g.Service]
			if !r.Public {
				for _, a := range accounts {
					l = append(l, combinedRank(a, r.Rank))
				}
			}
			if r.Public || inherit {
				l = append(l, combinedRank(r.Rank, r.Rank))
			}
			slices.Sort(l)
			ranks[g.Service] = slices.Compact(l)
		}
	}
	return ranks
}

// accountRanks returns the priorities of accounts, and whether requests may have the priority
// of a route that needs a key.
func accountRanks(c *Configuration) (ranks []int, inherit bool) {
	inherit = len(c.Accounts) == 0
	for i := range c.Accounts {
		switch r := c.Accounts[i].Rank; {
		case len(c.Accounts[i].Keys) == 0:
		case r != nil:
			ranks = append(ranks, *r)
		default:
			inherit = true
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks), inherit
}
