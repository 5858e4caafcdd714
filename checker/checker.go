package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Checker checks configurations. Its fields are set before the first check.
type Checker struct {
	// CallersWait is the time for which callers wait for a whole response; 0 if it isn't known.
	CallersWait time.Duration
	// Retries is the retry budget of each gateway; nil if it isn't known.
	Retries *RetryLimit
	// Ignored holds the rules whose findings are left out.
	Ignored []Rule
}

// RetryLimit is the retry budget of a gateway, as in retrier.Budget.
type RetryLimit struct {
	// Share is the number of retries that each request adds, and Burst the largest number of saved
	// retries.
	Share, Burst float64
}

// Check returns the findings about a document, in the order of the lines. It applies the rules
// other than those of class Faulty only to a configuration that a gateway would accept. active is
// the active configuration; nil if it isn't known.
func (c *Checker) Check(d *Document, active *resolver.Configuration) []Finding {
	l := slices.Clone(d.Errors)
	if d.Configuration != nil {
		r := &check{checker: c, document: d, configuration: d.Configuration, table: resolver.New(d.Configuration), findings: l}
		r.unmatched()
		r.contradictions(active)
		l = r.findings
	}
	l = slices.DeleteFunc(l, func(f Finding) bool { return slices.Contains(c.Ignored, f.Rule) })
	slices.SortStableFunc(l, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return l
}

// check is one check of a document.
type check struct {
	checker       *Checker
	document      *Document
	configuration *resolver.Configuration
	table         *resolver.Table
	findings      []Finding
}

func (c *check) add(k Class, r Rule, p resolver.Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Class: k, Rule: r, Position: c.document.Locate(p), Entry: EntryName(c.configuration, p), Text: fmt.Sprintf(format, args...),
	})
}

// EntryName returns the kind and the name of the entry at a place, such as `route "a"`. It is empty
// for the configuration itself.
func EntryName(c *resolver.Configuration, p resolver.Place) string {
	name := ""
	switch p.Kind {
	case resolver.WholeConfiguration:
		return ""
	case resolver.LimitsEntry:
		return p.Kind.String()
	case resolver.RouteEntry:
		name = c.Routes[p.Index].Name
	case resolver.ServiceEntry:
		name = c.Services[p.Index].Name
	case resolver.AccountEntry:
		name = c.Accounts[p.Index].Name
	}
	return fmt.Sprintf("%s %q", p.Kind, name)
}
