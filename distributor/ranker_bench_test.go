package distributor_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// spreadMembers returns n instances spread over 28 failure domains in 10 regions.
func spreadMembers(n int) []distributor.Member {
	out := make([]distributor.Member, n)
	for i := range out {
		d := i % 28
		out[i] = distributor.Member{
			Instance:      recorder.Name(fmt.Sprintf("agent-%04d", i)),
			FailureDomain: recorder.Name(fmt.Sprintf("domain-%02d", d)), Region: recorder.Name(fmt.Sprintf("region-%d", d%10)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(10000+i)),
		}
	}
	return out
}

func chunkDigests(n int) []recorder.Digest {
	out := make([]recorder.Digest, n)
	for i := range out {
		out[i] = recorder.DigestOf(fmt.Append(nil, i))
	}
	return out
}

// BenchmarkPlan ranks the members for all chunks of a version and lists the
// sources of each chunk.
func BenchmarkPlan(b *testing.B) {
	for _, v := range []struct{ members, chunks int }{{15, 25_000}, {100, 25_000}, {590, 1000}, {590, 25_000}} {
		b.Run(fmt.Sprintf("members=%d/chunks=%d", v.members, v.chunks), func(b *testing.B) {
			m, c := spreadMembers(v.members), chunkDigests(v.chunks)
			r := distributor.Ranker{Self: m[v.members/2], OriginRegion: "region-0"}
			b.ReportAllocs()
			for b.Loop() {
				p := r.Plan(m, c)
				for i := range c {
					if len(p.Sources(i)) == 0 {
						b.Fatal("no source")
					}
				}
			}
		})
	}
}
