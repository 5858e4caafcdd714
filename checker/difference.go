package checker

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Change is the kind of a difference.
type Change string

// The values of Change.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one difference between the active configuration and a document.
type Difference struct {
	Change Change `json:"change"`
	// Entry is the kind and the name of the entry; it is empty for the configuration itself.
	Entry string `json:"entry,omitempty"`
	// Position is that in the document; the line is 0 for a removed entry.
	Position
	// Before and After are the values of a changed field. Keys of accounts are only counted.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Compare returns the differences from the active configuration to a document, whose configuration
// must not be nil. Entries of a kind with the same name are compared in their order.
func Compare(active *resolver.Configuration, d *Document) []Difference {
	old, fresh := entries(active), entries(d.Configuration)
	var l []Difference
	for _, e := range fresh.list {
		o, ok := old.byID[e.id]
		if !ok {
			l = append(l, Difference{Change: Added, Entry: e.name, Position: d.Locate(e.place)})
			continue
		}
		l = append(l, compareFields(o, e, d)...)
	}
	for _, o := range old.list {
		if _, ok := fresh.byID[o.id]; !ok {
			l = append(l, Difference{Change: Removed, Entry: o.name})
		}
	}
	return append(l, compareOrder(old, fresh, d)...)
}

// value is the value of a field as text.
type value struct{ field, text string }

// entry is an entry of a configuration with its fields.
type entry struct {
	id     entryID
	name   string
	place  resolver.Place
	values []value
	// keys are the keys of an account.
	keys []string
	// group identifies the routes among which the order decides.
	group string
}

// entryID identifies an entry in two configurations: by its kind, its name and its number among
// those of the same name.
type entryID struct {
	kind   resolver.EntryKind
	name   string
	number int
}

type entryList struct {
	list []*entry
	byID map[entryID]*entry
	// count holds the number of entries of a kind and name, whose numbers are 0.
	count map[entryID]int
}

func (l *entryList) add(c *resolver.Configuration, k resolver.EntryKind, i int, name string, values ...value) *entry {
	e := &entry{id: entryID{kind: k, name: name}, place: resolver.Place{Kind: k, Index: i}, values: values}
	n := l.count[e.id]
	l.count[e.id]++
	e.id.number = n
	e.name = EntryName(c, e.place)
	l.list = append(l.list, e)
	l.byID[e.id] = e
	return e
}

func entries(c *resolver.Configuration) *entryList {
	l := &entryList{byID: make(map[entryID]*entry), count: make(map[entryID]int)}
	l.add(c, resolver.WholeConfiguration, 0, "", value{"revision", strconv.FormatUint(c.Revision, 10)})
	for i := range c.Routes {
		r := &c.Routes[i]
		e := l.add(c, resolver.RouteEntry, i, r.Name,
			value{"host", r.Host}, value{"prefix", r.Prefix}, value{"targets", targetsText(r.Targets)}, value{"repeat", repeatText(r)},
			value{"public", strconv.FormatBool(r.Public)}, value{"timeout", r.Timeout.String()}, value{"aim", r.Aim.String()},
			value{"gap", r.Gap.String()}, value{"attempts", strconv.Itoa(r.Attempts)}, value{"rank", strconv.Itoa(r.Rank)},
			value{"regions", listText(r.Regions)})
		e.group = strings.ToLower(r.Host) + " " + r.Prefix
	}
	for i := range c.Services {
		s := &c.Services[i]
		l.add(c, resolver.ServiceEntry, i, s.Name, append([]value{
			{"connections", strconv.Itoa(s.Connections)},
			{"cold-rate", numberText(s.ColdRate)},
			{"cold-time", s.ColdTime.String()},
			{"origin", originText(s)},
			{"origin-link", numberText(s.OriginLink) + " bytes/s"},
			{"domain", textOrNone(s.Domain)},
		}, engineValues(s.Engine)...)...)
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		e := l.add(c, resolver.AccountEntry, i, a.Name, value{"rank", rankText(a.Rank)}, value{"regions", listText(a.Regions)})
		e.keys = a.Keys
	}
	m := &c.Limits
	l.add(c, resolver.LimitsEntry, 0, "",
		value{"header-bytes", strconv.FormatInt(m.HeaderBytes, 10)}, value{"body-bytes", strconv.FormatInt(m.BodyBytes, 10)},
		value{"header-timeout", m.HeaderTimeout.String()}, value{"idle", m.Idle.String()})
	return l
}

// noValue is the text of an absent value.
const noValue = "none"

// engineValues returns the fields of an engine; one field if there is none.
func engineValues(e *resolver.Engine) []value {
	if e == nil {
		return []value{{"engine.model", noValue}}
	}
	return []value{
		{"engine.model", e.Model},
		{"engine.slots", strconv.Itoa(e.Slots)},
		{"engine.chunks", strconv.Itoa(e.Chunks)},
		{"engine.chunk-size", strconv.FormatInt(e.ChunkSize, 10)},
		{"engine.step", e.Step.String()},
		{"engine.read-rate", numberText(e.ReadRate)},
		{"engine.prompt", numberText(e.Prompt)},
		{"engine.answer", numberText(e.Answer)},
		{"engine.warm", e.Warm.String()},
	}
}

func compareFields(o, e *entry, d *Document) []Difference {
	var l []Difference
	changed := func(field, before, after string) {
		p := e.place
		p.Field = field
		l = append(l, Difference{Change: Changed, Entry: e.name, Position: d.Locate(p), Before: before, After: after})
	}
	old, fresh := textsOf(o.values), textsOf(e.values)
	for _, v := range e.values {
		if before, ok := old[v.field]; !ok || before != v.text {
			changed(v.field, absentText(before, ok), v.text)
		}
	}
	for _, v := range o.values {
		if _, ok := fresh[v.field]; !ok {
			changed(v.field, v.text, noValue)
		}
	}
	if !sameKeys(o.keys, e.keys) {
		isNew := func(k string) bool { return !slices.Contains(o.keys, k) }
		n := 0
		for _, k := range e.keys {
			if isNew(k) {
				n++
			}
		}
		changed("keys", strconv.Itoa(len(o.keys)), fmt.Sprintf("%d, %d new", len(e.keys), n))
	}
	return l
}

func textsOf(l []value) map[string]string {
	m := make(map[string]string, len(l))
	for _, v := range l {
		m[v.field] = v.text
	}
	return m
}

func absentText(s string, ok bool) string {
	if !ok {
		return noValue
	}
	return s
}

// sameKeys reports whether two accounts have the same keys, whose order means nothing.
func sameKeys(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// compareOrder returns the routes that became the first one of their host and prefix, which alone
// matches requests, though they are the same as before. Without it a configuration that only swaps
// two such routes would show no difference.
func compareOrder(old, fresh *entryList, d *Document) []Difference {
	was, is := firsts(old), firsts(fresh)
	var l []Difference
	for _, e := range fresh.list {
		first := was[e.group]
		if e.group == "" || is[e.group] != e || first == nil || first.id == e.id {
			continue
		}
		if o := old.byID[e.id]; o != nil && o.group == e.group {
			l = append(l, Difference{
				Change: Changed, Entry: e.name, Position: d.Locate(e.place),
				Before: "behind " + first.name, After: "first of its host and prefix",
			})
		}
	}
	return l
}

func firsts(l *entryList) map[string]*entry {
	m := make(map[string]*entry)
	for _, e := range l.list {
		if e.group != "" && m[e.group] == nil {
			m[e.group] = e
		}
	}
	return m
}

func targetsText(l []resolver.Target) string {
	texts := make([]string, len(l))
	for i, t := range l {
		texts[i] = fmt.Sprintf("%s:%d", t.Service, t.Weight)
	}
	return strings.Join(texts, " ")
}

func repeatText(r *resolver.Route) string {
	switch {
	case r.Repeat == resolver.Repeatable:
		return "repeatable"
	case r.Repeat == resolver.Resumable:
		return "resumable stream"
	case r.Streaming:
		return "stream, at most once"
	}
	return "at most once"
}

func listText(l []string) string {
	if len(l) == 0 {
		return "all"
	}
	return strings.Join(l, " ")
}

func textOrNone(s string) string {
	if s == "" {
		return noValue
	}
	return s
}

func rankText(r *int) string {
	if r == nil {
		return noValue
	}
	return strconv.Itoa(*r)
}

func originText(s *resolver.Service) string {
	if !s.Origin.IsValid() {
		return noValue
	}
	return s.Origin.String()
}

func numberText(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
