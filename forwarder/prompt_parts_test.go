package forwarder

import (
	"slices"
	"strings"
	"testing"
)

// Guards against a faulty part that is told apart under several names, or not at all.
func TestSharedParts(t *testing.T) {
	for _, c := range []struct {
		lists []string
		ids   []string
	}{
		{nil, nil},
		{[]string{""}, nil},
		{[]string{"a1:40"}, nil},
		{[]string{"a1:40,b2:1290"}, []string{"a1"}},
		{[]string{"a1:40,B2:9,c3:1"}, []string{"a1", "b2"}},
		{[]string{" a1:40 , b2 ,c3:1"}, []string{"a1", "b2"}},
		{[]string{"a1:40,b2:9", "c3:1"}, []string{"a1", "b2"}},
		{[]string{",,:9,a1:1,"}, []string{"a1"}},
		{[]string{strings.Repeat("a1:1,", 100)}, []string{"a1"}},
	} {
		if ids := sharedParts(c.lists); !slices.Equal(ids, c.ids) {
			t.Errorf("%q: %q, want %q", c.lists, ids, c.ids)
		}
	}
}
