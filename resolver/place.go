package resolver

import "fmt"

// EntryKind is the kind of an entry of a configuration.
type EntryKind uint8

// The kinds of entries.
const (
	// WholeConfiguration is the configuration itself, with its revision.
	WholeConfiguration EntryKind = iota
	// RouteEntry is an element of Configuration.Routes.
	RouteEntry
	// ServiceEntry is an element of Configuration.Services.
	ServiceEntry
	// AccountEntry is an element of Configuration.Accounts.
	AccountEntry
	// LimitsEntry is Configuration.Limits.
	LimitsEntry
)

// String returns the word for the kind.
func (k EntryKind) String() string {
	switch k {
	case WholeConfiguration:
		return "configuration"
	case RouteEntry:
		return "route"
	case ServiceEntry:
		return "service"
	case AccountEntry:
		return "account"
	case LimitsEntry:
		return "limits"
	}
	return fmt.Sprintf("EntryKind(%d)", uint8(k))
}

// Place identifies an entry of a configuration, and a field of it.
type Place struct {
	Kind EntryKind
	// Index is the index of a route, service or account.
	Index int
	// Field is the name of the field in lower case, with hyphens between words, such as
	// "cold-rate"; a field of an engine begins with "engine.". It is empty for the whole entry.
	Field string
	// Element is the number of an element of a field that is a list, from 1; 0 for the whole field.
	Element int
}
