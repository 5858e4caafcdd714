package divider_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/eelgrassdrift/eelgrassdrift/divider"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

var _ = Describe("Shares", func() {
	// If the shares add up to more than 1, an account exceeds its limit; if they add up
	// to much less, requests that the account has paid for are refused.
	It("divide the whole limit among gateways that have the same figures", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "demands")
			var sum float64
			for i := range demands {
				var others []divider.Demand
				for j, d := range demands {
					if j != i {
						others = append(others, divider.Demand{"a": d})
					}
				}
				sum += divider.Shares(divider.Demand{"a": demands[i]}, others, len(demands))["a"]
			}
			if sum < 0.999 || sum > 1.001 {
				t.Fatalf("the shares add up to %f", sum)
			}
		})
	})

	// An account whose callers all come through one of four gateways must get
	// about its whole limit there, not a quarter.
	It("follow the demand", func() {
		s := divider.Shares(divider.Demand{"a": 40}, []divider.Demand{{}, {}, {}}, 4)
		Expect(s["a"]).To(BeNumerically(">", 0.9))
		s = divider.Shares(divider.Demand{}, []divider.Demand{{"a": 40}}, 4)
		Expect(s["a"]).To(BeNumerically("~", 0.02, 0.01))
	})
})

var _ = Describe("Meter", func() {
	// A rate that does not decay would keep a share for callers that have gone.
	It("follows the offered rate and forgets it", func() {
		now := time.Unix(1_000_000, 0)
		m := divider.Meter{Now: func() time.Time { return now }}
		for range 200 {
			m.Offer("a")
			now = now.Add(50 * time.Millisecond)
		}
		Expect(m.Demand()["a"]).To(BeNumerically("~", 20, 2))
		now = now.Add(time.Minute)
		Expect(m.Demand()).To(BeEmpty())
	})
})

var _ = Describe("Changed", func() {
	// Sending every small change to 22 peers would exceed the limit for control traffic.
	DescribeTable("reports only significant changes", func(a, b divider.Demand, want bool) {
		Expect(divider.Changed(a, b)).To(Equal(want))
	},
		Entry("equal", divider.Demand{"a": 10}, divider.Demand{"a": 10}, false),
		Entry("a tenth", divider.Demand{"a": 10}, divider.Demand{"a": 11}, false),
		Entry("a half", divider.Demand{"a": 10}, divider.Demand{"a": 15}, true),
		Entry("a new account", divider.Demand{}, divider.Demand{recorder.Name("a"): 1}, true),
	)
})
