package distributor_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/burst"
)

var _ = Describe("Burst", func() {
	run := func(f burst.Fault, seed uint64) *burst.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		r, err := (&burst.Burst{
			Instances: 15, Regions: 3, Domains: 2, Size: 4 << 20, ChunkSize: 16 << 10,
			Link: 2 << 20, Origin: 4 << 20, Cross: 2 << 20, Fault: f, Scheme: burst.Ranked, Seed: seed,
			// Burst sets Wait and Stall to shares of Burst.Bound, which are shorter
			// than the scheduling delays of a busy machine; use the defaults.
			Adjust: func(f *distributor.Fetcher, _ *distributor.Handler) { f.Wait, f.Stall = 0, 0 },
		}).Run(ctx)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Println(burst.Header)
		GinkgoWriter.Println(r)
		return r
	}

	// Guards against two instances of a region that both fetch a chunk from the
	// origin or another region, which doubles the load on the two slowest links.
	It("sends one copy from the origin and into each region", func() {
		r := run(burst.NoFault, 1)
		Expect(r.Origin).To(BeNumerically("<=", 1.2))
		Expect(r.Region).To(BeNumerically("<=", 1.2))
		Expect(r.Out).To(BeNumerically("<=", 1.2))
		Expect(r.Busiest).To(BeNumerically("<=", 1.2))
	})

	// Guards against instances that wait for a dead one, which delays the burst,
	// or that all ask the origin, which overloads its link.
	It("completes when instances are killed", func() {
		r := run(burst.Kill, 2)
		Expect(r.Origin).To(BeNumerically("<=", 4))
	})
})
