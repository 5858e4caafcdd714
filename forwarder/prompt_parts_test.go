package forwarder

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/isolator"
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
		{[]string{manyParts(3000)}, strings.Split(manyParts(2999), ",")},
	} {
		if ids := sharedParts(c.lists); !slices.Equal(ids, c.ids) {
			t.Errorf("%q: %q, want %q", c.lists, ids, c.ids)
		}
	}
}

// manyParts returns a prompt with parts that differ, without numbers of tokens.
func manyParts(n int) string {
	var l []string
	for k := range n {
		l = append(l, strconv.FormatInt(int64(0x10000+k), 16))
	}
	return strings.Join(l, ",")
}

// BenchmarkPromptParts measures what the parts of a prompt cost a request in the hot path: they are read and
// marked as sound, and where something is held they are checked as well.
func BenchmarkPromptParts(b *testing.B) {
	for _, parts := range []int{3, 32, 1200} {
		for _, held := range []bool{false, true} {
			b.Run(fmt.Sprintf("parts-%d/held-%t", parts, held), func(b *testing.B) {
				lists := []string{manyParts(parts + 1)}
				i := &isolator.Isolator{}
				for n := range 3 {
					if held {
						time.Sleep(30 * time.Millisecond)
						i.Add(isolator.Ending{Suspect: isolator.NewPart("bad"), Process: strconv.Itoa(n), Began: 10 * time.Millisecond})
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					var l []isolator.Suspect
					for _, id := range sharedParts(lists) {
						l = append(l, isolator.NewPart(id))
					}
					if held {
						i.Check(l...)
					}
					i.Served(time.Now(), l...)
				}
			})
		}
	}
}
