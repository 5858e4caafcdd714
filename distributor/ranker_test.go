package distributor_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

func digests(n int) []recorder.Digest {
	out := make([]recorder.Digest, n)
	for i := range out {
		out[i] = recorder.DigestOf(fmt.Appendf(nil, "chunk %d", i))
	}
	return out
}

// fleet returns n members in each failure domain; a domain is "region/domain".
func fleet(n int, domains ...string) []distributor.Member {
	var out []distributor.Member
	for _, d := range domains {
		r, _, _ := strings.Cut(d, "/")
		for i := range n {
			out = append(out, distributor.Member{
				Instance: recorder.Name(fmt.Sprintf("%s.%d", strings.ReplaceAll(d, "/", "."), i)),
				Region:   recorder.Name(r), FailureDomain: recorder.Name(strings.ReplaceAll(d, "/", ".")),
			})
		}
	}
	return out
}

func plan(self distributor.Member, members []distributor.Member, chunks []recorder.Digest) *distributor.Plan {
	return distributor.Ranker{Self: self, OriginRegion: "a"}.Plan(members, chunks)
}

// Guards against sources that skip a level or omit the origin.
func TestSources(t *testing.T) {
	datadriven.RunTest(t, "testdata/sources", func(t *testing.T, d *datadriven.TestData) string {
		var self string
		var n int
		d.ScanArgs(t, "self", &self)
		d.ScanArgs(t, "n", &n)
		members := fleet(n, strings.Fields(d.Input)...)
		me := distributor.Member{Instance: "new.0", Region: "a", FailureDomain: "a.x"}
		for i, m := range members {
			if string(m.Instance) == self {
				me = m
				members[i].Leaving = d.HasArg("leaving")
				members[i].Empty = d.HasArg("empty")
			}
		}
		chunks := digests(3)
		p := plan(me, members, chunks)
		var b strings.Builder
		for i := range chunks {
			for _, s := range p.Sources(i) {
				fmt.Fprintf(&b, "%s(%s", s.Name(), s.Level)
				if s.LowerRanked {
					b.WriteString(",behind")
				}
				b.WriteString(") ")
			}
			b.WriteString("\n")
		}
		return b.String()
	})
}

// Guards against a ranking under which two instances fetch a chunk from the level
// above, none does, or an instance sends more than its share of copies.
func TestCopies(t *testing.T) {
	// Two cells in one failure domain.
	checkCopies(t, slices.Concat(fleet(33, "a/1"), fleet(3, "a/2", "b/1"), fleet(1, "c/1")))
	rapid.Check(t, func(t *rapid.T) {
		var members []distributor.Member
		for r := range rapid.IntRange(1, 3).Draw(t, "regions") {
			for d := range rapid.IntRange(1, 2).Draw(t, "domains") {
				n := rapid.SampledFrom([]int{1, 2, 3, 5, 9}).Draw(t, "instances")
				members = append(members, fleet(n, fmt.Sprintf("%c/%d", 'a'+r, d))...)
			}
		}
		checkCopies(t, members)
	})
}

func checkCopies(t interface{ Fatalf(string, ...any) }, members []distributor.Member) {
	chunks := digests(128)
	origin := make([]int, len(chunks))
	into := make(map[string]int)
	sends := make(map[recorder.Name]int)
	for _, m := range members {
		p := plan(m, members, chunks)
		total := 0
		for _, l := range p.Queues() {
			total += len(l.Chunks)
		}
		if total != len(chunks) {
			t.Fatalf("%s fetches %d of %d chunks", m.Instance, total, len(chunks))
		}
		for i := range chunks {
			s := p.Sources(i)[0]
			switch s.Level {
			case distributor.FromOrigin:
				origin[i]++
			case distributor.OtherRegion:
				into[fmt.Sprint(m.Region, i)]++
				sends[s.Member.Instance]++
			default:
				sends[s.Member.Instance]++
			}
		}
	}
	for i, n := range origin {
		if n != 1 {
			t.Fatalf("chunk %d is fetched %d times from the origin", i, n)
		}
	}
	for k, n := range into {
		if n != 1 {
			t.Fatalf("chunk and region %s: fetched %d times from other regions", k, n)
		}
	}
	for m, n := range sends {
		// The limit is 1.2 copies; 128 chunks don't divide evenly among the children of a group.
		if float64(n) > 1.2*float64(len(chunks)) {
			t.Fatalf("%s sends %d of %d chunks", m, n, len(chunks))
		}
	}
}

// Guards against rankings that change for most chunks when one instance leaves,
// so that an outdated list would cause many repeated copies.
func TestStability(t *testing.T) {
	members := fleet(30, "a/1", "a/2", "b/1")
	chunks := digests(2000)
	p := plan(members[0], members, chunks)
	for _, left := range []int{1, 35, 65} {
		r := plan(members[0], slices.Delete(slices.Clone(members), left, left+1), chunks)
		n := 0
		for i := range chunks {
			if p.Sources(i)[0] != r.Sources(i)[0] {
				n++
			}
		}
		// One instance in 30 is first for 3% of its cell's chunks.
		if n > len(chunks)/10 {
			t.Errorf("%s left: %d of %d sources changed", members[left].Instance, n, len(chunks))
		}
		t.Logf("%s left: %d of %d sources changed", members[left].Instance, n, len(chunks))
	}
}

func BenchmarkSources(b *testing.B) {
	members := fleet(22, strings.Fields("a/1 a/2 a/3 b/1 b/2 b/3 c/1 c/2 c/3 d/1 d/2 d/3 e/1 e/2 e/3 f/1 f/2 f/3 "+
		"g/1 g/2 g/3 h/1 h/2 i/1 i/2 j/1 j/2")...)[:590]
	chunks := digests(25_000)
	p := plan(members[300], members, chunks)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		_ = p.Sources(i % len(chunks))
		i++
	}
}
