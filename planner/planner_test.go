package planner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/planner"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

var _ = Describe("Operation", func() {
	advance := recorder.Change{Kind: recorder.AdvanceRollout, Object: "r1", Step: 1, Expect: new(uint64(4)), Reason: "a"}

	// If gateways computed different IDs for one change, it would be applied several
	// times.
	It("does not depend on the reason", func() {
		other := advance
		other.Reason, other.Expect = "b", new(uint64(4))
		Expect(planner.OperationID(other)).To(Equal(planner.OperationID(advance)))
	})

	// If two changes had the same ID, the second would return the outcome of the
	// first and have no effect.
	DescribeTable("differs by", func(edit func(*recorder.Change)) {
		other := advance
		edit(&other)
		Expect(planner.OperationID(other)).NotTo(Equal(planner.OperationID(advance)))
	},
		Entry("kind", func(c *recorder.Change) { c.Kind = recorder.FinishRollout }),
		Entry("object", func(c *recorder.Change) { c.Object = "r2" }),
		Entry("revision", func(c *recorder.Change) { c.Expect = new(uint64(5)) }),
		Entry("step", func(c *recorder.Change) { c.Step = 2 }),
		Entry("grant", func(c *recorder.Change) { c.Release = &recorder.Release{Grant: 1} }),
	)
})
