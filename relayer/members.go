package relayer

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
)

// membersMessage returns the message that updates an agent's list of members from old
// to next, or nil if the lists are equal. A nil old means that the agent has no list yet.
// Without acceptsChange the agent gets full lists only.
func membersMessage(old, next *relayv1.Members, acceptsChange bool) *relayv1.AttachResponse {
	if old == next {
		return nil
	}
	full := &relayv1.AttachResponse{Message: &relayv1.AttachResponse_Members{Members: next}}
	if old == nil {
		return full
	}
	c := membersChange(old, next)
	n := len(c.Changed) + len(c.Removed)
	switch {
	case n == 0:
		return nil
	case !acceptsChange || n >= len(next.Members):
		return full
	}
	return &relayv1.AttachResponse{Message: &relayv1.AttachResponse_MembersChange{MembersChange: c}}
}

// membersChange returns the difference between two lists.
func membersChange(old, next *relayv1.Members) *relayv1.MembersChange {
	known := make(map[string]*relayv1.Member, len(old.Members))
	for _, m := range old.Members {
		known[m.Instance] = m
	}
	c := &relayv1.MembersChange{}
	for _, m := range next.Members {
		if o := known[m.Instance]; o == nil || !proto.Equal(o, m) {
			c.Changed = append(c.Changed, m)
		}
		delete(known, m.Instance)
	}
	for _, m := range old.Members {
		if known[m.Instance] != nil {
			c.Removed = append(c.Removed, m.Instance)
		}
	}
	return c
}

// applyMembers returns a new list with the change applied, sorted by instance. Of several
// entries of an instance the last one holds.
func applyMembers(old *relayv1.Members, c *relayv1.MembersChange) *relayv1.Members {
	replaced := make(map[string]bool, len(c.Changed)+len(c.Removed))
	for _, m := range c.Changed {
		replaced[m.Instance] = true
	}
	for _, i := range c.Removed {
		replaced[i] = true
	}
	next := &relayv1.Members{Members: slices.Clone(c.Changed)}
	slices.Reverse(next.Members)
	for _, m := range old.GetMembers() {
		if !replaced[m.Instance] {
			next.Members = append(next.Members, m)
		}
	}
	slices.SortStableFunc(next.Members, func(a, b *relayv1.Member) int { return strings.Compare(a.Instance, b.Instance) })
	next.Members = slices.CompactFunc(next.Members, func(a, b *relayv1.Member) bool { return a.Instance == b.Instance })
	return next
}
