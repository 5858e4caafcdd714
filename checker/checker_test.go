package checker_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/eelgrassdrift/eelgrassdrift/checker"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Guards against an unusable or contradictory entry that is not reported, and against a finding
// about a configuration that is in order. Each line of an input is an entry, with its line number
// as its position. A line "candidate" separates the active configuration from the document.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/checks", func(t *testing.T, d *datadriven.TestData) string {
		active, text, found := strings.Cut(d.Input, "candidate\n")
		if !found {
			active, text = "", d.Input
		}
		c := checker.Checker{}
		for _, a := range d.CmdArgs {
			switch v := a.Vals[0]; a.Key {
			case "callers-wait":
				c.CallersWait = duration(t, v)
			case "retries":
				c.Retries = &checker.RetryLimit{Share: number(t, v), Burst: number(t, a.Vals[1])}
			case "ignored":
				for _, r := range a.Vals {
					c.Ignored = append(c.Ignored, checker.Rule(r))
				}
			}
		}
		document := read(t, text)
		var old *resolver.Configuration
		if found {
			old = read(t, active).Configuration
		}
		var out strings.Builder
		switch d.Cmd {
		case "check":
			for _, f := range c.Check(document, old) {
				fmt.Fprintf(&out, "%d %s %s %s %s: %s\n", f.Line, f.Field, f.Class, f.Rule, f.Entry, f.Text)
			}
		case "compare":
			for _, f := range checker.Compare(old, document) {
				fmt.Fprintf(&out, "%d %s %s %s: %q -> %q\n", f.Line, f.Field, f.Change, f.Entry, f.Before, f.After)
			}
		default:
			return "unknown command"
		}
		if out.Len() == 0 {
			return "nothing\n"
		}
		return out.String()
	})
}

// read reads a document.
func read(t *testing.T, s string) *checker.Document {
	t.Helper()
	c := new(resolver.Configuration)
	lines := map[resolver.EntryKind][]int{}
	for i, l := range strings.Split(strings.TrimRight(s, "\n"), "\n") {
		kind, rest, _ := strings.Cut(l, " ")
		set := fields(t, rest)
		switch kind {
		case "":
		case "revision":
			c.Revision = uint64(number(t, rest))
		case "route":
			lines[resolver.RouteEntry] = append(lines[resolver.RouteEntry], i+1)
			c.Routes = append(c.Routes, readRoute(t, set))
		case "service":
			lines[resolver.ServiceEntry] = append(lines[resolver.ServiceEntry], i+1)
			c.Services = append(c.Services, readService(t, set))
		case "account":
			lines[resolver.AccountEntry] = append(lines[resolver.AccountEntry], i+1)
			a := resolver.Account{Name: set["name"]}
			if k, ok := set["keys"]; ok {
				a.Keys = strings.Split(k, ",")
			}
			if k, ok := set["rank"]; ok {
				n := int(number(t, k))
				a.Rank = &n
			}
			c.Accounts = append(c.Accounts, a)
		case "limits":
			c.Limits.Idle = duration(t, set["idle"])
		default:
			t.Fatalf("line %q", l)
		}
	}
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	return &checker.Document{Configuration: c, Locate: func(p resolver.Place) checker.Position {
		o := checker.Position{Line: 1, Field: p.Field}
		if l := lines[p.Kind]; p.Index < len(l) {
			o.Line = l[p.Index]
		}
		if p.Element > 0 {
			o.Field += "/" + strconv.Itoa(p.Element)
		}
		return o
	}}
}

// fields returns the words key=value of a line; a value may be quoted.
func fields(t *testing.T, s string) map[string]string {
	m := make(map[string]string)
	for s = strings.TrimSpace(s); s != ""; s = strings.TrimSpace(s) {
		k, v, ok := strings.Cut(s, "=")
		if !ok {
			return m
		}
		if q, err := strconv.QuotedPrefix(v); err == nil {
			text, err := strconv.Unquote(q)
			if err != nil {
				t.Fatal(err)
			}
			m[k], s = text, v[len(q):]
			continue
		}
		m[k], s, _ = strings.Cut(v, " ")
	}
	return m
}

func readRoute(t *testing.T, set map[string]string) resolver.Route {
	r := resolver.Route{Name: set["name"], Host: "h", Prefix: "/" + set["name"] + "/", Timeout: time.Second, Attempts: 1}
	targets := "s:1"
	for k, v := range set {
		switch k {
		case "name":
		case "host":
			r.Host = v
		case "prefix":
			r.Prefix = v
		case "timeout":
			r.Timeout = duration(t, v)
		case "aim":
			r.Aim = duration(t, v)
		case "gap":
			r.Gap = duration(t, v)
		case "attempts":
			r.Attempts = int(number(t, v))
		case "streaming":
			r.Streaming = v == "true"
		case "targets":
			targets = v
		default:
			t.Fatalf("field %s", k)
		}
	}
	for g := range strings.SplitSeq(targets, ",") {
		name, weight, _ := strings.Cut(g, ":")
		r.Targets = append(r.Targets, resolver.Target{Service: name, Weight: int(number(t, weight))})
	}
	return r
}

func readService(t *testing.T, set map[string]string) resolver.Service {
	s := resolver.Service{Name: set["name"]}
	for k, v := range set {
		switch k {
		case "name":
		case "connections":
			s.Connections = int(number(t, v))
		case "origin":
			if err := s.Origin.UnmarshalText([]byte(v)); err != nil {
				t.Fatal(err)
			}
		case "slots":
			s.Engine = &resolver.Engine{Model: "m", Slots: int(number(t, v)), Step: 10 * time.Millisecond, Answer: 100, Prompt: 1000, ReadRate: 1000}
		default:
			t.Fatalf("field %s", k)
		}
	}
	return s
}

func number(t *testing.T, s string) float64 {
	t.Helper()
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against differences that are missed or invented in a configuration of many entries with
// one name, and against a comparison whose time grows with the square of their number.
func TestCompareManyEntriesOfOneName(t *testing.T) {
	const n = 20_000
	c := func(last string) *resolver.Configuration {
		o := &resolver.Configuration{Routes: make([]resolver.Route, n)}
		for i := range o.Routes {
			o.Routes[i] = resolver.Route{Name: "r", Host: fmt.Sprint("h", i), Prefix: "/"}
		}
		o.Routes[n-1].Prefix = last
		return o
	}
	d := &checker.Document{Configuration: c("/b/"), Locate: func(p resolver.Place) checker.Position {
		return checker.Position{Line: p.Index, Field: p.Field}
	}}
	l := checker.Compare(c("/a/"), d)
	want := checker.Difference{Change: checker.Changed, Entry: `route "r"`, Position: checker.Position{Line: n - 1, Field: "prefix"}, Before: "/a/", After: "/b/"}
	if len(l) != 1 || l[0] != want {
		t.Errorf("%d differences, first %+v", len(l), l[:min(1, len(l))])
	}
}
