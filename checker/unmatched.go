package checker

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"unicode/utf8"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// unmatched adds the findings of class Unmatched.
func (c *check) unmatched() {
	if len(c.configuration.Routes) == 0 {
		c.add(Unmatched, NoRoutes, resolver.Place{}, "there are no routes, so every request is answered with 404")
	}
	index := make(map[*resolver.Route]int, len(c.configuration.Routes))
	for i := range c.configuration.Routes {
		index[&c.configuration.Routes[i]] = i
	}
	for i := range c.configuration.Routes {
		c.route(i, index)
		c.targets(i)
	}
	c.services()
	c.accounts()
}

func (c *check) route(i int, index map[*resolver.Route]int) {
	r := &c.configuration.Routes[i]
	p := resolver.Place{Kind: resolver.RouteEntry, Index: i, Field: "host"}
	if s := hostFault(r.Host); s != "" {
		c.add(Unmatched, UnmatchedHost, p, "no request carries the host %q: %s", r.Host, s)
		return
	}
	p.Field = "prefix"
	if s := prefixFault(r.Prefix); s != "" {
		c.add(Unmatched, UnmatchedPrefix, p, "no request carries a path that begins with %q: %s", r.Prefix, s)
		return
	}
	// A longer prefix doesn't match the path that is just the prefix of this route, so the route is
	// unused only if another one matches that path as well.
	switch m := c.table.Route(r.Host, r.Prefix); m {
	case r:
	case nil:
		p.Field = "host"
		c.add(Unmatched, UnmatchedHost, p, "a request with the host %q matches no route", r.Host)
	default:
		first := c.document.Locate(resolver.Place{Kind: resolver.RouteEntry, Index: index[m]})
		c.add(Unmatched, ShadowedRoute, p, "route %q in line %d matches all requests with the host %q and the prefix %q first", m.Name, first.Line, r.Host, r.Prefix)
	}
}

// hostFault returns why no request can carry a host; empty if one can.
func hostFault(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return fmt.Sprintf("requests are matched without the port, as %q", h)
	}
	if strings.Contains(host, "*") {
		return "wildcards are matched literally"
	}
	if i := strings.IndexFunc(host, func(r rune) bool { return !isHostRune(r) }); i >= 0 {
		r, _ := utf8.DecodeRuneInString(host[i:])
		return fmt.Sprintf("a host has no %q", r)
	}
	return ""
}

// isHostRune reports whether the server of package net/http accepts a character in the host of a
// request. Of those that it accepts, * is left out.
func isHostRune(r rune) bool {
	isAlphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return isAlphanumeric || strings.ContainsRune("!$%&()+,-.:;=[]'_~", r)
}

// prefixFault returns why no path can begin with a prefix; empty if one can.
func prefixFault(prefix string) string {
	switch _, err := url.ParseRequestURI(prefix); {
	case strings.Contains(prefix, "?"):
		return "the query isn't part of the path"
	case strings.Contains(prefix, "#"):
		return "clients send no fragment"
	case strings.Contains(prefix, " "):
		return "a path has no space"
	case err != nil:
		return "it isn't a valid path"
	}
	return ""
}

func (c *check) targets(i int) {
	for j, t := range c.configuration.Routes[i].Targets {
		p := resolver.Place{Kind: resolver.RouteEntry, Index: i, Field: "targets", Element: j + 1}
		if t.Weight == 0 {
			c.add(Unmatched, TargetWithoutWeight, p, "no request is sent to service %q, whose weight is 0", t.Service)
		}
		switch s := c.table.Service(t.Service); {
		case s == nil:
			c.add(Unmatched, UndeclaredService, p, "service %q isn't in the configuration", t.Service)
		case s.Origin.IsValid():
			c.add(Unmatched, OriginTarget, p, "service %q is an origin of weights, which serves no requests", t.Service)
		}
	}
}

func (c *check) services() {
	for i := range c.configuration.Services {
		s := &c.configuration.Services[i]
		if c.table.Service(s.Name) != s {
			c.add(Unmatched, DuplicateService, resolver.Place{Kind: resolver.ServiceEntry, Index: i, Field: "name"}, "a later service has the same name and is used in its place")
		}
	}
}

// accounts checks the keys of accounts with a route of its own that needs one.
func (c *check) accounts() {
	const host, prefix = "host", "/"
	t := resolver.New(&resolver.Configuration{
		Routes: []resolver.Route{{Host: host, Prefix: prefix}}, Accounts: c.configuration.Accounts,
	})
	for i := range c.configuration.Accounts {
		a := &c.configuration.Accounts[i]
		p := resolver.Place{Kind: resolver.AccountEntry, Index: i, Field: "keys"}
		if len(a.Keys) == 0 {
			c.add(Unmatched, AccountWithoutKeys, p, "no request can be of an account without keys")
		}
		known := make(map[string]int, len(a.Keys))
		for j, k := range a.Keys {
			p.Element = j + 1
			m, err := t.Resolve(host, prefix, k)
			switch first, isRepeated := known[k]; {
			case err != nil || !isSent(k):
				c.add(Unmatched, UnmatchedKey, p, "no request can carry key %d: it is empty, begins or ends with a space, or has a control character", j+1)
			case m.Account != a:
				c.add(Unmatched, DuplicateKey, p, "key %d also belongs to the later account %q, whose requests alone have it", j+1, m.Account.Name)
			case isRepeated:
				c.add(Unmatched, DuplicateKey, p, "key %d is the same as key %d", j+1, first)
			default:
				known[k] = j + 1
			}
		}
	}
}

// isSent reports whether a request can carry a key in its header.
func isSent(key string) bool {
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	return strings.TrimSpace(key) == key && !strings.ContainsFunc(key, isControl)
}
