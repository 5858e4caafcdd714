package resolver

import (
	"net"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// The errors of Resolve, allocated once as refusals are on the request path.
var (
	errRoute = &Error{Op: "resolve", Kind: classifier.NotFound, Err: errors.New("no route matches the host and path")}
	errKey   = &Error{Op: "resolve", Kind: classifier.Unauthenticated, Err: errors.New("no client account holds the key")}
)

// Table is a configuration indexed for look-ups. It is immutable.
type Table struct {
	// Configuration is the configuration of the table; it must not be modified.
	Configuration *Configuration

	// hosts holds the routes of each host, the longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Account
	// ranks holds the combined ranks that requests to each service may have: the priority of the
	// account, or else of the route, x 1000 + that of the route.
	ranks map[string][]int
}

// Match is the result of resolving a request.
type Match struct {
	Route *Route
	// Account is nil on a public route and if the configuration has no accounts.
	Account *Account
}

// New compiles a configuration, which must have passed Check.
func New(c *Configuration) *Table {
	t := &Table{
		Configuration: c,
		hosts:         make(map[string][]*Route),
		services:      make(map[string]*Service, len(c.Services)),
		keys:          make(map[string]*Account),
		ranks:         serviceRanks(c),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, l := range t.hosts {
		slices.SortStableFunc(l, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			t.keys[k] = &c.Accounts[i]
		}
	}
	return t
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Resolve returns the route and account of a request. The error is of kind
// NotFound or Unauthenticated. A configuration without accounts needs no keys.
func (t *Table) Resolve(host, path, key string) (Match, error) {
	r := t.Route(host, path)
	if r == nil {
		return Match{}, errRoute
	}
	if r.Public || len(t.Configuration.Accounts) == 0 {
		return Match{Route: r}, nil
	}
	a := t.keys[key]
	if key == "" || a == nil {
		return Match{}, errKey
	}
	return Match{Route: r, Account: a}, nil
}

// Route returns the route of a request, or nil if none matches. The host may have a port.
func (t *Table) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MayCut reports whether all requests to a service may be repeated or resumed, so
// that one that is interrupted at an endpoint can continue at another.
func (t *Table) MayCut(service string) bool {
	for i := range t.Configuration.Routes {
		r := &t.Configuration.Routes[i]
		if r.Repeat == AtMostOnce && slices.ContainsFunc(r.Targets, func(g Target) bool { return g.Service == service }) {
			return false
		}
	}
	return true
}

// Rank returns the rank of the request; the lowest is the most urgent. The priority of the
// account precedes that of the route, which decides among requests of equal priority.
func (m Match) Rank() int {
	if m.Account != nil && m.Account.Rank != nil {
		return combinedRank(*m.Account.Rank, m.Route.Rank)
	}
	return combinedRank(m.Route.Rank, m.Route.Rank)
}

// Allows reports whether an endpoint in the region may receive the request. Both the
// route and the account must allow the region.
func (m Match) Allows(region string) bool {
	if len(m.Route.Regions) > 0 && !slices.Contains(m.Route.Regions, region) {
		return false
	}
	return m.Account == nil || len(m.Account.Regions) == 0 || slices.Contains(m.Account.Regions, region)
}

// Pick returns the service of a target chosen by weight; n is a random number in
// [0, r.Weight()).
func (r *Route) Pick(n int) string {
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Weight returns the sum of the weights.
func (r *Route) Weight() int {
	n := 0
	for _, t := range r.Targets {
		n += t.Weight
	}
	return n
}
